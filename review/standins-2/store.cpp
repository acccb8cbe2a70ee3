// One thread for each connection.

#include "store.h"

#include <boost/json.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <string_view>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::string_view base64Letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::int64_t clockOffsetMs = 50000; // of the store's steady clock

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            const auto byte =
                    at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0U;
            group = (group << 8U) | byte;
        }
        for (std::size_t i = 0; i < 4; ++i)
            text += at + i > bytes.size() ? '=' : base64Letters[(group >> (18 - 6 * i)) & 63U];
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    std::size_t bits = 0;
    for (const char it : text) {
        const std::size_t value = base64Letters.find(it);
        if (value == std::string_view::npos)
            break;
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        bytes += static_cast<char>((group >> bits) & 0xffU);
    }
    return bytes;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

Store::Store(Address address)
    : m_address(std::move(address)), m_listener(listenOn(m_address)), m_thread([this] {
          while (!m_stopped) {
              pollfd entry {m_listener, POLLIN, 0};
              if (::poll(&entry, 1, 50) <= 0)
                  continue;
              Socket socket(::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC));
              m_connections.emplace_back(
                      [this, held = std::move(socket)]() mutable { serve(std::move(held)); });
          }
      })
{ }

Store::~Store()
{
    m_stopped = true;
    m_thread.join();
    for (std::thread &it : m_connections)
        it.join();
    ::close(m_listener);
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {toBase64(value), ++m_version, false};
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, key}] = {{}, ++m_version, true};
}

std::string Store::get(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_rows.find({table, key});
    return found == m_rows.end() ? std::string() : fromBase64(found->second.value);
}

void Store::serve(Socket socket)
{
    std::string buffer;
    while (!m_stopped) {
        if (buffer.empty()) {
            pollfd entry {socket.fd(), POLLIN, 0};
            if (::poll(&entry, 1, 50) <= 0)
                continue;
        }
        const Message request = readMessage(socket, buffer, 2000, false);
        if (!request.complete)
            return;
        sleepMs(4);
        if (!socket.send(answer(request)))
            return;
    }
}

std::string Store::answer(const Message &request)
{
    const std::lock_guard lock(m_mutex);
    int status = 200;
    std::string body;
    if (request.startLine.find("/rows-tx") != std::string::npos)
        std::tie(status, body) = transact(request.body);
    else
        body = rowsAnswer(request.startLine.substr(0, request.startLine.rfind(' ')),
                          request.startLine.find("/rows-feed") != std::string::npos);
    return "HTTP/1.1 " + std::to_string(status)
            + " -\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Store::rowsAnswer(const std::string &target, bool isFeed)
{
    const std::string table = parameter(target, "table");
    const std::uint64_t after = std::strtoull(parameter(target, "after_rev").c_str(), nullptr, 10);
    std::map<std::uint64_t, std::string> byVersion;
    std::vector<std::string> byKey;
    for (const auto &[key, row] : m_rows) {
        if (key.first != table || (isFeed ? row.version <= after : row.removed))
            continue;
        json::object object {
                {"table", table}, {"part", ""}, {"key", key.second}, {"ver", row.version}};
        if (row.removed)
            object["removed"] = true;
        else
            object["value"] = row.value;
        byVersion[row.version] = json::serialize(object);
        byKey.push_back(byVersion[row.version]);
    }
    std::string rows;
    if (isFeed) {
        for (const auto &[version, text] : byVersion)
            rows += (rows.empty() ? "" : ",") + text;
    } else {
        for (const std::string &text : byKey)
            rows += (rows.empty() ? "" : ",") + text;
    }
    return "{\"rows\":[" + rows + "],\"has_more\":false," + tail();
}

std::pair<int, std::string> Store::transact(const std::string &body)
{
    const json::value parsed = json::parse(body);
    for (const json::value &it : parsed.at("expected_rev").as_array()) {
        const RowKey key {std::string(it.at("table").as_string()),
                          std::string(it.at("key").as_string())};
        const auto found = m_rows.find(key);
        const std::uint64_t version =
                found == m_rows.end() || found->second.removed ? 0 : found->second.version;
        if (it.at("ver").to_number<std::uint64_t>() != version)
            return {412, "{\"rows\":[]," + tail()};
    }
    ++m_version;
    for (const json::value &it : parsed.at("puts").as_array())
        m_rows[{std::string(it.at("table").as_string()), std::string(it.at("key").as_string())}] = {
                std::string(it.at("value").as_string()), m_version, false};
    return {200, "{" + tail()};
}

// The members that all answers about rows end with.
std::string Store::tail() const
{
    return "\"ver\":" + std::to_string(m_version)
            + ",\"now_ms\":" + std::to_string(clockOffsetMs + msSince(m_start)) + "}";
}

} // namespace review
