// Requesters, and the configuration that they need.

#include "caller.h"

#include <atomic>
#include <cstdio>

namespace review {

using namespace std::chrono_literals;

namespace {

std::string nextId()
{
    static std::atomic<unsigned> count {0};
    std::string id(17, '0');
    id.resize(static_cast<std::size_t>(std::snprintf(id.data(), id.size(), "%016x", ++count)));
    return id;
}

std::string route(const std::string &name, const std::string &kind, const std::string &rest)
{
    return R"({"name":")" + name + R"(","host":"shop.example","prefix":"/)" + name
            + R"(/","kind":")" + kind + R"(","auth_exempt":false,)" + rest + "}";
}

} // namespace

CallerResult Caller::call(const CallerRequest &request)
{
    CallerResult result;
    result.id = nextId();
    result.isKept = m_connection && m_connection->isOpen();
    if (!result.isKept)
        m_connection = std::make_unique<Connection>(connectTo(m_address, m_port));
    if (!m_connection->isOpen())
        return result;
    m_connection->setReadLimit(request.limit + 1s);
    m_record.add("requester sends " + result.id + " " + request.method + " " + request.target
                 + " with " + std::to_string(request.body.size()) + " bytes");
    result.isSent =
            m_connection->send(request.method + " " + request.target
                               + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + result.id
                               + "\r\nX-Deadline-Ms: " + std::to_string(request.limit.count())
                               + "\r\nX-Key: key-1\r\n" + request.moreHeaders + "Content-Length: "
                               + std::to_string(request.body.size()) + "\r\n\r\n" + request.body);
    if (result.isSent)
        result.answer = readAnswer(*m_connection, request.method == "HEAD");
    result.isCut = result.isSent && !result.answer.isComplete;
    const std::string status = std::to_string(result.answer.status);
    m_record.add("requester of " + result.id
                 + (!result.isSent          ? " finds its channel closed before all was sent"
                            : !result.isCut ? " gets " + status
                            : result.answer.status == 0
                            ? " finds its channel closed without an answer"
                            : " finds its channel closed within the answer with status " + status));
    if (result.isCut || !result.isSent
        || headerValue(result.answer.headers, "Connection") == "close")
        m_connection->close();
    return result;
}

std::string Caller::unread()
{
    return m_connection && m_connection->isOpen() ? m_connection->unread() : std::string();
}

void writeConfiguration(Store &store)
{
    const std::string orders = R"("priority":2,"target_latency_ms":300,"timeout_ms":3000,)"
                               R"("service":"book","sticky":false,"resumable":false,)";
    store.put("op", "config",
              R"({"version":1,"routes":[)"
                      + route("lodge", "non_idempotent", orders + R"("max_attempts":1)") + ","
                      + route("look", "idempotent", orders + R"("max_attempts":2)") + ","
                      + route("draft", "streaming",
                              R"("priority":0,"target_latency_ms":600,"timeout_ms":5000,)"
                              R"("service":"voice","sticky":true,"resumable":true,)"
                              R"("gap_aim_ms":250,"max_attempts":2)")
                      + R"(],"services":[{"name":"book","cold_per_s":0.0},)"
                        R"({"name":"voice","cold_per_s":0.0}],)"
                        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
                        R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
                        R"("tenants":[{"name":"acme","api_keys":["key-1"],"priority":1,)"
                        R"("unit":"token_usage","plain_tokens":200,"rate_per_s":0,"burst":0}]})");
}

} // namespace review
