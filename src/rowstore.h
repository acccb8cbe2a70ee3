// Interface to the platform's store of versioned rows, used on the control thread. Reads are
// linearizable. Each callback runs exactly once, on the control thread.

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

// Tables that this system uses. The implementation maps them to the platform's names.
enum class RowTable : std::uint8_t {
    Orders,   // configuration and operators' orders; read only
    Backends, // registry of backend servers; read only
    Gateways, // registry of this system's gateway daemons
    Statuses, // results of operators' orders; written by this system
    Prompts,  // prompts that crash backend servers; written by this system
    Duties    // holder of the duties of one gateway at a time; written by this system
};

// A position in the store's history. Versions are comparable only within one era: when the store
// returns from an older copy of itself, it loses what it had acknowledged since that copy, begins a
// new era and gives the lost versions out again. A position of a later era therefore follows all
// positions of earlier ones.
struct StorePosition
{
    std::uint64_t era = 0;
    std::uint64_t version = 0;

    auto operator<=>(const StorePosition &) const = default;
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
    std::uint64_t version = 0; // newest version of the store, from which changes can be read on
    bool more = false;
    Duration storeTime {};            // on the store's steady clock, of the response; 0: not stated
    std::optional<std::uint64_t> era; // of the store's history; nullopt: not stated

    bool operator==(const RowsPage &) const = default;
};

enum class RowStoreError : std::uint8_t {
    Unavailable, // refused or unreachable; nothing was done
    Unknown,     // no answer: a write may have taken effect, or may still do so
    HistoryLost, // the store no longer has all changes since that version
    Conflict     // the row's version is not the expected one
};

using RowsResult = Result<RowsPage, RowStoreError>;

class RowStore
{
public:
    virtual ~RowStore() = default;

    // Called with the era of each response that states one, errors included, before the callback of
    // its call.
    using EraHandler = std::function<void(std::uint64_t era)>;
    virtual void setEraHandler(EraHandler handler) = 0;

    using RowsCallback = std::function<void(RowsResult)>;
    using WriteCallback = std::function<void(std::optional<RowStoreError>)>;

    // Reads one page of a table in key order, starting at the key from.
    virtual void scan(RowTable table, const std::string &from, RowsCallback callback) = 0;

    // Reads the changes after a version. If there are none yet, waits for one; the page is empty if
    // none comes within the wait time.
    virtual void changes(RowTable table, std::uint64_t after, Duration wait,
                         RowsCallback callback) = 0;

    // Writes a row. Without an expected version, an existing row is overwritten; with 0, the row
    // must not exist yet.
    virtual void put(RowTable table, const std::string &key, const std::string &value,
                     std::optional<std::uint64_t> expectedVersion, WriteCallback callback) = 0;
};

// --- decoded rows ---

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
    StorePosition position;  // of the row that holds the order
    StorePosition orderedAt; // of that row before it was written again after returns of the store
    bool confirmed = true;   // the row was read in the store's present era

    auto operator<=>(const RolloutOrder &) const = default;
};

enum class RolloutState : std::uint8_t {
    Running,
    Completed, // the servers of the old version may be stopped at once
    RolledBack
};

struct RolloutStatus
{
    std::string service;
    std::string version; // version named by the order
    RolloutState state = RolloutState::Running;
    StorePosition position; // of the row; version 0: not written yet

    auto operator<=>(const RolloutStatus &) const = default;
};

// A whole prompt that is kept from backend servers, as it is stored; see QuarantineAge.
struct QuarantinedPrompt
{
    std::uint64_t digest = 0; // of its content
    Duration beganAt {};      // on the store's steady clock
    Duration length {};

    auto operator<=>(const QuarantinedPrompt &) const = default;
};

struct GatewayRecord
{
    std::string name;
    std::string address;
    std::uint16_t port = 0; // for messages between gateways

    auto operator<=>(const GatewayRecord &) const = default;
};

// A row that cannot be decoded; the reason is text for the log.
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

    // Returns nothing for rows of Statuses that are not the status of a rollout.
    virtual std::optional<RolloutStatus> decodeRolloutStatus(const std::string &key,
                                                             const std::string &value) const = 0;
    virtual std::string rolloutStatusKey(const std::string &service) const = 0;
    virtual std::string encodeRolloutStatus(const RolloutStatus &status) const = 0;

    // All quarantined prompts are in one row, the key of which is up to the codec. Entries that
    // cannot be decoded are left out.
    virtual std::string quarantineKey() const = 0;
    virtual std::vector<QuarantinedPrompt> decodeQuarantine(const std::string &key,
                                                            const std::string &value) const = 0;
    virtual std::string encodeQuarantine(const std::vector<QuarantinedPrompt> &prompts) const = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_ROWSTORE_H
