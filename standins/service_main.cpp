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
  --ledger-file FILE   Keep the starts of runs in a file [default: ].
  -h --help          Show this text.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    boost::asio::io_context context(1);
    cornelshed::standins::ServiceServer server(
            context, std::chrono::milliseconds(arguments.at("--delay-ms").asLong()),
            arguments.at("--ledger-file").asString());
    return cornelshed::standins::runHttpProgram(
            context, arguments.at("--listen").asString(),
            static_cast<std::uint16_t>(arguments.at("--port").asLong()), server.handler());
}
