// Access to the platform's table and object store, as an abstract interface for the control part.
// Calls are asynchronous; the callback runs on the control thread. Lost answers are reported as
// TableErrorKind::Unknown: the write may have taken effect, and the caller settles it by reading.

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
    std::uint64_t version = 0; // grows with each write of the row
    std::string value;

    bool operator==(const TableRow &) const = default;
};

// Holds if the row is absent (version 0) or has exactly this version.
struct TableCondition
{
    std::string key;
    std::uint64_t version = 0;

    bool operator==(const TableCondition &) const = default;
};

struct TableWrite
{
    std::string key;
    std::optional<std::string> value; // nothing: delete

    bool operator==(const TableWrite &) const = default;
};

struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;

    bool operator==(const TableTransaction &) const = default;
};

enum class TableErrorKind {
    Conflict,    // a condition did not hold; nothing was written
    Unavailable, // the platform refused or could not be reached; nothing was written
    Unknown      // no answer: the write may have taken effect
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

    // Absent rows are missing from the result.
    virtual void read(std::vector<std::string> keys, RowsCallback callback) = 0;
    virtual void scan(std::string prefix, RowsCallback callback) = 0;
    virtual void transact(TableTransaction transaction, CommitCallback callback) = 0;
    virtual void getObject(std::string key, ObjectCallback callback) = 0;
    virtual void putObject(std::string key, std::string data, CommitCallback callback) = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_TABLE_H
