// Program standin-engine: an HTTP server that simulates an LLM inference engine.

#include "engineserver.h"

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

namespace {

const char usage[] = R"(Engine stand-in.

Usage:
  standin-engine [options]
  standin-engine (-h | --help)

Options:
  --listen ADDRESS                  Address to listen on [default: 127.0.0.1].
  --port N                          Port, 0 for a free one [default: 0].
  --prefill-tokens-per-second N     Prompt tokens computed in a second [default: 20000].
  --decode-tokens-per-second N      Output tokens a second of one stream alone [default: 100].
  --load-lag-ms N                   Age of what GET /load reports [default: 1000].
  --cache-event-lag-ms N            Delay of cache events [default: 500].
  --cache-event-loss-share X        Share of cache events that are lost [default: 0.05].
  --cache-blocks N                  Prefix cache size, blocks of 16 tokens [default: 4096].
  --cold-limit N                    Concurrent requests a cold engine bears [default: 2].
  --warm-up-requests N              Requests after which a cold engine is warm [default: 16].
  --checks-fencing                  Refuse commands with an old fencing number.
  --start-cold                      Start in the cold state.
  --model-version NAME              Version that is loaded at start [default: v1].
  --ledger-file FILE                Keep the starts of runs in a file [default: ].
  --seed N                          Seed of the lost cache events [default: 1].
  -h --help                         Show this text.
)";

using Arguments = std::map<std::string, docopt::value>;

cornelshed::standins::EngineOptions readOptions(const Arguments &arguments)
{
    const auto number = [&](const char *name) { return std::stod(arguments.at(name).asString()); };
    const auto milliseconds = [&](const char *name) {
        return std::chrono::milliseconds(arguments.at(name).asLong());
    };
    cornelshed::standins::EngineOptions options;
    options.rates.prefillTokensPerSecond = number("--prefill-tokens-per-second");
    options.rates.decodeTokensPerSecond = number("--decode-tokens-per-second");
    options.loadLag = milliseconds("--load-lag-ms");
    options.cacheEventLag = milliseconds("--cache-event-lag-ms");
    options.cacheEventLossShare = number("--cache-event-loss-share");
    options.cacheBlockCount = static_cast<std::size_t>(arguments.at("--cache-blocks").asLong());
    options.faultLimits.coldConcurrencyLimit =
            static_cast<std::size_t>(arguments.at("--cold-limit").asLong());
    options.faultLimits.warmUpRequestCount =
            static_cast<std::uint64_t>(arguments.at("--warm-up-requests").asLong());
    options.checksFencing = arguments.at("--checks-fencing").asBool();
    options.startsCold = arguments.at("--start-cold").asBool();
    options.version = arguments.at("--model-version").asString();
    options.ledgerFile = arguments.at("--ledger-file").asString();
    options.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    boost::asio::io_context context(1);
    cornelshed::standins::EngineServer server(context, readOptions(arguments));
    return cornelshed::standins::runHttpProgram(
            context, arguments.at("--listen").asString(),
            static_cast<std::uint16_t>(arguments.at("--port").asLong()), server.handler());
}
