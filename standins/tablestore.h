// In-memory table of the platform stand-in: versioned rows with conditional transactions.

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
    std::uint64_t version = 0; // 0: the row does not exist
    std::string value;

    bool operator==(const StoredRow &) const = default;
};

using StoredRows = std::map<std::string, StoredRow>;

struct RowCondition
{
    std::string key;
    std::uint64_t version = 0; // 0: the row must not exist
};

struct RowWrite
{
    std::string key;
    std::optional<std::string> value; // std::nullopt: delete the row
};

struct TransactionResult
{
    bool committed = false;
    StoredRows rows; // the rows written if committed, otherwise the rows whose condition failed
};

class TableStore
{
public:
    // Applies all writes if all conditions hold, otherwise none.
    TransactionResult transact(const std::vector<RowCondition> &conditions,
                               const std::vector<RowWrite> &writes);

    [[nodiscard]] StoredRows read(const std::vector<std::string> &keys) const;
    // Returns the rows whose key starts with prefix.
    [[nodiscard]] StoredRows scan(const std::string &prefix) const;

private:
    StoredRows m_rows;
    // One counter for all rows, so that a row created again after a delete gets a new version.
    std::uint64_t m_lastVersion = 0;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_TABLESTORE_H
