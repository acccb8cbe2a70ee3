// Platform stand-in: routes, faults and caps.

#include "platformserver.h"

#include "laggedvalue.h"
#include "ratecap.h"
#include "tablestore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace cornelshed::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

enum class TableFault { Up, Down, Slow, LoseAnswers };

struct Reply
{
    unsigned status = 200;
    std::string body = "{}";
};

std::optional<TableFault> parseFault(const std::string &mode)
{
    static const std::map<std::string, TableFault> modes {
            {"up", TableFault::Up},
            {"down", TableFault::Down},
            {"slow", TableFault::Slow},
            {"lose_answers", TableFault::LoseAnswers}};
    const auto it = modes.find(mode);
    return it == modes.end() ? std::nullopt : std::optional(it->second);
}

std::string textOf(const json::value &value)
{
    return json::value_to<std::string>(value);
}

json::object rowsObject(const StoredRows &rows)
{
    json::object object;
    for (const auto &[key, row] : rows)
        object[key] = json::object {{"version", row.version}, {"value", row.value}};
    return object;
}

RowCondition conditionOf(const json::object &object)
{
    RowCondition condition {textOf(object.at("key")), 0};
    const json::value *version = object.if_contains("version");
    if (version != nullptr)
        condition.version = json::value_to<std::uint64_t>(*version);
    else if (!object.at("absent").as_bool())
        throw std::invalid_argument("absent must be true");
    return condition;
}

RowWrite writeOf(const json::object &object)
{
    RowWrite write {textOf(object.at("key")), std::nullopt};
    const json::value *value = object.if_contains("value");
    if (value != nullptr)
        write.value = textOf(*value);
    else if (!object.at("delete").as_bool())
        throw std::invalid_argument("delete must be true");
    return write;
}

Reply transactionReply(const TransactionResult &result)
{
    json::object versions;
    json::array failed;
    for (const auto &[key, row] : result.rows) {
        versions[key] = row.version;
        failed.push_back({{"key", key}, {"version", row.version}, {"value", row.value}});
    }
    if (result.committed)
        return {200, json::serialize(json::object {{"versions", std::move(versions)}})};
    return {409, json::serialize(json::object {{"failed", std::move(failed)}})};
}

} // namespace

class PlatformServer::Private
{
public:
    Private(asio::io_context &context, PlatformOptions options)
        : m_context(context), m_options(options), m_reads(options.readsPerSecond),
          m_writes(options.writesPerSecond), m_hosts(json::array(), options.hostLag)
    { }

    asio::awaitable<void> handle(const HttpCall &call, HttpAnswer &answer);

private:
    asio::awaitable<void> handleStore(const HttpCall &call, HttpAnswer &answer);
    Reply runStore(const HttpCall &call);
    Reply runTransaction(const json::object &body);
    Reply runAdministration(const HttpCall &call);
    bool admitted(const HttpCall &call);
    [[nodiscard]] TableFault activeFault() const;
    void setFault(const json::object &body, TableFault fault);
    [[nodiscard]] std::string counts() const;

    asio::io_context &m_context;
    PlatformOptions m_options;
    TableStore m_table;
    std::map<std::string, std::string> m_objects;
    RateCap m_reads;
    RateCap m_writes;
    LaggedValue<json::array> m_hosts;
    TableFault m_fault = TableFault::Up;
    Clock::time_point m_faultEnd = Clock::time_point::max();
};

asio::awaitable<void> PlatformServer::Private::handle(const HttpCall &call, HttpAnswer &answer)
{
    const bool store = call.path.starts_with("/table/") || call.path.starts_with("/objects/");
    const bool hostList = call.method == "GET" && call.path == "/hosts";
    if ((store || hostList) && !admitted(call)) {
        co_await answer.whole(429, R"({"error":"over the cap"})");
        co_return;
    }
    if (store) {
        co_await handleStore(call, answer);
        co_return;
    }
    Reply reply = runAdministration(call);
    co_await answer.whole(reply.status, std::move(reply.body));
}

asio::awaitable<void> PlatformServer::Private::handleStore(const HttpCall &call, HttpAnswer &answer)
{
    const TableFault fault = activeFault();
    if (fault == TableFault::Down) {
        co_await answer.whole(503, R"({"error":"unavailable"})");
        co_return;
    }
    if (fault == TableFault::Slow) {
        asio::steady_timer timer(m_context, m_options.slowDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    Reply reply = runStore(call);
    if (fault == TableFault::LoseAnswers) {
        answer.drop();
        co_return;
    }
    co_await answer.whole(reply.status, std::move(reply.body));
}

Reply PlatformServer::Private::runStore(const HttpCall &call)
{
    if (call.path.starts_with("/objects/")) {
        const std::string key = call.path.substr(std::string("/objects/").size());
        if (call.method == "PUT") {
            m_objects[key] = call.body;
            return {};
        }
        const auto it = m_objects.find(key);
        return it == m_objects.end() ? Reply {404, "{}"} : Reply {200, it->second};
    }
    const json::object body = json::parse(call.body).as_object();
    if (call.path == "/table/transact")
        return runTransaction(body);
    StoredRows rows;
    if (call.path == "/table/read")
        rows = m_table.read(json::value_to<std::vector<std::string>>(body.at("keys")));
    else if (call.path == "/table/scan")
        rows = m_table.scan(textOf(body.at("prefix")));
    else
        return {404, "{}"};
    return {200, json::serialize(json::object {{"rows", rowsObject(rows)}})};
}

Reply PlatformServer::Private::runTransaction(const json::object &body)
{
    std::vector<RowCondition> conditions;
    for (const json::value &it : body.at("conditions").as_array())
        conditions.push_back(conditionOf(it.as_object()));
    std::vector<RowWrite> writes;
    for (const json::value &it : body.at("writes").as_array())
        writes.push_back(writeOf(it.as_object()));
    return transactionReply(m_table.transact(conditions, writes));
}

Reply PlatformServer::Private::runAdministration(const HttpCall &call)
{
    if (call.path == "/counts")
        return {200, counts()};
    if (call.path == "/hosts") {
        const json::array hosts = m_hosts.visible(Clock::now());
        return {200, json::serialize(json::object {{"hosts", hosts}})};
    }
    const json::object body = json::parse(call.body).as_object();
    if (call.path == "/hosts/set") {
        m_hosts.set(Clock::now(), body.at("hosts").as_array());
        return {};
    }
    if (call.path != "/fault")
        return {404, "{}"};
    const auto fault = parseFault(textOf(body.at("table")));
    if (!fault.has_value())
        return {400, R"({"error":"unknown fault"})"};
    setFault(body, *fault);
    return {};
}

bool PlatformServer::Private::admitted(const HttpCall &call)
{
    const auto now = Clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    const bool write = call.path == "/table/transact" || call.method == "PUT";
    return write ? m_writes.admit(second) : m_reads.admit(second);
}

TableFault PlatformServer::Private::activeFault() const
{
    return Clock::now() < m_faultEnd ? m_fault : TableFault::Up;
}

void PlatformServer::Private::setFault(const json::object &body, TableFault fault)
{
    m_fault = fault;
    m_faultEnd = Clock::time_point::max();
    const json::value *seconds = body.if_contains("seconds");
    if (seconds == nullptr)
        return;
    const std::chrono::duration<double> length(seconds->to_number<double>());
    m_faultEnd = Clock::now() + std::chrono::duration_cast<Clock::duration>(length);
}

std::string PlatformServer::Private::counts() const
{
    return json::serialize(json::object {{"reads", m_reads.totalCount()},
                                         {"writes", m_writes.totalCount()},
                                         {"refused_reads", m_reads.refusedCount()},
                                         {"refused_writes", m_writes.refusedCount()},
                                         {"worst_second_reads", m_reads.worstSecondCount()},
                                         {"worst_second_writes", m_writes.worstSecondCount()}});
}

PlatformServer::PlatformServer(asio::io_context &context, PlatformOptions options)
    : d(std::make_unique<Private>(context, options))
{ }

PlatformServer::~PlatformServer() = default;

HttpHandler PlatformServer::handler()
{
    return [this](const HttpCall &call, HttpAnswer &answer) { return d->handle(call, answer); };
}

} // namespace cornelshed::standins
