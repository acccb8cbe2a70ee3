// Implements the server with one blocking thread for each connection.

#include "endingserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace cornelshed::testing {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

// Small, so that an upload that is not read is still being written.
constexpr int receiveBufferBytes = 8192;
constexpr std::chrono::seconds releaseLimit {2};
// Time in which the peer reads what was sent before a reset, which would discard it.
constexpr std::chrono::milliseconds readTime {40};
constexpr std::chrono::seconds receiveLimit {10};
const std::string endOfHead = "\r\n\r\n";

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

// Value of a header in a head that ends with an empty line; empty: there is none.
std::string valueIn(const std::string &head, const std::string &name)
{
    const std::size_t at = lowerCase(head).find("\r\n" + lowerCase(name) + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + 2 + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::size_t numberIn(const std::string &text, int base)
{
    std::size_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

// Reads a request; without its body, only what arrives together with its head. Returns its head,
// or nothing if the connection was closed before.
std::string readRequest(Tcp::socket &socket, bool withBody)
{
    std::string received;
    std::array<char, 4096> buf {};
    boost::system::error_code ec;
    std::size_t end = std::string::npos;
    while (end == std::string::npos) {
        received.append(buf.data(), socket.read_some(asio::buffer(buf), ec));
        if (ec)
            return {};
        end = received.find(endOfHead);
    }
    std::string head = received.substr(0, end + endOfHead.size());
    const std::size_t whole = head.size() + numberIn(valueIn(head, "Content-Length"), 10);
    std::size_t count = received.size();
    while (withBody && count < whole && !ec)
        count += socket.read_some(asio::buffer(buf), ec);
    return head;
}

std::string withId(std::string text, const std::string &id)
{
    const std::string placeholder = "{id}";
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at))
        text.replace(at, placeholder.size(), id);
    return text;
}

ReceivedAnswer parseAnswer(const std::string &bytes)
{
    const std::size_t end = bytes.find(endOfHead);
    if (end == std::string::npos)
        return {};
    const std::string head = bytes.substr(0, end + endOfHead.size());
    std::string rest = bytes.substr(head.size());
    const std::size_t statusAt = head.find(' ') + 1;
    ReceivedAnswer answer {static_cast<int>(numberIn(head.substr(statusAt, 3), 10)),
                           {},
                           valueIn(head, "Cornelshed-Outcome"),
                           false};
    if (valueIn(head, "Transfer-Encoding") != "chunked") {
        answer.complete = valueIn(head, "Content-Length") == std::to_string(rest.size());
        answer.body = std::move(rest);
        return answer;
    }
    while (!rest.empty()) {
        const std::size_t lineEnd = rest.find("\r\n");
        if (lineEnd == std::string::npos)
            break;
        const std::size_t size = numberIn(rest.substr(0, lineEnd), 16);
        if (size == 0) {
            const std::string trailer = rest.substr(lineEnd);
            answer.complete = trailer.ends_with("\r\n\r\n") || trailer == "\r\n\r\n";
            if (const std::string outcome = valueIn(trailer, "Cornelshed-Outcome");
                !outcome.empty())
                answer.outcome = outcome;
            break;
        }
        answer.body += rest.substr(lineEnd + 2, size);
        rest.erase(0, std::min(rest.size(), lineEnd + 2 + size + 2));
    }
    return answer;
}

} // namespace

class EndingServer::Private
{
public:
    explicit Private(EndingScript script) : m_script(std::move(script))
    {
        for (Tcp::acceptor &it : m_acceptors) {
            it.open(Tcp::v4());
            it.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
            it.bind({asio::ip::address_v4::loopback(), 0});
            it.listen();
        }
    }

    void acceptLoop(Tcp::acceptor &acceptor)
    {
        for (;;) {
            auto socket = std::make_shared<Tcp::socket>(m_context);
            boost::system::error_code ec;
            acceptor.accept(*socket, ec);
            const std::lock_guard lock(m_mutex);
            if (ec || m_stopped)
                return;
            socket->set_option(Tcp::no_delay(true), ec);
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(Tcp::socket &socket)
    {
        const bool readsNothing = m_script.reads == ReadPart::Nothing && !isLater();
        if (readsNothing) {
            char first = 0;
            if (m_script.isProbed && ::recv(socket.native_handle(), &first, 1, MSG_PEEK) <= 0)
                return;
            ++m_arrivals;
            end(socket, m_script.id);
            return;
        }
        while (true) {
            const bool isLast = !isLater();
            const std::string head =
                    readRequest(socket, !isLast || m_script.reads == ReadPart::All);
            if (head.empty())
                return;
            const bool isFirst = m_arrivals++ == 0;
            const std::string id = valueIn(head, "X-Request-Id");
            if (isFirst || m_script.laterAnswer.empty()) {
                end(socket, id);
                return;
            }
            write(socket, withId(m_script.laterAnswer, id));
        }
    }

    bool isLater() const { return !m_script.laterAnswer.empty() && m_arrivals > 0; }

    static void write(Tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ec;
        asio::write(socket, asio::buffer(bytes), ec);
    }

    void end(Tcp::socket &socket, const std::string &id)
    {
        write(socket, withId(m_script.answer, id));
        if (m_script.awaitsCaller) {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, releaseLimit, [this] { return m_released || m_stopped; });
        } else if (m_script.end == ServerEnd::Reset && !m_script.answer.empty()) {
            std::this_thread::sleep_for(readTime);
        }
        boost::system::error_code ec;
        const std::lock_guard lock(m_mutex);
        if (m_stopped)
            return;
        if (m_script.end == ServerEnd::Fin) {
            socket.shutdown(Tcp::socket::shutdown_send, ec);
        } else if (m_script.end == ServerEnd::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0), ec);
            socket.close(ec);
        }
    }

    void start()
    {
        for (Tcp::acceptor &it : m_acceptors)
            m_acceptThreads.emplace_back([this, &it] { acceptLoop(it); });
    }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
        }
        m_changed.notify_all();
        for (Tcp::acceptor &it : m_acceptors)
            ::shutdown(it.native_handle(), SHUT_RDWR);
        for (std::thread &it : m_acceptThreads)
            it.join();
        boost::system::error_code ec;
        for (const auto &it : m_sockets)
            it->shutdown(Tcp::socket::shutdown_both, ec);
        for (std::thread &it : m_threads)
            it.join();
    }

    EndingScript m_script;
    asio::io_context m_context;
    std::array<Tcp::acceptor, 2> m_acceptors {Tcp::acceptor(m_context), Tcp::acceptor(m_context)};
    std::atomic<int> m_arrivals {0};
    std::mutex m_mutex; // guards the members below, and the close of a socket
    std::condition_variable m_changed;
    bool m_released = false;
    bool m_stopped = false;
    std::vector<std::shared_ptr<Tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::vector<std::thread> m_acceptThreads;
};

EndingServer::EndingServer(EndingScript script) : d(std::make_unique<Private>(std::move(script)))
{
    d->start();
}

EndingServer::~EndingServer()
{
    d->stop();
}

std::uint16_t EndingServer::port(std::size_t index) const
{
    return d->m_acceptors.at(index).local_endpoint().port();
}

void EndingServer::release()
{
    {
        const std::lock_guard lock(d->m_mutex);
        d->m_released = true;
    }
    d->m_changed.notify_all();
}

int EndingServer::arrivals() const
{
    return d->m_arrivals;
}

ReceivedAnswer exchangeWith(std::uint16_t port, const std::string &request,
                            const std::string &marker, EndingServer &server)
{
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), port});
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(request), ec);
    const timeval limit {receiveLimit.count(), 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string received;
    std::array<char, 4096> buf {};
    // Asio's blocking read would wait again after the time limit of the socket.
    for (;;) {
        const ssize_t n = ::recv(socket.native_handle(), buf.data(), buf.size(), 0);
        if (n <= 0)
            break;
        received.append(buf.data(), static_cast<std::size_t>(n));
        if (!marker.empty() && received.find(marker) != std::string::npos)
            server.release();
    }
    return parseAnswer(received);
}

} // namespace cornelshed::testing
