// Calls of the platform's store, on rows in memory.

#include "storestub.h"

#include "monotonicclock.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json.hpp>

#include <array>
#include <utility>

namespace cornelshed::testing {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<const char *, RowTable>, 6> tableNames {
        {{"op", RowTable::Orders},
         {"servers", RowTable::Backends},
         {"gateways", RowTable::Gateways},
         {"status", RowTable::Statuses},
         {"prompts", RowTable::Prompts},
         {"duties", RowTable::Duties}}};

RowTable tableOf(const std::string &name)
{
    for (const auto &[tableName, table] : tableNames) {
        if (name == tableName)
            return table;
    }
    throw std::invalid_argument("unknown table " + name);
}

std::string encodeBase64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    return text.append((3 - bytes.size() % 3) % 3, '=');
}

// Value of a parameter of the target; empty if it has none.
std::string parameter(const std::string &target, const std::string &name)
{
    auto at = target.find("?" + name + "=");
    if (at == std::string::npos)
        at = target.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
}

json::object rowObject(const StoredRow &row)
{
    json::object object {{"key", row.key}, {"ver", row.version}};
    if (row.removed)
        object["removed"] = true;
    else
        object["value"] = row.value;
    return object;
}

} // namespace

StoreStub::StoreStub()
    : m_server([this](const StubRequest &request, StubReply &reply) { handle(request, reply); })
{ }

void StoreStub::set(RowTable table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_content.set(table, key, encodeBase64(value));
}

void StoreStub::keepCopy()
{
    const std::lock_guard lock(m_mutex);
    m_content.keepCopy();
}

void StoreStub::goAway()
{
    const std::lock_guard lock(m_mutex);
    m_isAway = true;
}

void StoreStub::returnFromCopy()
{
    const std::lock_guard lock(m_mutex);
    m_content.returnFromCopy();
    m_isAway = false;
}

void StoreStub::handle(const StubRequest &request, StubReply &reply)
{
    int status = 200;
    std::string body;
    std::uint64_t era = 0;
    {
        const std::lock_guard lock(m_mutex);
        era = m_content.era;
        if (m_isAway)
            status = 503;
        else if (request.method == "POST")
            body = write(request.body, status);
        else
            body = read(request.target, status);
    }
    reply.send("HTTP/1.1 " + std::to_string(status)
               + " x\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era)
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string StoreStub::read(const std::string &target, int &status)
{
    const bool isFeed = target.find("/rows-feed") != std::string::npos;
    const std::string afterText = parameter(target, "after_rev");
    const std::uint64_t after = afterText.empty() ? 0 : std::stoull(afterText);
    if (after > m_content.version()) {
        status = 410;
        return {};
    }
    json::array rows;
    for (const auto &[key, row] : m_content.rows(tableOf(parameter(target, "table")))) {
        if (isFeed ? row.version > after : !row.removed)
            rows.push_back(rowObject(row));
    }
    const auto now = std::chrono::floor<std::chrono::milliseconds>(timeSinceBoot());
    return json::serialize(json::object {{"rows", std::move(rows)},
                                         {"has_more", false},
                                         {"ver", m_content.version()},
                                         {"now_ms", now.count()}});
}

std::string StoreStub::write(const std::string &body, int &status)
{
    const json::object call = json::parse(body).as_object();
    const auto rowOf = [&](const json::object &object) {
        const auto &rows = m_content.rows(tableOf(std::string(object.at("table").as_string())));
        const auto it = rows.find(std::string(object.at("key").as_string()));
        return it == rows.end() || it->second.removed ? StoredRow {} : it->second;
    };
    for (const json::value &it : call.at("expected_rev").as_array()) {
        const json::object &condition = it.as_object();
        if (rowOf(condition).version != condition.at("ver").to_number<std::uint64_t>()) {
            status = 412;
            return R"({"rows":[]})";
        }
    }
    for (const json::value &it : call.at("puts").as_array()) {
        const json::object &put = it.as_object();
        m_content.set(tableOf(std::string(put.at("table").as_string())),
                      std::string(put.at("key").as_string()),
                      std::string(put.at("value").as_string()));
    }
    return json::serialize(json::object {{"ver", m_content.version()}});
}

} // namespace cornelshed::testing
