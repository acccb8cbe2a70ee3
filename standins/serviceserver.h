// Simulated backend service other than an engine. It responds to any path after a delay, and
// records each POST request in its ledger as a run. GET /ledger returns the ledger.

#ifndef CORNELSHED_STANDINS_SERVICESERVER_H
#define CORNELSHED_STANDINS_SERVICESERVER_H

#include "httpserver.h"
#include "runledger.h"

#include <chrono>

namespace cornelshed::standins {

class ServiceServer
{
public:
    ServiceServer(boost::asio::io_context &context, std::chrono::milliseconds delay,
                  const std::string &ledgerFile)
        : m_context(context), m_delay(delay), m_ledger(ledgerFile)
    { }

    // The handler must not be used after this object is destroyed.
    HttpHandler handler();

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponseWriter &response);

    boost::asio::io_context &m_context;
    std::chrono::milliseconds m_delay;
    RunLedger m_ledger;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_SERVICESERVER_H
