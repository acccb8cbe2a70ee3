// Simulated backend service other than an engine. It responds to any path after a delay, and
// records each POST request in its ledger as a run. GET /ledger returns the ledger,
// GET /requests the number of all requests other than these two. It echoes the
// request's id, marks its responses as authentic, and can say that it leaves or ask for pauses.

#ifndef CORNELSHED_STANDINS_SERVICESERVER_H
#define CORNELSHED_STANDINS_SERVICESERVER_H

#include "httpserver.h"
#include "runledger.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace cornelshed::standins {

// What the service says of itself in its responses.
struct ServiceNotices
{
    std::optional<std::chrono::milliseconds> leavingAfter; // since its start; nothing: never
    std::uint32_t refusedInterval = 0; // refuses one in so many requests; 0: none
    std::string retryAfter;            // of a refusal; empty: none
};

class ServiceServer
{
public:
    ServiceServer(boost::asio::io_context &context, std::chrono::milliseconds delay,
                  const std::string &ledgerFile, ServiceNotices notices = {})
        : m_context(context), m_delay(delay), m_ledger(ledgerFile), m_notices(std::move(notices))
    { }

    // The handler must not be used after this object is destroyed.
    HttpHandler handler();

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponseWriter &response);

    boost::asio::io_context &m_context;
    std::chrono::milliseconds m_delay;
    RunLedger m_ledger;
    ServiceNotices m_notices;
    const std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::uint32_t m_requestCount = 0; // other than those for the ledger and for this number
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_SERVICESERVER_H
