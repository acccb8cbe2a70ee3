// Simulated LLM inference engine for tests, load runs and the demonstration. It serves completions
// in the format of OpenAI from a model of continuous batching, and has a prefix cache, delayed load
// reports, control commands and injectable faults.
//
// Resuming: a request with the X-Request-Id of an earlier request and with "resume_after": n in its
// body receives the tokens from position n on. The completion text is deterministic, so that the
// two parts together equal the complete text. The ledger counts the request as resumed, not as
// another run. If no request with this id has run on the engine, the status is 404.

#ifndef CORNELSHED_STANDINS_ENGINESERVER_H
#define CORNELSHED_STANDINS_ENGINESERVER_H

#include "batchmodel.h"
#include "enginefault.h"
#include "httpserver.h"

#include <chrono>
#include <memory>

namespace cornelshed::standins {

struct EngineOptions
{
    BatchRates rates;
    EngineFaultLimits faultLimits;
    std::chrono::milliseconds loadLag {1000}; // age of the load that GET /load reports
    std::chrono::milliseconds cacheEventLag {500};
    double cacheEventLossShare = 0.05;
    std::size_t cacheBlockCount = 4096;
    bool checksFencing = false;
    bool startsCold = false;
    std::string version = "v1";
    std::string ledgerFile; // empty: the ledger is kept in memory only
    std::uint64_t seed = 1;
};

class EngineServer
{
public:
    EngineServer(boost::asio::io_context &context, EngineOptions options);
    ~EngineServer();
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    // The handler must not be used after this object is destroyed.
    HttpHandler handler();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_ENGINESERVER_H
