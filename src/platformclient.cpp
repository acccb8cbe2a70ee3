// Conversion between table values and the platform's JSON, and the HTTP calls.

#include "platformclient.h"

#include "httpcall.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cornelshed {

namespace {

namespace json = boost::json;
using boost::beast::http::verb;
using detail::HttpResponse;

// Returns the error for an answer other than success. isWrite: the call may have changed data.
TableError errorFromAnswer(const HttpResponse &answer, bool isWrite)
{
    if (answer.status == 0) {
        const bool unknown = answer.sent && isWrite;
        return {unknown ? TableErrorKind::Unknown : TableErrorKind::Unavailable,
                "platform: " + answer.problem};
    }
    const std::string message = "platform: HTTP status " + std::to_string(answer.status);
    if (answer.status == 409)
        return {TableErrorKind::Conflict, message};
    const bool refused = (answer.status >= 400 && answer.status < 500) || answer.status == 503;
    return {refused || !isWrite ? TableErrorKind::Unavailable : TableErrorKind::Unknown, message};
}

bool isSuccess(const HttpResponse &answer)
{
    return answer.status >= 200 && answer.status < 300;
}

TableError malformedAnswerError()
{
    return {TableErrorKind::Unavailable, "platform: malformed answer"};
}

std::string stringOrJson(const json::value &value)
{
    if (const json::string *text = value.if_string())
        return std::string(*text);
    return json::serialize(value);
}

// Throws boost::system::system_error on a missing member or one of the wrong type.
TableRows parseRows(const std::string &body)
{
    TableRows rows;
    const json::value document = json::parse(body);
    for (const auto &[key, row] : document.at("rows").as_object())
        rows[std::string(key)] = {row.at("version").to_number<std::uint64_t>(),
                                  stringOrJson(row.at("value"))};
    return rows;
}

std::string optionalText(const json::value &host, const char *key)
{
    const json::value *value = host.as_object().if_contains(key);
    return value == nullptr || value->is_null() ? std::string() : stringOrJson(*value);
}

std::uint16_t optionalPort(const json::value &host, const char *key)
{
    const json::value *value = host.as_object().if_contains(key);
    return value == nullptr || value->is_null() ? std::uint16_t {0}
                                                : value->to_number<std::uint16_t>();
}

std::vector<PlatformHost> parseHosts(const std::string &body)
{
    std::vector<PlatformHost> hosts;
    const json::value document = json::parse(body);
    for (const json::value &it : document.at("hosts").as_array()) {
        hosts.push_back({stringOrJson(it.at("name")), stringOrJson(it.at("address")),
                         optionalPort(it, "port"), optionalPort(it, "peer_port"),
                         optionalText(it, "availability_zone"), optionalText(it, "role"),
                         optionalText(it, "pool"), optionalText(it, "state")});
    }
    std::sort(hosts.begin(), hosts.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    return hosts;
}

json::object conditionToJson(const TableCondition &it)
{
    if (it.version == 0)
        return {{"key", it.key}, {"absent", true}};
    return {{"key", it.key}, {"version", it.version}};
}

json::object writeToJson(const TableWrite &it)
{
    if (!it.value.has_value())
        return {{"key", it.key}, {"delete", true}};
    return {{"key", it.key}, {"value", *it.value}};
}

std::string transactionToJson(const TableTransaction &transaction)
{
    json::array conditions;
    for (const TableCondition &it : transaction.conditions)
        conditions.push_back(conditionToJson(it));
    json::array writes;
    for (const TableWrite &it : transaction.writes)
        writes.push_back(writeToJson(it));
    return json::serialize(json::object {{"conditions", conditions}, {"writes", writes}});
}

// Returns the parsed value of a read, or its error.
template<typename Value, typename Parse>
Result<Value, TableError> parseRead(const HttpResponse &answer, Parse parse)
{
    if (!isSuccess(answer))
        return errorFromAnswer(answer, false);
    try {
        return parse(answer.body);
    } catch (const std::exception &) { // Boost.JSON throws several types for type errors
        return malformedAnswerError();
    }
}

std::optional<TableError> parseWrite(const HttpResponse &answer)
{
    if (isSuccess(answer))
        return std::nullopt;
    return errorFromAnswer(answer, true);
}

} // namespace

class PlatformClient::Private
{
public:
    Private(boost::asio::io_context &context, PlatformSettings settings)
        : m_context(context), m_settings(std::move(settings))
    { }

    void call(verb method, std::string target, std::string body, const char *contentType,
              std::function<void(HttpResponse)> callback)
    {
        detail::HttpRequest request;
        request.address = m_settings.address;
        request.port = m_settings.port;
        request.method = method;
        request.target = std::move(target);
        request.body = std::move(body);
        request.contentType = contentType;
        request.timeout = m_settings.timeout;
        request.responseLimitBytes = m_settings.responseLimitBytes;
        detail::callHttp(m_context, std::move(request),
                         [alive = std::weak_ptr<const bool>(m_alive),
                          callback = std::move(callback)](HttpResponse answer) {
                             if (!alive.expired())
                                 callback(std::move(answer));
                         });
    }

    void post(const char *target, std::string body, std::function<void(HttpResponse)> callback)
    {
        call(verb::post, target, std::move(body), "application/json", std::move(callback));
    }

private:
    boost::asio::io_context &m_context;
    PlatformSettings m_settings;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

PlatformClient::PlatformClient(boost::asio::io_context &context, PlatformSettings settings)
    : d(std::make_unique<Private>(context, std::move(settings)))
{ }

PlatformClient::~PlatformClient() = default;

void PlatformClient::read(std::vector<std::string> keys, RowsCallback callback)
{
    json::array names;
    for (const std::string &it : keys)
        names.emplace_back(it);
    d->post("/table/read", json::serialize(json::object {{"keys", names}}),
            [callback = std::move(callback)](const HttpResponse &answer) {
                callback(parseRead<TableRows>(answer, parseRows));
            });
}

void PlatformClient::scan(std::string prefix, RowsCallback callback)
{
    d->post("/table/scan", json::serialize(json::object {{"prefix", prefix}}),
            [callback = std::move(callback)](const HttpResponse &answer) {
                callback(parseRead<TableRows>(answer, parseRows));
            });
}

void PlatformClient::transact(TableTransaction transaction, CommitCallback callback)
{
    d->post("/table/transact", transactionToJson(transaction),
            [callback = std::move(callback)](const HttpResponse &answer) {
                callback(parseWrite(answer));
            });
}

void PlatformClient::getObject(std::string key, ObjectCallback callback)
{
    d->call(verb::get, "/objects/" + key, "", "",
            [callback = std::move(callback)](const HttpResponse &answer) {
                callback(parseRead<std::string>(answer, [](const std::string &it) { return it; }));
            });
}

void PlatformClient::putObject(std::string key, std::string data, CommitCallback callback)
{
    d->call(verb::put, "/objects/" + key, std::move(data), "application/octet-stream",
            [callback = std::move(callback)](const HttpResponse &answer) {
                callback(parseWrite(answer));
            });
}

void PlatformClient::hosts(HostsCallback callback)
{
    d->call(verb::get, "/hosts", "", "",
            [callback = std::move(callback)](const HttpResponse &answer) {
                callback(parseRead<std::vector<PlatformHost>>(answer, parseHosts));
            });
}

} // namespace cornelshed
