// Platform stand-in: HTTP routes, injected faults and rate limits.

#include "platformserver.h"

#include "laggedvalue.h"
#include "ratelimiter.h"
#include "tablestore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace cornelshed::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

// Injected fault of the table and of the object store.
enum class TableFault { Up, Down, Slow, LoseAnswers };

struct Reply
{
    unsigned status = 200;
    std::string body = "{}";
};

std::optional<TableFault> parseTableFault(const std::string &mode)
{
    static const std::map<std::string, TableFault> modes {
            {"up", TableFault::Up},
            {"down", TableFault::Down},
            {"slow", TableFault::Slow},
            {"lose_answers", TableFault::LoseAnswers}};
    const auto it = modes.find(mode);
    return it == modes.end() ? std::nullopt : std::optional(it->second);
}

std::string stringValue(const json::value &value)
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

RowCondition parseCondition(const json::object &object)
{
    RowCondition condition {stringValue(object.at("key")), 0};
    const json::value *version = object.if_contains("version");
    if (version != nullptr)
        condition.version = json::value_to<std::uint64_t>(*version);
    else if (!object.at("absent").as_bool())
        throw std::invalid_argument("absent must be true");
    return condition;
}

RowWrite parseWrite(const json::object &object)
{
    RowWrite write {stringValue(object.at("key")), std::nullopt};
    const json::value *value = object.if_contains("value");
    if (value != nullptr)
        write.value = stringValue(*value);
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
        : m_context(context), m_options(options), m_readLimiter(options.readsPerSecond),
          m_writeLimiter(options.writesPerSecond), m_hosts(json::array(), options.hostLag)
    { }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponseWriter &response);

private:
    asio::awaitable<void> handleStoreOperation(const HttpRequest &request,
                                               HttpResponseWriter &response);
    Reply executeStoreOperation(const HttpRequest &request);
    Reply executeTransaction(const json::object &body);
    Reply handleAdministration(const HttpRequest &request);
    // Counts an operation, and returns whether it is within the rate limit.
    bool admitOperation(const HttpRequest &request);
    [[nodiscard]] TableFault activeFault() const;
    void setFault(const json::object &body, TableFault fault);
    [[nodiscard]] std::string operationCountsJson() const;

    asio::io_context &m_context;
    PlatformOptions m_options;
    TableStore m_table;
    std::map<std::string, std::string> m_objects;
    RateLimiter m_readLimiter;
    RateLimiter m_writeLimiter;
    LaggedValue<json::array> m_hosts;
    TableFault m_fault = TableFault::Up;
    Clock::time_point m_faultEnd = Clock::time_point::max();
};

asio::awaitable<void> PlatformServer::Private::handle(const HttpRequest &request,
                                                      HttpResponseWriter &response)
{
    const bool isStoreOperation =
            request.path.starts_with("/table/") || request.path.starts_with("/objects/");
    const bool isHostListRead = request.method == "GET" && request.path == "/hosts";
    if ((isStoreOperation || isHostListRead) && !admitOperation(request)) {
        co_await response.send(429, R"({"error":"over the cap"})");
        co_return;
    }
    if (isStoreOperation) {
        co_await handleStoreOperation(request, response);
        co_return;
    }
    Reply reply = handleAdministration(request);
    co_await response.send(reply.status, std::move(reply.body));
}

asio::awaitable<void> PlatformServer::Private::handleStoreOperation(const HttpRequest &request,
                                                                    HttpResponseWriter &response)
{
    const TableFault fault = activeFault();
    if (fault == TableFault::Down) {
        co_await response.send(503, R"({"error":"unavailable"})");
        co_return;
    }
    if (fault == TableFault::Slow) {
        asio::steady_timer timer(m_context, m_options.slowDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    Reply reply = executeStoreOperation(request);
    if (fault == TableFault::LoseAnswers) {
        response.abort();
        co_return;
    }
    co_await response.send(reply.status, std::move(reply.body));
}

Reply PlatformServer::Private::executeStoreOperation(const HttpRequest &request)
{
    if (request.path.starts_with("/objects/")) {
        const std::string key = request.path.substr(std::string("/objects/").size());
        if (request.method == "PUT") {
            m_objects[key] = request.body;
            return {};
        }
        const auto it = m_objects.find(key);
        return it == m_objects.end() ? Reply {404, "{}"} : Reply {200, it->second};
    }
    const json::object body = json::parse(request.body).as_object();
    if (request.path == "/table/transact")
        return executeTransaction(body);
    StoredRows rows;
    if (request.path == "/table/read")
        rows = m_table.read(json::value_to<std::vector<std::string>>(body.at("keys")));
    else if (request.path == "/table/scan")
        rows = m_table.scan(stringValue(body.at("prefix")));
    else
        return {404, "{}"};
    return {200, json::serialize(json::object {{"rows", rowsObject(rows)}})};
}

Reply PlatformServer::Private::executeTransaction(const json::object &body)
{
    std::vector<RowCondition> conditions;
    for (const json::value &it : body.at("conditions").as_array())
        conditions.push_back(parseCondition(it.as_object()));
    std::vector<RowWrite> writes;
    for (const json::value &it : body.at("writes").as_array())
        writes.push_back(parseWrite(it.as_object()));
    return transactionReply(m_table.transact(conditions, writes));
}

Reply PlatformServer::Private::handleAdministration(const HttpRequest &request)
{
    if (request.path == "/counts")
        return {200, operationCountsJson()};
    if (request.path == "/hosts") {
        const json::array hosts = m_hosts.visible(Clock::now());
        return {200, json::serialize(json::object {{"hosts", hosts}})};
    }
    const json::object body = json::parse(request.body).as_object();
    if (request.path == "/hosts/set") {
        m_hosts.set(Clock::now(), body.at("hosts").as_array());
        return {};
    }
    if (request.path != "/fault")
        return {404, "{}"};
    const auto fault = parseTableFault(stringValue(body.at("table")));
    if (!fault.has_value())
        return {400, R"({"error":"unknown fault"})"};
    setFault(body, *fault);
    return {};
}

bool PlatformServer::Private::admitOperation(const HttpRequest &request)
{
    const auto now = Clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    const bool isWrite = request.path == "/table/transact" || request.method == "PUT";
    return isWrite ? m_writeLimiter.admit(second) : m_readLimiter.admit(second);
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
    const std::chrono::duration<double> faultDuration(seconds->to_number<double>());
    m_faultEnd = Clock::now() + std::chrono::duration_cast<Clock::duration>(faultDuration);
}

std::string PlatformServer::Private::operationCountsJson() const
{
    return json::serialize(
            json::object {{"reads", m_readLimiter.totalCount()},
                          {"writes", m_writeLimiter.totalCount()},
                          {"refused_reads", m_readLimiter.refusedCount()},
                          {"refused_writes", m_writeLimiter.refusedCount()},
                          {"worst_second_reads", m_readLimiter.peakSecondCount()},
                          {"worst_second_writes", m_writeLimiter.peakSecondCount()}});
}

PlatformServer::PlatformServer(asio::io_context &context, PlatformOptions options)
    : d(std::make_unique<Private>(context, options))
{ }

PlatformServer::~PlatformServer() = default;

HttpHandler PlatformServer::handler()
{
    return [this](const HttpRequest &request, HttpResponseWriter &response) {
        return d->handle(request, response);
    };
}

} // namespace cornelshed::standins
