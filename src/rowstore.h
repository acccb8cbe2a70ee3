// The platform's versioned rows, as an abstract interface of the control thread. Reads are
// linearizable; callbacks run on the control thread, exactly once.

#ifndef CORNELSHED_ROWSTORE_H
#define CORNELSHED_ROWSTORE_H

#include "backendrecord.h"
#include "routetable.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

// Tables that the system uses; the platform's names stand in its adapter.
enum class RowTable : std::uint8_t {
    Orders,   // configuration and operators' orders; read only
    Backends, // registry of backend servers; read only
    Gateways, // the system's own daemons
    Statuses  // what became of operators' orders; written by the system
};

struct StoredRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;

    bool operator==(const StoredRow &) const = default;
};

struct RowsPage
{
    std::vector<StoredRow> rows;
    std::uint64_t version = 0; // newest version of the store, where a feed goes on
    bool more = false;

    bool operator==(const RowsPage &) const = default;
};

enum class RowStoreError : std::uint8_t {
    Unavailable, // refused or unreachable; nothing was done
    Unknown,     // no answer: a write may have taken effect or may do so later
    HistoryLost, // the feed cannot go on from that version
    Conflict     // the row did not have the expected version
};

using RowsResult = Result<RowsPage, RowStoreError>;

class RowStore
{
public:
    virtual ~RowStore() = default;

    using RowsCallback = std::function<void(RowsResult)>;
    using WriteCallback = std::function<void(std::optional<RowStoreError>)>;

    // One page of a table in key order, from a key on.
    virtual void scan(RowTable table, const std::string &from, RowsCallback callback) = 0;

    // Changes after a version; an empty page if there are none within the wait.
    virtual void changes(RowTable table, std::uint64_t after, Duration wait,
                         RowsCallback callback) = 0;

    // Without an expected version the row is overwritten; 0 means that it must not exist.
    virtual void put(RowTable table, const std::string &key, const std::string &value,
                     std::optional<std::uint64_t> expectedVersion, WriteCallback callback) = 0;
};

// --- rows in the system's terms ---

struct ZoneWithdrawal
{
    std::string availabilityZone;

    auto operator<=>(const ZoneWithdrawal &) const = default;
};

struct RolloutOrder
{
    std::string service;
    std::string version;
    Duration duration {};
    std::uint64_t rowVersion = 0; // of the order

    auto operator<=>(const RolloutOrder &) const = default;
};

enum class RolloutState : std::uint8_t {
    Running,
    Completed, // the old version's servers may stop at once
    RolledBack
};

struct RolloutStatus
{
    std::string service;
    std::string version; // that the order named
    RolloutState state = RolloutState::Running;
    std::uint64_t rowVersion = 0; // 0: not written yet

    auto operator<=>(const RolloutStatus &) const = default;
};

struct GatewayRecord
{
    std::string name;
    std::string address;
    std::uint16_t port = 0; // of peer messages

    auto operator<=>(const GatewayRecord &) const = default;
};

// The row cannot be read; text for the log.
struct UnreadableRow
{
    std::string reason;

    bool operator==(const UnreadableRow &) const = default;
};

using DecodedOrder = std::variant<RouteTableContent, ZoneWithdrawal, RolloutOrder, UnreadableRow>;

class RowCodec
{
public:
    virtual ~RowCodec() = default;

    virtual DecodedOrder decodeOrder(const std::string &key, const std::string &value) const = 0;
    virtual Result<BackendRecord, UnreadableRow> decodeBackend(const std::string &key,
                                                               const std::string &value) const = 0;
    virtual Result<GatewayRecord, UnreadableRow> decodeGateway(const std::string &key,
                                                               const std::string &value) const = 0;
    virtual std::string encodeGateway(const GatewayRecord &record) const = 0;

    // Rows of Statuses hold other things too; nothing: not a rollout's.
    virtual std::optional<RolloutStatus> decodeRolloutStatus(const std::string &key,
                                                             const std::string &value) const = 0;
    virtual std::string keyOfRolloutStatus(const std::string &service) const = 0;
    virtual std::string encodeRolloutStatus(const RolloutStatus &status) const = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_ROWSTORE_H
