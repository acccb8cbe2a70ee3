// Tracks how fresh this daemon's copies of the store's tables are proven to be, by its own reads
// and by those of its peers.
//
// A read proves the state of a table at the moment at which the call was sent. A peer's read counts
// as a proof for this daemon too if this daemon has applied every change that the peer's read
// showed: in that case nothing newer existed at that moment. The moment is bounded without
// synchronised clocks: the peer echoes the last report that it received from this daemon, so the
// peer's read happened no earlier than the sending of that report minus the age that the peer
// states for its read. Thus the reads of one daemon serve all, and the others need not call the
// store.

#ifndef CORNELSHED_FRESHNESS_H
#define CORNELSHED_FRESHNESS_H

#include "rowstore.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cornelshed {

// Tables whose read proofs are shared with peers.
constexpr std::array<RowTable, 2> sharedTables {RowTable::Orders, RowTable::Backends};

// What a read of a table proved. Versions are those of the store.
struct ReadProof
{
    Duration sentAt {};            // time since boot at which the call was sent
    std::uint64_t lastChange = 0;  // newest change relevant to this daemon
    std::uint64_t appliedUpTo = 0; // every change up to this version is applied

    bool operator==(const ReadProof &) const = default;
};

// A read proof as reported to peers.
struct SharedProof
{
    std::uint64_t lastChange = 0;
    Duration age {}; // of the read, when the report was composed

    bool operator==(const SharedProof &) const = default;
};

enum class ProofUse : std::uint8_t {
    None,     // proves nothing beyond what is known
    Extended, // the copy is proven fresh at a later time than before
    Behind    // the peer's read has a change that this daemon has not applied
};

class FreshnessTracker
{
public:
    void recordOwnRead(RowTable table, const ReadProof &proof);

    // acknowledgedReportSentAt: time since boot at which this daemon sent the report that the peer
    // echoes.
    ProofUse recordPeerRead(RowTable table, const SharedProof &proof,
                            Duration acknowledgedReportSentAt);

    // Both return nothing if the table was never read.
    std::optional<SharedProof> share(RowTable table, Duration sinceBoot) const;
    std::optional<Duration> provenAt(RowTable table) const;

private:
    struct TableState
    {
        std::optional<Duration> provenAt; // time since boot
        std::uint64_t lastChange = 0;
        std::uint64_t appliedUpTo = 0;
    };

    std::array<TableState, sharedTables.size()> m_tableStates; // by RowTable
};

} // namespace cornelshed

#endif // CORNELSHED_FRESHNESS_H
