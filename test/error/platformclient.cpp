// Guards against a write that may have taken effect being reported as refused, or the reverse:
// claims and acceptances rely on the difference.

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

// Accepts one connection, reads the request's head, answers with the bytes and closes.
class OneAnswerServer
{
public:
    explicit OneAnswerServer(std::string answer, std::chrono::milliseconds delay = {})
        : m_thread([this, answer = std::move(answer), delay] { serve(answer, delay); })
    { }
    ~OneAnswerServer() { m_thread.join(); }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void serve(const std::string &answer, std::chrono::milliseconds delay)
    {
        boost::system::error_code ec;
        tcp::socket socket = m_acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
        std::this_thread::sleep_for(delay);
        asio::write(socket, asio::buffer(answer), ec);
        socket.shutdown(tcp::socket::shutdown_both, ec);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor {m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::thread m_thread;
};

std::string answer(int status, const std::string &body = "{}")
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
    settings.answerLimitBytes = 4096;
    return settings;
}

std::optional<TableErrorKind> writeAgainst(const std::string &bytes,
                                           std::chrono::milliseconds delay = {})
{
    OneAnswerServer server(bytes, delay);
    PlatformSession session(settingsFor(server.port()));
    const auto error = session.table().transact({{{"k", 0}}, {{"k", "v"}}});
    return error.has_value() ? std::optional(error->kind) : std::nullopt;
}

std::optional<TableErrorKind> readAgainst(const std::string &bytes)
{
    OneAnswerServer server(bytes);
    PlatformSession session(settingsFor(server.port()));
    const auto rows = session.table().read({"k"});
    const auto *error = std::get_if<TableError>(&rows);
    return error == nullptr ? std::nullopt : std::optional(error->kind);
}

} // namespace

TEST_CASE("a write without a readable answer is unknown, a refusal is unavailable")
{
    CHECK(writeAgainst(answer(200)) == std::nullopt);
    CHECK(writeAgainst(answer(409)) == TableErrorKind::Conflict);
    CHECK(writeAgainst(answer(429)) == TableErrorKind::Unavailable);
    CHECK(writeAgainst(answer(503)) == TableErrorKind::Unavailable);
    CHECK(writeAgainst(answer(500)) == TableErrorKind::Unknown);
    CHECK(writeAgainst("") == TableErrorKind::Unknown);
    CHECK(writeAgainst("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{") == TableErrorKind::Unknown);
    CHECK(writeAgainst("not HTTP at all\r\n\r\n") == TableErrorKind::Unknown);
    CHECK(writeAgainst(answer(200), std::chrono::milliseconds(700)) == TableErrorKind::Unknown);
}

TEST_CASE("a platform that cannot be reached is unavailable")
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
    PlatformSession nowhere({"no-such-address", 1});
    CHECK(nowhere.table().transact({{}, {{"k", "v"}}})->kind == TableErrorKind::Unavailable);
}

TEST_CASE("a malformed or oversized answer to a read is an error")
{
    CHECK(readAgainst(answer(200, R"({"rows":{"k":{"version":1,"value":"v"}}})")) == std::nullopt);
    CHECK(readAgainst(answer(200, "{")) == TableErrorKind::Unavailable);
    CHECK(readAgainst(answer(200, "[]")) == TableErrorKind::Unavailable);
    CHECK(readAgainst(answer(200, R"({"rows":{"k":{"version":-1,"value":"v"}}})"))
          == TableErrorKind::Unavailable);
    CHECK(readAgainst(answer(200, std::string(5000, ' '))) == TableErrorKind::Unavailable);
    CHECK(readAgainst("") == TableErrorKind::Unavailable);
}

TEST_CASE("hosts are read sorted, with absent members empty")
{
    OneAnswerServer server(answer(200, R"({"hosts":[
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
