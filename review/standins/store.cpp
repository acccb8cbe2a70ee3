// Stand-in of the platform's store: versioned rows and a change feed on a free loopback port.

#include "store.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdlib>

namespace review {

namespace json = boost::json;

namespace {

constexpr const char *base64Digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8U) | (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= n ? base64Digits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
    return text;
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

} // namespace

Store::Store() : m_socket("127.0.0.1", 0), m_acceptThread([this] { acceptLoop(); }) { }

Store::~Store()
{
    m_socket.close();
    m_acceptThread.join();
    {
        const std::lock_guard lock(m_connectionsMutex);
        for (const auto &it : m_connections)
            it->shutDown();
    }
    for (std::thread &it : m_threads)
        it.join();
}

void Store::put(const std::string &table, const std::string &key, const std::string &json)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {encodeBase64(json), ++m_version, false};
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {{}, ++m_version, true};
}

void Store::acceptLoop()
{
    for (;;) {
        const int descriptor = m_socket.accept();
        if (descriptor < 0)
            return;
        const std::lock_guard lock(m_connectionsMutex);
        const auto connection = std::make_shared<Connection>(descriptor);
        m_connections.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(*connection); });
    }
}

void Store::serve(Connection &connection)
{
    while (const auto request = readRequest(connection)) {
        int status = 200;
        const std::string body = handle(*request, status);
        if (!connection.send("HTTP/1.1 " + std::to_string(status)
                             + " x\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

std::string Store::handle(const HttpRequest &request, int &status)
{
    const std::lock_guard lock(m_mutex);
    if (request.method == "POST")
        return write(request.body, status);
    return read(request.target, request.target.find("/rows-feed") != std::string::npos);
}

std::string Store::rowText(const RowKey &key, const Row &row) const
{
    json::object object {
            {"table", key.first}, {"part", ""}, {"key", key.second}, {"ver", row.version}};
    if (row.removed)
        object["removed"] = true;
    else
        object["value"] = row.value;
    return json::serialize(object);
}

std::string Store::versionText() const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return "\"ver\":" + std::to_string(m_version) + ",\"now_ms\":" + std::to_string(ms);
}

// A feed holds the changes after a version in their order, a snapshot the present rows by key.
std::string Store::read(const std::string &target, bool isFeed) const
{
    const std::string table = parameter(target, "table");
    const std::uint64_t after = std::strtoull(parameter(target, "after_rev").c_str(), nullptr, 10);
    std::map<std::pair<std::uint64_t, std::string>, std::string> texts;
    for (const auto &[key, row] : m_rows) {
        if (key.first != table || (isFeed ? row.version <= after : row.removed))
            continue;
        texts[{isFeed ? row.version : 0, key.second}] = rowText(key, row);
    }
    std::string rows;
    for (const auto &[key, text] : texts)
        rows += (rows.empty() ? "" : ",") + text;
    return "{\"rows\":[" + rows + "],\"has_more\":false," + versionText() + "}";
}

std::string Store::write(const std::string &body, int &status)
{
    const json::value parsed = json::parse(body);
    const auto keyOf = [](const json::value &it) {
        return RowKey {json::value_to<std::string>(it.at("table")),
                       json::value_to<std::string>(it.at("key"))};
    };
    for (const json::value &it : parsed.at("expected_rev").as_array()) {
        const auto row = m_rows.find(keyOf(it));
        const std::uint64_t version =
                row == m_rows.end() || row->second.removed ? 0 : row->second.version;
        if (version != it.at("ver").to_number<std::uint64_t>()) {
            status = 412;
            return R"({"rows":[]})";
        }
    }
    ++m_version;
    for (const json::value &it : parsed.at("puts").as_array())
        m_rows[keyOf(it)] = {json::value_to<std::string>(it.at("value")), m_version, false};
    for (const json::value &it : parsed.at("remove").as_array())
        m_rows[keyOf(it)] = {{}, m_version, true};
    return "{" + versionText() + "}";
}

} // namespace review
