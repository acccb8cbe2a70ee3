// Stand-in of the platform's row store: the calls rows-get, rows-feed and rows-tx as the pages
// describe them, with a history that is never discarded.

#ifndef CORNELSHED_REVIEW_STORE_H
#define CORNELSHED_REVIEW_STORE_H

#include "net.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

class Store
{
public:
    explicit Store(Address address);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    // What the operator and the runners write. The return is the acknowledgement.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    // Returns the value; empty if there is no such row.
    std::string get(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string value; // base64
        std::uint64_t version = 0;
        bool removed = false;
    };
    using RowKey = std::pair<std::string, std::string>; // table and key

    void serve(Socket socket);
    std::string answer(const Message &request);
    std::string rowsAnswer(const std::string &target, bool isFeed);
    std::pair<int, std::string> transact(const std::string &body);
    std::string tail() const;

    Address m_address;
    int m_listener;
    std::atomic<bool> m_stopped {false};
    std::mutex m_mutex; // guards the rows
    std::map<RowKey, Row> m_rows;
    std::uint64_t m_version = 100;
    Clock::time_point m_start = Clock::now();
    std::thread m_thread;
    std::vector<std::thread> m_connections; // only used by m_thread
};

} // namespace review

#endif // CORNELSHED_REVIEW_STORE_H
