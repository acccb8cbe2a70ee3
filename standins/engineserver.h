// Engine stand-in: OpenAI-like completions over the continuous batching model, with prefix cache,
// late load reports, commands and injected faults.
//
// Resume: a request body with "resume_after": n and the X-Request-Id of an earlier request makes
// the engine produce the answer's tokens from position n on. The answer text is deterministic, so
// the joined parts equal the whole answer. The ledger counts it as resumed, not as another run; an
// id that never ran here gets 404.

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
    std::chrono::milliseconds loadLag {1000};
    std::chrono::milliseconds cacheEventLag {500};
    double cacheEventLossShare = 0.05;
    std::size_t cacheBlockCount = 4096;
    bool checksFencing = false;
    bool startsCold = false;
    std::string version = "v1";
    std::string ledgerFile; // empty: the ledger is lost with the process
    std::uint64_t seed = 1;
};

class EngineServer
{
public:
    EngineServer(boost::asio::io_context &context, EngineOptions options);
    ~EngineServer();
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    // The handler refers to this object.
    HttpHandler handler();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_ENGINESERVER_H
