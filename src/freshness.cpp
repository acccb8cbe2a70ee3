// Freshness proofs by this daemon's reads and by those of its peers.

#include "freshness.h"

#include <algorithm>

namespace cornelshed {

namespace {

std::size_t indexOf(RowTable table)
{
    return static_cast<std::size_t>(table);
}

} // namespace

void FreshnessTracker::recordOwnRead(RowTable table, const ReadProof &proof)
{
    TableState &state = m_tableStates.at(indexOf(table));
    state.provenAt = std::max(state.provenAt.value_or(proof.sentAt), proof.sentAt);
    state.lastChange = std::max(state.lastChange, proof.lastChange);
    state.appliedUpTo = std::max(state.appliedUpTo, proof.appliedUpTo);
}

ProofUse FreshnessTracker::recordPeerRead(RowTable table, const SharedProof &proof,
                                          Duration acknowledgedReportSentAt)
{
    TableState &state = m_tableStates.at(indexOf(table));
    if (!state.provenAt)
        return ProofUse::None; // this daemon has not read the table yet
    if (state.appliedUpTo < proof.lastChange)
        return ProofUse::Behind;
    const Duration provenAt = acknowledgedReportSentAt - proof.age;
    if (provenAt <= *state.provenAt)
        return ProofUse::None;
    state.provenAt = provenAt;
    return ProofUse::Extended;
}

std::optional<SharedProof> FreshnessTracker::share(RowTable table, Duration sinceBoot) const
{
    const TableState &state = m_tableStates.at(indexOf(table));
    if (!state.provenAt)
        return std::nullopt;
    return SharedProof {state.lastChange, sinceBoot - *state.provenAt};
}

std::optional<Duration> FreshnessTracker::provenAt(RowTable table) const
{
    return m_tableStates.at(indexOf(table)).provenAt;
}

} // namespace cornelshed
