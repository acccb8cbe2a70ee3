// Lease by which one gateway at a time has the duties. Decides when the row of the duties is read
// and written, which fencing token a holder uses, and until when it may send. All times are since
// boot, on the clock that runs on while a host is suspended.
//
// A holder's term begins before the write that renewed it was sent. A candidate waits for a full
// lease time and a margin from the moment at which it first saw the present version of the row, and
// writes on condition of that version, so that a late write of anyone else makes one of the two
// fail. A token is valid only in the era of the store in which it was acquired: in a later one the
// row may lack acquisitions that were acknowledged.

#ifndef CORNELSHED_DUTYLEASE_H
#define CORNELSHED_DUTYLEASE_H

#include "dutyrow.h"
#include "rowstore.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cornelshed {

struct DutyLeaseSettings
{
    std::string holder; // name of this gateway
    std::uint64_t incarnation = 0;
    Duration lease = std::chrono::milliseconds(3000);
    Duration thaw = std::chrono::milliseconds(300);

    bool operator==(const DutyLeaseSettings &) const = default;
};

struct ReadDutyRow
{
    auto operator<=>(const ReadDutyRow &) const = default;
};

struct WriteDutyRow
{
    DutyRow row; // without progress, which the caller adds
    std::uint64_t expectedVersion = 0;
    bool acquires = false;

    bool operator==(const WriteDutyRow &) const = default;
};

using DutyStoreCall = std::variant<ReadDutyRow, WriteDutyRow>;

enum class DutyLeaseChange : std::uint8_t {
    Acquired,
    HandedOver, // by this gateway, as it stops
    Lapsed,     // the term has ended without a renewal; it may still be renewed
    TakenOver,  // the row names another holder
    EraEnded    // the store has returned from an older copy of itself
};

class DutyLease
{
public:
    explicit DutyLease(DutyLeaseSettings settings);

    // Rank of this gateway among those that are heard. Candidates try in this order.
    void setRank(std::uint32_t rank) { m_rank = rank; }

    // Returns the call of the store that is due, if any. The caller reports its outcome; until then
    // no further call is due. Before a write, it adds the progress and calls writeSent().
    std::optional<DutyStoreCall> nextCall(Duration now);
    void writeSent(const DutyRow &row, Duration now);

    // The outcome of a read. row: empty if there is none; then the version of position is 0.
    // storeVersion: the newest of the store.
    void rowRead(const std::optional<DutyRow> &row, StorePosition position,
                 std::uint64_t storeVersion, Duration now);
    void readFailed(Duration now);
    // The outcome of the last write; no error: it was applied.
    void writeEnded(std::optional<RowStoreError> error, Duration now);

    // The store stated this era in any response. Called before the outcome of that call is
    // reported.
    void eraRead(std::uint64_t era, Duration now);

    // A peer reported that it holds the duties with this number, by the row at this position. Saves
    // candidates reads of the row; never shortens their wait.
    void peerReported(std::uint64_t number, StorePosition position, Duration now);

    // Renews at once, because there is progress to store.
    void requestWrite() { m_writeWanted = true; }

    // Stops for good: does not renew or acquire any more. handOver: no call of this holder can
    // arrive any more, so the duties may be handed over.
    void stop(bool handOver);

    bool holds() const { return m_number != 0; }
    // Whether a call may be sent that ends at this time at the latest.
    bool covers(Duration until) const { return holds() && until <= m_termEnd; }
    std::uint64_t number() const { return m_number; }           // 0: does not hold the duties
    const std::optional<DutyRow> &row() const { return m_row; } // as last read
    StorePosition position() const { return m_position; }       // of row()
    Duration firstSeen() const { return m_firstSeen; }          // of position()
    std::uint64_t era() const { return m_era; }
    Duration termEnd() const { return m_termEnd; }
    Duration acquiredAt() const { return m_acquiredAt; }

    // The row of a write that is now known to have been applied while this gateway holds the
    // duties, since the last call; empty: none.
    std::optional<DutyRow> takeConfirmed() { return std::exchange(m_confirmed, std::nullopt); }
    std::vector<DutyLeaseChange> takeChanges() { return std::exchange(m_changes, {}); }

private:
    struct SentWrite
    {
        DutyRow row;
        Duration sentAt {};
    };

    Duration waitEnd() const;
    bool mayHandOver(Duration now) const;
    std::optional<DutyStoreCall> nextHolderCall(Duration now);
    DutyStoreCall acquisition();
    DutyStoreCall renewal(bool handedOver);
    DutyStoreCall read();
    void confirm(const SentWrite &write, Duration now);
    void lose(DutyLeaseChange change, Duration now);
    bool isOwn(const DutyRow &row) const;

    DutyLeaseSettings m_settings;
    std::uint32_t m_rank = 0;
    std::uint64_t m_era = 0;
    std::uint64_t m_storeVersion = 0; // newest that was read in this era
    std::uint64_t m_highestNumber = 0;

    std::optional<DutyRow> m_row;
    StorePosition m_position;
    bool m_hasRead = false;   // m_row and m_position were read in this era
    bool m_isCurrent = false; // no write of this gateway has been sent since
    Duration m_firstSeen {};
    StorePosition m_heardPosition; // newest that a peer reported
    Duration m_heardAt {};

    bool m_callInProgress = false;
    Duration m_readAt {};                // when the next read is due
    Duration m_retryAt {};               // no call before
    std::vector<SentWrite> m_unanswered; // that may have been applied or may be applied later
    std::optional<SentWrite> m_sent;

    std::uint64_t m_number = 0;
    Duration m_termEnd {};
    Duration m_acquiredAt {};
    Duration m_renewAt {};
    std::optional<Duration> m_lostAt;
    std::uint64_t m_lastRenewal = 0;
    bool m_lapsed = false;
    bool m_writeWanted = false;
    bool m_stopped = false;
    bool m_handsOver = false;
    std::optional<DutyRow> m_confirmed;
    std::vector<DutyLeaseChange> m_changes;
};

const char *nameOf(DutyLeaseChange change);

} // namespace cornelshed

#endif // CORNELSHED_DUTYLEASE_H
