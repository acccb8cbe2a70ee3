// Abstract interface to the platform's table and object store, used by the control parts. Calls are
// asynchronous; the callback runs on the control thread. A lost response is reported as
// TableErrorKind::Unknown: the write may have taken effect, and the caller finds out by reading.

#ifndef CORNELSHED_TABLE_H
#define CORNELSHED_TABLE_H

#include "types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

struct TableRow
{
    std::uint64_t version = 0; // increases with each write of the row
    std::string value;

    bool operator==(const TableRow &) const = default;
};

// Holds if the row has exactly this version; version 0 requires that the row is absent.
struct TableCondition
{
    std::string key;
    std::uint64_t version = 0;

    bool operator==(const TableCondition &) const = default;
};

struct TableWrite
{
    std::string key;
    std::optional<std::string> value; // nullopt deletes the row

    bool operator==(const TableWrite &) const = default;
};

// Applies all writes if every condition holds, and none otherwise.
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;

    bool operator==(const TableTransaction &) const = default;
};

enum class TableErrorKind {
    Conflict,    // a condition did not hold; nothing was written
    Unavailable, // the platform refused the call or was not reachable; nothing was written
    Unknown      // no response; the write may have taken effect
};

struct TableError
{
    TableErrorKind kind = TableErrorKind::Unavailable;
    std::string message;

    bool operator==(const TableError &) const = default;
};

using TableRows = std::map<std::string, TableRow>;

class PlatformTable
{
public:
    virtual ~PlatformTable() = default;

    using RowsCallback = std::function<void(Result<TableRows, TableError>)>;
    using CommitCallback = std::function<void(std::optional<TableError>)>;
    using ObjectCallback = std::function<void(Result<std::string, TableError>)>;

    // Reads the rows with the given keys; the result omits absent rows.
    virtual void read(std::vector<std::string> keys, RowsCallback callback) = 0;
    // Reads all rows whose keys start with the prefix.
    virtual void scan(std::string prefix, RowsCallback callback) = 0;
    virtual void transact(TableTransaction transaction, CommitCallback callback) = 0;
    virtual void getObject(std::string key, ObjectCallback callback) = 0;
    virtual void putObject(std::string key, std::string data, CommitCallback callback) = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_TABLE_H
