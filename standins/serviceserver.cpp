// Plain service stand-in.

#include "serviceserver.h"

#include "answertext.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace cornelshed::standins {

namespace asio = boost::asio;

HttpHandler ServiceServer::handler()
{
    return [this](const HttpCall &call, HttpAnswer &answer) { return handle(call, answer); };
}

asio::awaitable<void> ServiceServer::handle(const HttpCall &call, HttpAnswer &answer)
{
    if (call.method == "GET" && call.path == "/ledger") {
        co_await answer.whole(200, m_ledger.toJson());
        co_return;
    }
    const std::string marker = findMarker(call.body);
    const LedgerKey key {call.header("idempotency-key"), call.header("x-request-id"), marker};
    const bool recorded = call.method == "POST";
    if (recorded)
        m_ledger.start(key);
    if (m_delay.count() > 0) {
        asio::steady_timer timer(m_context, m_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const boost::json::object reply {{"path", call.path},
                                     {"marker", marker},
                                     {"request_id", key.requestId},
                                     {"idempotency_key", key.idempotencyKey}};
    const bool sent = co_await answer.whole(200, boost::json::serialize(reply));
    if (recorded && sent)
        m_ledger.entry(key).finished += 1;
}

} // namespace cornelshed::standins
