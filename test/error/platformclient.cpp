// Guards against reporting a write that may have taken effect as refused, or a refused write as
// unknown. Claims and acceptances of a configuration rely on the difference.

#include "platformsession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace cornelshed;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Accepts one connection, reads the request header, sends the given bytes and closes the
// connection.
class SingleResponseServer
{
public:
    explicit SingleResponseServer(std::string response, std::chrono::milliseconds delay = {})
        : m_thread([this, response = std::move(response), delay] { serve(response, delay); })
    { }
    ~SingleResponseServer() { m_thread.join(); }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void serve(const std::string &response, std::chrono::milliseconds delay)
    {
        boost::system::error_code ec;
        tcp::socket socket = m_acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
        std::this_thread::sleep_for(delay);
        asio::write(socket, asio::buffer(response), ec);
        socket.shutdown(tcp::socket::shutdown_both, ec);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::thread m_thread;
};

std::string httpResponse(int status, const std::string &body = "{}")
{
    return "HTTP/1.1 " + std::to_string(status)
            + " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

PlatformSettings settingsFor(std::uint16_t port)
{
    PlatformSettings settings;
    settings.address = "127.0.0.1";
    settings.port = port;
    settings.timeout = std::chrono::milliseconds(500);
    settings.responseLimitBytes = 4096;
    return settings;
}

std::optional<TableErrorKind> errorOfWrite(const std::string &response,
                                           std::chrono::milliseconds delay = {})
{
    SingleResponseServer server(response, delay);
    PlatformSession session(settingsFor(server.port()));
    const auto error = session.table().transact({{{"k", 0}}, {{"k", "v"}}});
    return error.has_value() ? std::optional(error->kind) : std::nullopt;
}

std::optional<TableErrorKind> errorOfRead(const std::string &response)
{
    SingleResponseServer server(response);
    PlatformSession session(settingsFor(server.port()));
    const auto rows = session.table().read({"k"});
    const auto *error = std::get_if<TableError>(&rows);
    return error == nullptr ? std::nullopt : std::optional(error->kind);
}

} // namespace

TEST_CASE("a write without a readable answer is unknown, a refusal is unavailable")
{
    CHECK(errorOfWrite(httpResponse(200)) == std::nullopt);
    CHECK(errorOfWrite(httpResponse(409)) == TableErrorKind::Conflict);
    CHECK(errorOfWrite(httpResponse(429)) == TableErrorKind::Unavailable);
    CHECK(errorOfWrite(httpResponse(503)) == TableErrorKind::Unavailable);
    CHECK(errorOfWrite(httpResponse(500)) == TableErrorKind::Unknown);
    CHECK(errorOfWrite("") == TableErrorKind::Unknown);
    CHECK(errorOfWrite("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{") == TableErrorKind::Unknown);
    CHECK(errorOfWrite("not HTTP at all\r\n\r\n") == TableErrorKind::Unknown);
    CHECK(errorOfWrite(httpResponse(200), std::chrono::milliseconds(700))
          == TableErrorKind::Unknown);
}

TEST_CASE("an unreachable platform is unavailable")
{
    std::uint16_t port = 0;
    {
        asio::io_context context;
        port = tcp::acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
                       .local_endpoint()
                       .port();
    }
    PlatformSession session(settingsFor(port));
    CHECK(session.table().transact({{}, {{"k", "v"}}})->kind == TableErrorKind::Unavailable);
    PlatformSession sessionToInvalidAddress({"no-such-address", 1});
    CHECK(sessionToInvalidAddress.table().transact({{}, {{"k", "v"}}})->kind
          == TableErrorKind::Unavailable);
}

TEST_CASE("a malformed or oversized answer to a read is an error")
{
    CHECK(errorOfRead(httpResponse(200, R"({"rows":{"k":{"version":1,"value":"v"}}})"))
          == std::nullopt);
    CHECK(errorOfRead(httpResponse(200, "{")) == TableErrorKind::Unavailable);
    CHECK(errorOfRead(httpResponse(200, "[]")) == TableErrorKind::Unavailable);
    CHECK(errorOfRead(httpResponse(200, R"({"rows":{"k":{"version":-1,"value":"v"}}})"))
          == TableErrorKind::Unavailable);
    CHECK(errorOfRead(httpResponse(200, std::string(5000, ' '))) == TableErrorKind::Unavailable);
    CHECK(errorOfRead("") == TableErrorKind::Unavailable);
}

TEST_CASE("hosts are sorted by name, and absent members are empty")
{
    SingleResponseServer server(httpResponse(200, R"({"hosts":[
        {"name":"b","address":"127.0.0.1","port":7,"role":"agent","state":"leaving"},
        {"name":"a","address":"127.0.0.2","port":8,"peer_port":9,"availability_zone":"z",
         "role":"entry","pool":null,"state":"live"}]})"));
    PlatformSession session(settingsFor(server.port()));
    const auto hosts = session.hosts();
    REQUIRE(std::holds_alternative<std::vector<PlatformHost>>(hosts));
    const auto &list = std::get<std::vector<PlatformHost>>(hosts);
    REQUIRE(list.size() == 2);
    CHECK(list[0] == PlatformHost {"a", "127.0.0.2", 8, 9, "z", "entry", "", "live"});
    CHECK(list[1].state == "leaving");
}
