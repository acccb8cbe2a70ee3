// Tracks how fresh this daemon's copies of the store's tables are proven to be, by its own reads
// and by those of its peers.
//
// A read proves the state of a table at the moment at which the call was sent. A peer's read counts
// as a proof for this daemon too if this daemon has applied every change that the peer's read
// showed: in that case nothing newer existed at that moment. The moment is stated by the store's
// steady clock, which each response carries and which this daemon relates to its own clock by its
// own reads. A proof therefore does not depend on who passed it on, or how often: the reads of one
// daemon serve all, in fleets in which two given daemons rarely exchange messages directly.
//
// Proofs of an earlier era of the store extend nothing once a later one is known, and the clocks
// are related again in each era. What has been proven before stays proven for its moment. Just
// after a return a read proves that a copy equals the store, but not that it holds what operators
// were acknowledged: they first have to write again what the store has lost. Only a later read
// confirms that.

#ifndef CORNELSHED_FRESHNESS_H
#define CORNELSHED_FRESHNESS_H

#include "rowstore.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cornelshed {

// Tables whose read proofs are shared with peers.
constexpr std::array<RowTable, 3> sharedTables {RowTable::Orders, RowTable::Backends,
                                                RowTable::Gateways};

// What a read of a table proved. Both positions are of the era in which it was read.
struct ReadProof
{
    Duration sentAt {};        // time since boot at which the call was sent
    StorePosition lastChange;  // newest change relevant to this daemon
    StorePosition appliedUpTo; // every change up to this position is applied
    Duration storeTime {};     // on the store's steady clock, of the response; 0: not stated

    bool operator==(const ReadProof &) const = default;
};

// A read proof as reported to peers.
struct SharedProof
{
    StorePosition lastChange;
    Duration storeTime {}; // of the read, on the store's steady clock

    bool operator==(const SharedProof &) const = default;
};

// A return of the store from an older copy of itself, as reported to peers.
struct StoreReturn
{
    std::uint64_t era = 0; // that began with it
    Duration age {};

    bool operator==(const StoreReturn &) const = default;
};

using SharedProofs = std::array<std::optional<SharedProof>, sharedTables.size()>;

enum class ProofUse : std::uint8_t {
    None,      // proves nothing beyond what is known
    Extended,  // the copy is proven fresh at a later time than before
    Behind,    // the peer's read has a change that this daemon has not applied
    EarlierEra // refused, because a later era of the store is known
};

const char *nameOf(ProofUse use);

class FreshnessTracker
{
public:
    // rewriteTime: how long after a return operators write again what the store has lost.
    explicit FreshnessTracker(Duration rewriteTime = std::chrono::seconds(2))
        : m_rewriteTime(rewriteTime)
    { }

    void recordOwnRead(RowTable table, const ReadProof &proof);

    // sinceBoot: the present time.
    ProofUse recordPeerRead(RowTable table, const SharedProof &proof, Duration sinceBoot);

    // In order of sharedTables; empty for tables that were not read in the present era.
    SharedProofs share() const;

    // The return with which the present era began; empty if it is not known or long ago.
    std::optional<StoreReturn> lastReturn(Duration sinceBoot) const;
    // A daemon that started after the return learns of it from its peers only.
    void recordPeerReturn(const StoreReturn &storeReturn, Duration sinceBoot);

    std::optional<Duration> provenAt(RowTable table) const; // time since boot; empty if never read
    // Like provenAt(), but not by reads before the end of the rewrite time.
    std::optional<Duration> confirmedAt(RowTable table) const;

private:
    struct TableState
    {
        std::optional<Duration> provenAt;    // time since boot
        std::optional<Duration> confirmedAt; // time since boot; never later than provenAt
        Duration provenStoreTime {};         // in the present era; 0: not read in it
        Duration readAt {};                  // latest own read in the present era, since boot
        StorePosition lastChange;
        StorePosition appliedUpTo;
    };
    // A later era that only peers have reported so far.
    struct ReportedEra
    {
        std::uint64_t era = 0;
        Duration heardAt {}; // time since boot
    };
    // A moment known on both clocks: the store's clock showed storeTime no earlier than sentAt.
    struct ClockAnchor
    {
        Duration sentAt {};
        Duration storeTime {};
    };

    // Latest time since boot at which the store's clock cannot have passed storeTime yet; empty if
    // the clocks have not been related, or no longer agree.
    std::optional<Duration> earliestLocalTime(Duration storeTime, Duration sinceBoot) const;
    void updateAnchor(const ReadProof &proof);
    void enterEra(std::uint64_t era, Duration sentAt);
    void prove(TableState &state, Duration at);
    Duration confirmsFrom() const; // reads sent from then on confirm; time since boot

    std::array<TableState, sharedTables.size()> m_tableStates; // by RowTable
    std::optional<ClockAnchor> m_anchor;                       // of the present era
    std::uint64_t m_era = 0;                                   // the latest one that was read
    std::optional<ReportedEra> m_reportedEra;
    std::optional<Duration> m_returnedAt; // start of the present era, if it is known; since boot
    Duration m_rewriteTime;
};

} // namespace cornelshed

#endif // CORNELSHED_FRESHNESS_H
