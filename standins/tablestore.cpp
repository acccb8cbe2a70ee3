// Conditional transactions, reads and scans of the table.

#include "tablestore.h"

namespace cornelshed::standins {

TransactionResult TableStore::transact(const std::vector<RowCondition> &conditions,
                                       const std::vector<RowWrite> &writes)
{
    TransactionResult result;
    for (const RowCondition &it : conditions) {
        const auto found = m_rows.find(it.key);
        const StoredRow row = found == m_rows.end() ? StoredRow() : found->second;
        if (row.version != it.version)
            result.rows[it.key] = row;
    }
    if (!result.rows.empty())
        return result;
    result.committed = true;
    for (const RowWrite &it : writes) {
        m_lastVersion += 1;
        if (it.value.has_value()) {
            m_rows[it.key] = {m_lastVersion, *it.value};
            result.rows[it.key] = m_rows[it.key];
        } else {
            m_rows.erase(it.key);
            result.rows[it.key] = {};
        }
    }
    return result;
}

StoredRows TableStore::read(const std::vector<std::string> &keys) const
{
    StoredRows rows;
    for (const std::string &it : keys) {
        const auto found = m_rows.find(it);
        if (found != m_rows.end())
            rows.insert(*found);
    }
    return rows;
}

StoredRows TableStore::scan(const std::string &prefix) const
{
    StoredRows rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        rows.insert(*it);
    }
    return rows;
}

} // namespace cornelshed::standins
