// Serves one request at a time on its own thread, with a new connection for each request.

#include "modelplatform.h"

#include "tablemodel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace cornelshed::testing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

json::object rowsToJson(const TableRows &rows)
{
    json::object result;
    for (const auto &[key, row] : rows)
        result[key] = json::object {{"version", row.version}, {"value", row.value}};
    return {{"rows", result}};
}

TableTransaction transactionFromJson(const json::value &body)
{
    TableTransaction transaction;
    for (const json::value &it : body.at("conditions").as_array()) {
        const json::object &condition = it.as_object();
        const json::value *version = condition.if_contains("version");
        transaction.conditions.push_back(
                {std::string(condition.at("key").as_string()),
                 version == nullptr ? 0 : version->to_number<std::uint64_t>()});
    }
    for (const json::value &it : body.at("writes").as_array()) {
        const json::object &write = it.as_object();
        TableWrite result {std::string(write.at("key").as_string()), std::nullopt};
        if (const json::value *value = write.if_contains("value"))
            result.value = std::string(value->as_string());
        transaction.writes.push_back(std::move(result));
    }
    return transaction;
}

} // namespace

class ModelPlatform::Private
{
public:
    Private() : m_thread([this] { serve(); }) { }

    ~Private()
    {
        m_stopping = true;
        boost::system::error_code ec;
        tcp::socket(m_context).connect(m_acceptor.local_endpoint(), ec); // unblocks accept()
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void setHosts(const std::vector<PlatformHost> &hosts)
    {
        json::array list;
        for (const PlatformHost &it : hosts)
            list.push_back({{"name", it.name},
                            {"address", it.address},
                            {"port", it.port},
                            {"peer_port", it.peerPort},
                            {"availability_zone", it.availabilityZone},
                            {"role", it.role},
                            {"pool", it.pool},
                            {"state", it.state}});
        const std::lock_guard lock(m_mutex);
        m_hosts = json::serialize(json::object {{"hosts", list}});
    }

    std::atomic<bool> m_tableDown {false};
    std::atomic<bool> m_loseAnswers {false};

private:
    void serve()
    {
        while (!m_stopping) {
            tcp::socket socket = m_acceptor.accept();
            boost::system::error_code ec;
            boost::beast::flat_buffer buf;
            http::request<http::string_body> request;
            if (!m_stopping)
                http::read(socket, buf, request, ec);
            if (m_stopping || ec)
                continue;
            http::response<http::string_body> response {http::status::ok, 11};
            handleRequest(request, response);
            if (m_loseAnswers && request.target() == "/table/transact")
                continue;
            response.keep_alive(false);
            response.prepare_payload();
            http::write(socket, response, ec);
        }
    }

    void handleRequest(const http::request<http::string_body> &request,
                       http::response<http::string_body> &response)
    {
        const std::lock_guard lock(m_mutex);
        const std::string target(request.target());
        if (target == "/hosts") {
            response.body() = m_hosts;
        } else if (m_tableDown) {
            response.result(http::status::service_unavailable);
        } else if (target.starts_with("/objects/")) {
            handleObjectRequest(target, request, response);
        } else if (target == "/table/read") {
            const json::value body = json::parse(request.body());
            std::vector<std::string> keys;
            for (const json::value &it : body.at("keys").as_array())
                keys.emplace_back(it.as_string());
            response.body() = json::serialize(rowsToJson(m_table.read(keys)));
        } else if (target == "/table/scan") {
            const json::value body = json::parse(request.body());
            response.body() = json::serialize(rowsToJson(scan(body.at("prefix").as_string())));
        } else if (m_table.commit(transactionFromJson(json::parse(request.body())))) {
            response.result(http::status::conflict);
        }
    }

    TableRows scan(std::string_view prefix) const
    {
        TableRows rows = m_table.rows();
        std::erase_if(rows, [&](const auto &it) { return !it.first.starts_with(prefix); });
        return rows;
    }

    void handleObjectRequest(const std::string &target,
                             const http::request<http::string_body> &request,
                             http::response<http::string_body> &response)
    {
        if (request.method() == http::verb::put)
            m_table.objects()[target] = request.body();
        else if (m_table.objects().count(target) == 0)
            response.result(http::status::not_found);
        else
            response.body() = m_table.objects()[target];
    }

    std::mutex m_mutex;
    std::string m_hosts = R"({"hosts":[]})";
    TableModel m_table;
    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};

ModelPlatform::ModelPlatform() : d(std::make_unique<Private>()) { }

ModelPlatform::~ModelPlatform() = default;

std::uint16_t ModelPlatform::port() const
{
    return d->port();
}

PlatformSettings ModelPlatform::settings() const
{
    PlatformSettings settings;
    settings.address = "127.0.0.1";
    settings.port = port();
    return settings;
}

void ModelPlatform::setHosts(const std::vector<PlatformHost> &hosts)
{
    d->setHosts(hosts);
}

void ModelPlatform::setLoseAnswers(bool lose)
{
    d->m_loseAnswers = lose;
}

void ModelPlatform::setTableDown(bool down)
{
    d->m_tableDown = down;
}

std::uint16_t freePort()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

} // namespace cornelshed::testing
