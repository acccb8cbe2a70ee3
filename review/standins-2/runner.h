// Stand-in of a runner: an HTTP/1.1 server that registers itself in the store. A case says how it
// answers. It can crash, which resets its connections, and start again.

#ifndef CORNELSHED_REVIEW_RUNNER_H
#define CORNELSHED_REVIEW_RUNNER_H

#include "net.h"
#include "store.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace review {

class Runner
{
public:
    struct Settings
    {
        std::string name; // ids are name-1, name-2, ... , a new one for each start
        std::string service;
        std::string zone;
        Address address;
        std::uint32_t slots = 6;
        std::string version = "v1";
    };
    // Answers the request on the socket. Returns whether the connection stays open.
    using Handler = std::function<bool(Runner &runner, const Message &request, Socket &socket)>;

    Runner(Settings settings, Store &store, Record &record, Handler handler);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    const std::string &name() const { return m_settings.name; }
    std::string id() const;
    // Ends all connections with a reset. A new incarnation starts after this time, and its row
    // replaces the old one, which has then lapsed.
    void crash(std::int64_t downMs);
    void writeRow();
    void removeRow();
    void drain(); // announces in the row that the runner leaves; it goes on serving

    // Heads that runners send with each answer.
    static std::string answerHead(const Message &request, const std::string &more);

private:
    struct Connection
    {
        std::thread thread;
        std::atomic<int> fd {-1};
        std::atomic<bool> done {false};
    };

    void accept();
    void serve(Connection &connection, int fd, std::uint64_t start);

    Settings m_settings;
    Store &m_store;
    Record &m_record;
    Handler m_handler;
    std::atomic<bool> m_stopped {false};
    std::atomic<bool> m_draining {false};
    std::atomic<std::int64_t> m_downUntil {0}; // on the record's clock; 0: runs
    std::atomic<std::uint64_t> m_start {1};
    std::atomic<std::int64_t> m_born;
    std::mutex m_rowMutex; // guards the sequence number
    std::uint64_t m_sequence = 0;
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

} // namespace review

#endif // CORNELSHED_REVIEW_RUNNER_H
