// Stand-in of a server on a loopback address. It announces itself in the store at an interval and
// can crash and come back, as a new start under its id.

#ifndef REVIEW_SERVER_H
#define REVIEW_SERVER_H

#include "net.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct ServerSettings
{
    std::string id;
    std::string address; // port: any free one
    std::string service;
    std::string zone = "z-a";
    unsigned slots = 6;
};

class Server
{
public:
    // Answers a request on the connection. Returns false if the connection shall be closed.
    using Handler = std::function<bool(Server &, Connection &, const HttpRequest &)>;

    Server(ServerSettings settings, Store &store, Record &record, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &id() const { return m_settings.id; }

    // Ends the connections with a reset and listens again after this time.
    void crash(std::chrono::milliseconds downTime);
    bool isUp() const { return m_isUp; }

private:
    void live();
    void announce();
    void listen();
    void stopListening();
    void acceptLoop(ListeningSocket &socket);
    void serve(Connection &connection);

    const ServerSettings m_settings;
    Store &m_store;
    Record &m_record;
    const Handler m_handler;
    std::atomic<bool> m_isUp {false};
    std::atomic<bool> m_stopped {false};
    std::atomic<std::int64_t> m_downMs {0}; // crashed, and down for this time; 0: not crashed
    std::int64_t m_startedAtMs = 0;
    std::uint64_t m_announcements = 0;
    std::uint16_t m_port = 0;
    std::unique_ptr<ListeningSocket> m_socket;
    std::thread m_acceptThread;
    std::mutex m_mutex; // guards the members below
    std::set<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_lifeThread;
};

// Head of an answer of a server, with the request's id and the server's seal.
std::string answerHead(const HttpRequest &request, int status, const std::string &moreHeaders);

// A whole answer with a body that depends on the request's id.
std::string answerBody(const HttpRequest &request);
bool sendAnswer(Connection &connection, const HttpRequest &request, int status = 200);

// Sends a stream of this many events with a pause before each, from the one after Last-Event-Id on.
// isEnded: whether the last chunk follows.
bool sendEvents(Connection &connection, const HttpRequest &request, int count,
                std::chrono::milliseconds pause, bool isEnded = true);

} // namespace review

#endif // REVIEW_SERVER_H
