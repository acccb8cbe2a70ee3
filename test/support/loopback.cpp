// Implements the loopback peers with blocking sockets that have a receive timeout.

#include "loopback.h"

#include "wirecodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace cornelshed::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds blockingTimeout {10};

void setReceiveTimeout(Tcp::socket &socket)
{
    const timeval limit {blockingTimeout.count(), 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void connectLoopback(Tcp::socket &socket, std::uint16_t port,
                     const std::string &address = "127.0.0.1")
{
    socket.connect({asio::ip::make_address(address), port});
    socket.set_option(Tcp::no_delay(true));
    setReceiveTimeout(socket);
}

void writeIgnoringErrors(Tcp::socket &socket, std::string_view bytes)
{
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ec);
}

class SocketReply final : public StubReply
{
public:
    explicit SocketReply(Tcp::socket &socket) : m_socket(socket) { }

    void send(std::string_view bytes) override { writeIgnoringErrors(m_socket, bytes); }

    void close() override
    {
        boost::system::error_code ec;
        m_socket.shutdown(Tcp::socket::shutdown_both, ec);
    }

    void reset() override
    {
        boost::system::error_code ec;
        m_socket.set_option(asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
    }

    bool sendUntilClosed(std::string_view bytes, std::chrono::microseconds pause) override
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(4);
        while (std::chrono::steady_clock::now() < limit) {
            boost::system::error_code ec;
            asio::write(m_socket, asio::buffer(bytes), ec);
            if (ec)
                return true;
            std::this_thread::sleep_for(pause);
        }
        return false;
    }

private:
    Tcp::socket &m_socket;
};

std::string encodeChunk(const std::string &data)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

} // namespace

void StubReply::sendResponse(int status, const std::string &body)
{
    send("HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n"
         + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void StubReply::beginEventStream()
{
    send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n");
}

void StubReply::sendEvent(const std::string &data)
{
    send(encodeChunk("data: " + data + "\n\n"));
}

void StubReply::endEventStream()
{
    send("0\r\n\r\n");
}

class BackendStub::Private
{
public:
    Private(Handler handler, std::uint16_t port)
        : m_handler(std::move(handler)),
          m_acceptor(m_context, {asio::ip::address_v4::loopback(), port}),
          m_port(m_acceptor.local_endpoint().port())
    { }

    void acceptLoop()
    {
        while (true) {
            auto socket = std::make_shared<Tcp::socket>(m_context);
            boost::system::error_code ec;
            m_acceptor.accept(*socket, ec);
            const std::lock_guard lock(m_mutex);
            if (ec || m_stopped)
                return;
            socket->set_option(Tcp::no_delay(true));
            m_sockets[m_connectionCount] = socket;
            m_waiting.push_back(m_connectionCount++);
            if (m_idleThreads < m_waiting.size())
                m_threads.emplace_back([this] { serveConnections(); });
            else
                m_accepted.notify_one();
        }
    }

    // Serves one connection after the other. Threads are used again because a client with a
    // connection for each request would otherwise measure how long their creation takes. A socket
    // is closed when its connection ends, or such a client would reach the limit on open files.
    void serveConnections()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            ++m_idleThreads;
            m_accepted.wait(lock, [this] { return m_stopped || !m_waiting.empty(); });
            --m_idleThreads;
            if (m_stopped)
                return;
            const std::size_t connection = m_waiting.front();
            m_waiting.pop_front();
            const std::shared_ptr<Tcp::socket> socket = m_sockets.at(connection);
            lock.unlock();
            serve(*socket, connection);
            lock.lock();
            boost::system::error_code ec;
            socket->close(ec);
            m_sockets.erase(connection);
        }
    }

    void serve(Tcp::socket &socket, std::size_t connection)
    {
        boost::beast::flat_buffer buf;
        boost::system::error_code ec;
        while (!ec) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            if (buf.size() == 0)
                pauseReading(socket);
            http::read(socket, buf, parser, ec);
            if (!ec)
                answer(parser.get(), socket, connection);
        }
    }

    void pauseReading(Tcp::socket &socket)
    {
        std::function<std::chrono::milliseconds()> pause;
        {
            const std::lock_guard lock(m_mutex);
            pause = m_readPause;
        }
        boost::system::error_code ec;
        if (!pause)
            return;
        socket.wait(Tcp::socket::wait_read, ec);
        if (!ec)
            std::this_thread::sleep_for(pause());
    }

    void answer(const http::request<http::string_body> &message, Tcp::socket &socket,
                std::size_t connection)
    {
        StubRequest request {std::string(message.method_string()),
                             std::string(message.target()),
                             {},
                             message.body(),
                             connection};
        for (const auto &it : message)
            request.headers.emplace_back(it.name_string(), it.value());
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        m_received.notify_all();
        SocketReply reply(socket);
        if (request.target == "/load" || request.target.starts_with("/control/"))
            reply.sendResponse(200, "{}");
        else
            m_handler(request, reply);
    }

    Handler m_handler;
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    mutable std::mutex m_mutex; // guards the members from m_readPause to m_stopped
    mutable std::condition_variable m_received;
    std::function<std::chrono::milliseconds()> m_readPause;
    std::vector<StubRequest> m_requests;
    std::condition_variable m_accepted;
    std::size_t m_connectionCount = 0;
    std::map<std::size_t, std::shared_ptr<Tcp::socket>> m_sockets; // open ones, by connection
    std::deque<std::size_t> m_waiting; // connections that no thread serves yet
    std::size_t m_idleThreads = 0;
    std::vector<std::thread> m_threads;
    bool m_stopped = false;
    std::thread m_acceptThread;
};

BackendStub::BackendStub(Handler handler, std::uint16_t port)
    : d(std::make_unique<Private>(std::move(handler), port))
{
    d->m_acceptThread = std::thread([this] { d->acceptLoop(); });
}

BackendStub::~BackendStub()
{
    stop();
}

void BackendStub::setReadPause(std::function<std::chrono::milliseconds()> pause)
{
    const std::lock_guard lock(d->m_mutex);
    d->m_readPause = std::move(pause);
}

std::uint16_t BackendStub::port() const
{
    return d->m_port;
}

std::vector<StubRequest> BackendStub::requests() const
{
    const std::lock_guard lock(d->m_mutex);
    return d->m_requests;
}

bool BackendStub::waitForRequest(const std::string &target) const
{
    std::unique_lock lock(d->m_mutex);
    return d->m_received.wait_for(lock, blockingTimeout, [&] {
        return std::any_of(d->m_requests.begin(), d->m_requests.end(),
                           [&](const StubRequest &it) { return it.target == target; });
    });
}

void BackendStub::stop()
{
    {
        const std::lock_guard lock(d->m_mutex);
        if (d->m_stopped)
            return;
        d->m_stopped = true;
    }
    ::shutdown(d->m_acceptor.native_handle(), SHUT_RDWR);
    d->m_acceptThread.join();
    boost::system::error_code ec;
    d->m_acceptor.close(ec);
    {
        const std::lock_guard lock(d->m_mutex);
        for (const auto &[connection, socket] : d->m_sockets)
            socket->shutdown(Tcp::socket::shutdown_both, ec);
    }
    d->m_accepted.notify_all();
    for (std::thread &it : d->m_threads)
        it.join();
}

class SessionPeer::Private
{
public:
    asio::io_context m_context;
    Tcp::socket m_socket {m_context};
};

SessionPeer::SessionPeer(std::uint16_t port) : d(std::make_unique<Private>())
{
    connectLoopback(d->m_socket, port);
}

SessionPeer::~SessionPeer() = default;

void SessionPeer::send(const EntryMessage &message)
{
    sendRaw(encodeFrame(message));
}

void SessionPeer::sendRaw(std::string_view bytes)
{
    writeIgnoringErrors(d->m_socket, bytes);
}

std::optional<AgentMessage> SessionPeer::receive()
{
    boost::system::error_code ec;
    std::string buf(frameHeaderBytes, '\0');
    asio::read(d->m_socket, asio::buffer(buf), ec);
    if (ec)
        return std::nullopt;
    buf.resize(messageLength(buf));
    asio::read(d->m_socket, asio::buffer(buf), ec);
    if (ec)
        return std::nullopt;
    auto decoded = decodeAgentMessage(buf, {});
    if (auto *message = std::get_if<AgentMessage>(&decoded))
        return std::move(*message);
    return std::nullopt;
}

std::string CallerAnswer::code() const
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(body, ec);
    if (ec)
        return {};
    const auto *code = value.find_pointer("/error/code", ec);
    return code == nullptr ? std::string() : std::string(code->as_string());
}

class Caller::Private
{
public:
    asio::io_context m_context;
    Tcp::socket m_socket {m_context};
    boost::beast::flat_buffer m_buffer;
};

Caller::Caller(std::uint16_t port, const std::string &address) : d(std::make_unique<Private>())
{
    connectLoopback(d->m_socket, port, address);
}

Caller::~Caller() = default;

void Caller::send(std::string_view bytes)
{
    writeIgnoringErrors(d->m_socket, bytes);
}

CallerAnswer Caller::receive()
{
    http::response<http::string_body> message;
    boost::system::error_code ec;
    http::read(d->m_socket, d->m_buffer, message, ec);
    if (ec)
        return {};
    CallerAnswer answer {static_cast<int>(message.result_int()),
                         std::string(message["Cornelshed-Outcome"]), message.body(),
                         message.keep_alive()};
    for (const auto &it : message)
        answer.headers.emplace_back(it.name_string(), it.value());
    return answer;
}

std::string Caller::receiveUntilClosed()
{
    std::string received;
    std::array<char, 4096> buf {};
    boost::system::error_code ec;
    while (!ec)
        received.append(buf.data(), d->m_socket.read_some(asio::buffer(buf), ec));
    return received;
}

void Caller::close()
{
    boost::system::error_code ec;
    d->m_socket.close(ec);
}

bool Caller::isClosed()
{
    char next = 0;
    const auto n = ::recv(d->m_socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Caller::pollStream()
{
    constexpr std::chrono::milliseconds interval {5};
    constexpr std::size_t tailBytes = 64;
    std::string tail;
    std::array<char, 65536> buf {};
    boost::system::error_code ec;
    for (auto waited = interval; waited < blockingTimeout; waited += interval) {
        std::this_thread::sleep_for(interval);
        while (d->m_socket.available(ec) > 0) {
            const std::size_t n = d->m_socket.read_some(asio::buffer(buf), ec);
            tail.append(buf.data(), n);
            tail.erase(0, tail.size() - std::min(tail.size(), tailBytes));
        }
        // With the colon: the header section announces the trailer by its name.
        if (tail.find("Cornelshed-Outcome:") != std::string::npos)
            return true;
    }
    return false;
}

CallerAnswer Caller::post(const std::string &target, const std::vector<std::string> &headers,
                          const std::string &body)
{
    sendPost(target, headers, body);
    return receive();
}

void Caller::sendPost(const std::string &target, const std::vector<std::string> &headers,
                      const std::string &body)
{
    std::string bytes = "POST " + target + " HTTP/1.1\r\nHost: entry\r\n";
    for (const std::string &it : headers)
        bytes += it + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    send(bytes);
}

} // namespace cornelshed::testing
