// In-memory model of the platform's table and object store, for tests.

#ifndef CORNELSHED_TEST_TABLEMODEL_H
#define CORNELSHED_TEST_TABLEMODEL_H

#include "table.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed::testing {

// Rows and objects in memory. A transaction is applied as a whole, or not at all if one of its
// conditions does not hold. Not thread-safe.
class TableModel
{
public:
    std::optional<TableError> commit(const TableTransaction &transaction)
    {
        const bool holds = std::all_of(
                transaction.conditions.begin(), transaction.conditions.end(),
                [&](const TableCondition &it) { return versionOf(it.key) == it.version; });
        if (!holds)
            return TableError {TableErrorKind::Conflict, "condition not met"};
        for (const TableWrite &it : transaction.writes)
            write(it);
        return std::nullopt;
    }

    TableRows read(const std::vector<std::string> &keys) const
    {
        TableRows rows;
        for (const std::string &it : keys) {
            if (const auto row = m_rows.find(it); row != m_rows.end())
                rows.insert(*row);
        }
        return rows;
    }

    const TableRows &rows() const { return m_rows; }
    std::map<std::string, std::string> &objects() { return m_objects; }

private:
    std::uint64_t versionOf(const std::string &key) const
    {
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? 0 : row->second.version;
    }

    void write(const TableWrite &it)
    {
        // One counter for all rows, so that a row that is deleted and written again gets a new
        // version.
        ++m_lastVersion;
        if (it.value.has_value())
            m_rows[it.key] = {m_lastVersion, *it.value};
        else
            m_rows.erase(it.key);
    }

    TableRows m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_lastVersion = 0;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_TABLEMODEL_H
