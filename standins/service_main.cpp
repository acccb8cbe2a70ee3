// Program standin-service: an HTTP server that simulates a backend service other than an engine.

#include "serviceserver.h"

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

namespace {

const char usage[] = R"(Plain service stand-in.

Usage:
  standin-service [options]
  standin-service (-h | --help)

Options:
  --listen ADDRESS   Address to listen on [default: 127.0.0.1].
  --port N           Port, 0 for a free one [default: 0].
  --delay-ms N       Time that each call takes [default: 0].
  --leaving-after-ms N  Say that it leaves from this time after the start on, negative: never
                     [default: -1].
  --refuse-one-in N  Refuse one in so many requests, 0 for none [default: 0].
  --retry-after TEXT  Seconds of the pause that a refusal asks for [default: ].
  --ledger-file FILE   Keep the starts of runs in a file [default: ].
  -h --help          Show this text.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    boost::asio::io_context context(1);
    cornelshed::standins::ServiceNotices notices;
    if (const auto ms = arguments.at("--leaving-after-ms").asLong(); ms >= 0)
        notices.leavingAfter = std::chrono::milliseconds(ms);
    notices.refusedInterval = static_cast<std::uint32_t>(arguments.at("--refuse-one-in").asLong());
    notices.retryAfter = arguments.at("--retry-after").asString();
    cornelshed::standins::ServiceServer server(
            context, std::chrono::milliseconds(arguments.at("--delay-ms").asLong()),
            arguments.at("--ledger-file").asString(), notices);
    return cornelshed::standins::runHttpProgram(
            context, arguments.at("--listen").asString(),
            static_cast<std::uint16_t>(arguments.at("--port").asLong()), server.handler());
}
