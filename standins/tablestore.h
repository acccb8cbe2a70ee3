// Rows of the platform stand-in's table with conditional transactions.

#ifndef CORNELSHED_STANDINS_TABLESTORE_H
#define CORNELSHED_STANDINS_TABLESTORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed::standins {

struct StoredRow
{
    std::uint64_t version = 0; // 0: the row is absent
    std::string value;

    bool operator==(const StoredRow &) const = default;
};

using StoredRows = std::map<std::string, StoredRow>;

struct RowCondition
{
    std::string key;
    std::uint64_t version = 0; // 0: the row must be absent
};

struct RowWrite
{
    std::string key;
    std::optional<std::string> value; // nothing: delete
};

struct TransactionResult
{
    bool committed = false;
    StoredRows rows; // committed: the rows written; otherwise: the rows whose condition failed
};

class TableStore
{
public:
    // Checks all conditions, then applies all writes or none.
    TransactionResult transact(const std::vector<RowCondition> &conditions,
                               const std::vector<RowWrite> &writes);

    [[nodiscard]] StoredRows read(const std::vector<std::string> &keys) const;
    [[nodiscard]] StoredRows scan(const std::string &prefix) const;

private:
    StoredRows m_rows;
    std::uint64_t m_lastVersion = 0; // over all rows, so that a deleted row's versions never recur
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_TABLESTORE_H
