// Service stand-in: request handling.

#include "serviceserver.h"

#include "completiontext.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace cornelshed::standins {

namespace asio = boost::asio;

HttpHandler ServiceServer::handler()
{
    return [this](const HttpRequest &request, HttpResponseWriter &response) {
        return handle(request, response);
    };
}

asio::awaitable<void> ServiceServer::handle(const HttpRequest &request,
                                            HttpResponseWriter &response)
{
    if (request.method == "GET" && request.path == "/ledger") {
        co_await response.send(200, m_ledger.toJson());
        co_return;
    }
    if (request.method == "GET" && request.path == "/requests") {
        co_await response.send(200, std::to_string(m_requestCount));
        co_return;
    }
    const std::string marker = findMarker(request.body);
    const LedgerKey key {request.header("idempotency-key"), request.header("x-request-id"), marker};
    if (!key.requestId.empty())
        response.addHeader("X-Request-Id", key.requestId);
    const auto age = std::chrono::steady_clock::now() - m_startedAt;
    if (m_notices.leavingAfter && age >= *m_notices.leavingAfter)
        response.addHeader("Server-Leaving", "1");
    ++m_requestCount;
    if (m_notices.refusedInterval > 0 && m_requestCount % m_notices.refusedInterval == 0) {
        response.addHeader("X-Not-Executed", "1");
        if (!m_notices.retryAfter.empty())
            response.addHeader("Retry-After", m_notices.retryAfter);
        co_await response.send(503, "{}");
        co_return;
    }
    response.addHeader("X-Response-Seal", "standin");
    const bool isRun = request.method == "POST";
    if (isRun)
        m_ledger.recordStart(key);
    if (m_delay.count() > 0) {
        asio::steady_timer timer(m_context, m_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const boost::json::object reply {{"path", request.path},
                                     {"marker", marker},
                                     {"request_id", key.requestId},
                                     {"idempotency_key", key.idempotencyKey}};
    const bool sent = co_await response.send(200, boost::json::serialize(reply));
    if (isRun && sent)
        m_ledger.entry(key).finished += 1;
}

} // namespace cornelshed::standins
