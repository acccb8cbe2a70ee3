// Plain service stand-in: answers any path after a delay and records each run of a POST call.

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

    // The handler refers to this object.
    HttpHandler handler();

private:
    boost::asio::awaitable<void> handle(const HttpCall &call, HttpAnswer &answer);

    boost::asio::io_context &m_context;
    std::chrono::milliseconds m_delay;
    RunLedger m_ledger;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_SERVICESERVER_H
