// Stand-in of a server on a loopback address.

#include "server.h"

#include <cstdlib>

namespace review {

using namespace std::chrono_literals;

namespace {

constexpr auto announcementInterval = 1200ms; // beat_interval_ms of the users' sites
constexpr auto checkInterval = 5ms;

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

Server::Server(ServerSettings settings, Store &store, Record &record, Handler handler)
    : m_settings(std::move(settings)), m_store(store), m_record(record),
      m_handler(std::move(handler))
{
    listen();
    m_lifeThread = std::thread([this] { live(); });
}

Server::~Server()
{
    m_stopped = true;
    m_lifeThread.join();
    stopListening();
    for (std::thread &it : m_threads)
        it.join();
}

void Server::crash(std::chrono::milliseconds downTime)
{
    std::int64_t notCrashed = 0;
    if (!m_downMs.compare_exchange_strong(notCrashed, downTime.count()))
        return;
    m_isUp = false;
    m_record.add("server " + m_settings.id + " crashes");
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_connections)
        it->reset();
}

// Announces the server, and starts it again after a crash.
void Server::live()
{
    auto announcedAt = Clock::now();
    while (!m_stopped) {
        std::this_thread::sleep_for(checkInterval);
        if (const std::int64_t down = m_downMs; down > 0) {
            stopListening();
            for (std::int64_t ms = 0; ms < down && !m_stopped; ms += checkInterval.count())
                std::this_thread::sleep_for(checkInterval);
            m_downMs = 0;
            listen();
            announcedAt = Clock::now();
        } else if (Clock::now() >= announcedAt + announcementInterval) {
            announce();
            announcedAt = Clock::now();
        }
    }
}

void Server::announce()
{
    m_store.put("servers", m_settings.id,
                R"({"service":")" + m_settings.service + R"(","address":")" + m_settings.address
                        + ":" + std::to_string(m_port) + R"(","zone":")" + m_settings.zone
                        + R"(","version":"v1","slots":)" + std::to_string(m_settings.slots)
                        + R"(,"state":"ready","cold_left_ms":0,"seq":)"
                        + std::to_string(++m_announcements) + R"(,"born":)"
                        + std::to_string(m_startedAtMs) + "}");
}

void Server::listen()
{
    m_socket = std::make_unique<ListeningSocket>(m_settings.address, m_port);
    m_port = m_socket->port();
    m_startedAtMs = unixMs();
    m_acceptThread = std::thread([this, socket = m_socket.get()] { acceptLoop(*socket); });
    m_isUp = true;
    announce();
}

void Server::stopListening()
{
    m_isUp = false;
    m_socket->close();
    m_acceptThread.join();
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_connections)
        it->reset();
}

void Server::acceptLoop(ListeningSocket &socket)
{
    for (;;) {
        const int descriptor = socket.accept();
        if (descriptor < 0)
            return;
        const std::lock_guard lock(m_mutex);
        const auto connection = std::make_shared<Connection>(descriptor);
        m_connections.insert(connection);
        m_threads.emplace_back([this, connection] {
            serve(*connection);
            const std::lock_guard ended(m_mutex);
            m_connections.erase(connection);
        });
    }
}

void Server::serve(Connection &connection)
{
    while (const auto request = readRequest(connection)) {
        if (!m_isUp)
            return;
        const std::string id = headerValue(request->headers, "X-Request-Id");
        if (headerValue(request->headers, "X-Expect-Instance") != m_settings.id) {
            connection.send("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id
                            + "\r\nX-Instance-Id: " + m_settings.id
                            + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        m_record.add("server " + m_settings.id + " gets " + id + " " + request->method + " "
                     + request->target);
        if (!m_handler(*this, connection, *request))
            return;
    }
}

std::string answerHead(const HttpRequest &request, int status, const std::string &moreHeaders)
{
    const std::string id = headerValue(request.headers, "X-Request-Id");
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nX-Request-Id: " + id
            + "\r\nX-Response-Seal: seal-" + id + "\r\n" + moreHeaders + "\r\n";
}

std::string answerBody(const HttpRequest &request)
{
    return "answer to " + headerValue(request.headers, "X-Request-Id");
}

bool sendAnswer(Connection &connection, const HttpRequest &request, int status)
{
    const std::string body = answerBody(request);
    return connection.send(
            answerHead(request, status, "Content-Length: " + std::to_string(body.size()) + "\r\n")
            + body);
}

bool sendEvents(Connection &connection, const HttpRequest &request, int count,
                std::chrono::milliseconds pause, bool isEnded)
{
    const std::string last = headerValue(request.headers, "Last-Event-Id");
    if (!connection.send(answerHead(
                request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")))
        return false;
    for (int n = std::atoi(last.c_str()) + 1; n <= count; ++n) {
        std::this_thread::sleep_for(pause);
        std::string event = "id: ";
        event.append(std::to_string(n)).append("\ndata: piece ").append(std::to_string(n));
        event += "\n\n";
        std::string chunk(8, '0');
        chunk.resize(static_cast<std::size_t>(
                std::snprintf(chunk.data(), chunk.size(), "%zx", event.size())));
        chunk.append("\r\n").append(event).append("\r\n");
        if (!connection.send(chunk))
            return false;
    }
    return !isEnded || connection.send("0\r\n\r\n");
}

} // namespace review
