// How fresh a daemon's copy of each table provably is, by its own reads and by those of its peers.
//
// A read proves the state of a table at the moment before the call was sent. A peer's proof counts
// here too if this daemon has applied every change that the peer's read showed: then nothing newer
// existed at that moment. The moment is bounded without common clocks: the peer echoes the last
// report that it had from this daemon, so its proof of a given age is no older than that report's
// sending less the age. Thus one daemon's read serves all, and the others need not call the store.

#ifndef CORNELSHED_FRESHNESS_H
#define CORNELSHED_FRESHNESS_H

#include "rowstore.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cornelshed {

// Tables whose reads are shared.
constexpr std::array<RowTable, 2> sharedTables {RowTable::Orders, RowTable::Backends};

// What a read of a table showed. Versions are the store's.
struct ReadProof
{
    Duration sentAt {};            // time since boot before the call
    std::uint64_t lastChange = 0;  // newest change that matters
    std::uint64_t appliedUpTo = 0; // every change up to this one is applied

    bool operator==(const ReadProof &) const = default;
};

// The same as told to peers.
struct SharedProof
{
    std::uint64_t lastChange = 0;
    Duration age {}; // when the report was composed

    bool operator==(const SharedProof &) const = default;
};

enum class ProofUse : std::uint8_t {
    None,     // older than what is known
    Extended, // the copy is proven fresh at a later moment than before
    Behind    // the peer has a change that this daemon must read
};

class FreshnessBoard
{
public:
    void ownRead(RowTable table, const ReadProof &proof);

    // echoedSentAt: when this daemon sent the report that the peer echoes, since boot.
    ProofUse peerRead(RowTable table, const SharedProof &proof, Duration echoedSentAt);

    // Nothing if the table was never read.
    std::optional<SharedProof> share(RowTable table, Duration sinceBoot) const;
    std::optional<Duration> provenAt(RowTable table) const;

private:
    struct Copy
    {
        std::optional<Duration> provenAt; // since boot
        std::uint64_t lastChange = 0;
        std::uint64_t appliedUpTo = 0;
    };

    std::array<Copy, sharedTables.size()> m_copies; // by RowTable
};

} // namespace cornelshed

#endif // CORNELSHED_FRESHNESS_H
