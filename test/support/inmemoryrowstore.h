// In-memory store of versioned rows that can return from an older copy of itself. Its content may
// be shared by several clients, each with faults of its own. Calls are answered asynchronously on
// the given io_context.

#ifndef CORNELSHED_TEST_INMEMORYROWSTORE_H
#define CORNELSHED_TEST_INMEMORYROWSTORE_H

#include "monotonicclock.h"
#include "rowstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace cornelshed::testing {

// Rows of all tables, and a copy to return from.
class StoreContent
{
public:
    using Rows = std::map<std::string, StoredRow>;

    void set(RowTable table, const std::string &key, const std::string &value)
    {
        m_tables[table][key] = {key, value, ++m_version, false};
    }
    void erase(RowTable table, const std::string &key)
    {
        m_tables[table][key] = {key, "", ++m_version, true};
    }

    void keepCopy()
    {
        m_copy = m_tables;
        m_copyVersion = m_version;
    }
    // Loses all that was written since the copy, and gives its versions out again.
    void returnFromCopy()
    {
        m_tables = m_copy;
        m_version = m_copyVersion;
        ++era;
    }

    const Rows &rows(RowTable table) { return m_tables[table]; }
    std::uint64_t version() const { return m_version; }

    std::uint64_t era = 1;

private:
    std::map<RowTable, Rows> m_tables;
    std::map<RowTable, Rows> m_copy;
    std::uint64_t m_version = 0;
    std::uint64_t m_copyVersion = 0;
};

class InMemoryRowStore final : public RowStore
{
public:
    explicit InMemoryRowStore(
            boost::asio::io_context &context,
            std::shared_ptr<StoreContent> storeContent = std::make_shared<StoreContent>())
        : content(std::move(storeContent)), m_context(context)
    { }

    void set(RowTable table, const std::string &key, const std::string &value)
    {
        content->set(table, key, value);
    }
    void erase(RowTable table, const std::string &key) { content->erase(table, key); }
    std::uint64_t version() const { return content->version(); }

    void setEraHandler(EraHandler handler) override { m_eraHandler = std::move(handler); }

    void scan(RowTable table, const std::string &from, RowsCallback callback) override
    {
        ++scanCounts[table];
        RowsPage page;
        for (const auto &[key, row] : content->rows(table)) {
            if (row.removed || key < from)
                continue;
            page.more = page.rows.size() == pageSize;
            if (page.more)
                break;
            page.rows.push_back(row);
        }
        answer(table, std::move(page), callback);
    }

    void changes(RowTable table, std::uint64_t after, Duration /*wait*/,
                 RowsCallback callback) override
    {
        ++changeReadCounts[table];
        if (after < oldestReadableVersion || after > version()) {
            complete([callback] { callback(RowStoreError::HistoryLost); });
            return;
        }
        RowsPage page;
        for (const auto &[key, row] : content->rows(table)) {
            if (row.version > after)
                page.rows.push_back(row);
        }
        answer(table, std::move(page), callback);
    }

    void put(RowTable table, const std::string &key, const std::string &value,
             std::optional<std::uint64_t> expected, WriteCallback callback) override
    {
        const auto row = content->rows(table).find(key);
        const std::uint64_t currentVersion =
                row == content->rows(table).end() ? 0 : row->second.version;
        const bool conflict = expected && *expected != currentVersion;
        if (!conflict)
            set(table, key, value);
        complete([callback, conflict] {
            callback(conflict ? std::optional(RowStoreError::Conflict) : std::nullopt);
        });
    }

    void noteEra(std::uint64_t era) { m_eraHandler(era); }

    // Holds back all responses until it is called with false.
    void delayResponses(bool delay)
    {
        m_delays = delay;
        if (delay)
            return;
        for (auto &it : std::exchange(m_delayed, {}))
            boost::asio::post(m_context, std::move(it));
    }

    std::shared_ptr<StoreContent> content;
    bool statesEra = true; // in each response
    std::size_t pageSize = 500;
    std::uint64_t oldestReadableVersion = 0;
    std::map<RowTable, int> changeReadCounts;
    std::map<RowTable, int> scanCounts;
    std::set<RowTable> failingTables;

private:
    // Runs the callback later, after the handler of the era in which the call was performed.
    void complete(std::function<void()> callback)
    {
        auto response = [this, callback = std::move(callback),
                         era = statesEra ? std::optional(content->era) : std::nullopt] {
            if (era && m_eraHandler)
                m_eraHandler(*era);
            callback();
        };
        if (m_delays)
            m_delayed.push_back(std::move(response));
        else
            boost::asio::post(m_context, std::move(response));
    }

    void answer(RowTable table, RowsPage page, const RowsCallback &callback)
    {
        if (failingTables.contains(table)) {
            // A client that does not reach the store learns nothing of its era.
            boost::asio::post(m_context, [callback] { callback(RowStoreError::Unavailable); });
            return;
        }
        page.version = version();
        page.storeTime = std::chrono::floor<std::chrono::milliseconds>(timeSinceBoot());
        if (statesEra)
            page.era = content->era;
        complete([page = std::move(page), callback] { callback(page); });
    }

    boost::asio::io_context &m_context;
    EraHandler m_eraHandler;
    std::vector<std::function<void()>> m_delayed;
    bool m_delays = false;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_INMEMORYROWSTORE_H
