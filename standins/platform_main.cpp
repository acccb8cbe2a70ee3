// Program standin-platform: an HTTP server that simulates the platform's table, object store and
// host list.

#include "platformserver.h"

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

namespace {

const char usage[] = R"(Platform stand-in.

Usage:
  standin-platform [options]
  standin-platform (-h | --help)

Options:
  --listen ADDRESS        Address to listen on [default: 127.0.0.1].
  --port N                Port, 0 for a free one [default: 0].
  --host-lag-ms N         Age of the host list [default: 2000].
  --slow-ms N             Delay of an operation under the fault "slow" [default: 2000].
  --reads-per-second N    Cap on reads [default: 2000].
  --writes-per-second N   Cap on writes [default: 400].
  -h --help               Show this text.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto number = [&](const char *name) { return arguments.at(name).asLong(); };
    cornelshed::standins::PlatformOptions options;
    options.hostLag = std::chrono::milliseconds(number("--host-lag-ms"));
    options.slowDelay = std::chrono::milliseconds(number("--slow-ms"));
    options.readsPerSecond = static_cast<std::uint64_t>(number("--reads-per-second"));
    options.writesPerSecond = static_cast<std::uint64_t>(number("--writes-per-second"));
    boost::asio::io_context context(1);
    cornelshed::standins::PlatformServer server(context, options);
    return cornelshed::standins::runHttpProgram(context, arguments.at("--listen").asString(),
                                                static_cast<std::uint16_t>(number("--port")),
                                                server.handler());
}
