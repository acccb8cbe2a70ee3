// Stand-in of the platform's store: versioned rows and a change feed on a free loopback port.

#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "net.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::uint16_t port() const { return m_socket.port(); }

    // json: the value of the row as text.
    void put(const std::string &table, const std::string &key, const std::string &json);
    void remove(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string value; // base64
        std::uint64_t version = 0;
        bool removed = false;
    };
    using RowKey = std::pair<std::string, std::string>; // table, key

    void acceptLoop();
    void serve(Connection &connection);
    std::string handle(const HttpRequest &request, int &status);
    std::string read(const std::string &target, bool isFeed) const;
    std::string write(const std::string &body, int &status);
    std::string rowText(const RowKey &key, const Row &row) const;
    std::string versionText() const;

    ListeningSocket m_socket;
    mutable std::mutex m_mutex; // guards the rows
    std::map<RowKey, Row> m_rows;
    std::uint64_t m_version = 1;
    std::mutex m_connectionsMutex; // guards the connections and their threads
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace review

#endif // REVIEW_STORE_H
