// Freshness proofs by this daemon's reads and by those of its peers.

#include "freshness.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Upper bound on the difference in rate between this host's clock and the store's: one part in
// this many.
constexpr std::int64_t clockDriftDivisor = 1000;
// The store states its time in whole milliseconds.
constexpr Duration storeClockResolution = std::chrono::milliseconds(1);

// A return that is longer ago than this is not reported to peers.
constexpr Duration returnMemory = std::chrono::minutes(1);

std::size_t indexOf(RowTable table)
{
    return static_cast<std::size_t>(table);
}

Duration driftOver(Duration elapsed)
{
    return std::max(elapsed, -elapsed) / clockDriftDivisor;
}

} // namespace

const char *nameOf(ProofUse use)
{
    switch (use) {
    case ProofUse::None:
        return "none";
    case ProofUse::Extended:
        return "extended";
    case ProofUse::Behind:
        return "behind";
    case ProofUse::EarlierEra:
        return "earlier_era";
    }
    return "unknown";
}

void FreshnessTracker::recordOwnRead(RowTable table, const ReadProof &proof)
{
    const std::uint64_t era = proof.appliedUpTo.era;
    if (era < m_era)
        return;
    if (era > m_era)
        enterEra(era, proof.sentAt);
    // The store itself has the last word on its era.
    if (m_reportedEra && (m_reportedEra->era <= era || m_reportedEra->heardAt < proof.sentAt))
        m_reportedEra.reset();
    TableState &state = m_tableStates.at(indexOf(table));
    if (proof.sentAt >= state.readAt) {
        // Lower positions show a return of the store that no response has stated.
        state.readAt = proof.sentAt;
        state.lastChange = proof.lastChange;
        state.appliedUpTo = proof.appliedUpTo;
    }
    if (proof.storeTime != Duration::zero())
        updateAnchor(proof);
    if (state.provenAt && proof.sentAt <= *state.provenAt)
        return;
    prove(state, proof.sentAt);
    state.provenStoreTime = std::max(state.provenStoreTime, proof.storeTime);
}

// A daemon that has read no earlier era cannot know how old this one is.
void FreshnessTracker::enterEra(std::uint64_t era, Duration sentAt)
{
    const bool hasRead = std::any_of(m_tableStates.begin(), m_tableStates.end(),
                                     [](const TableState &it) { return it.provenAt.has_value(); });
    m_returnedAt = hasRead ? std::optional(sentAt) : std::nullopt;
    m_era = era;
    m_anchor.reset();
    for (TableState &it : m_tableStates) {
        it.provenStoreTime = Duration::zero();
        it.readAt = Duration::zero();
    }
}

void FreshnessTracker::prove(TableState &state, Duration at)
{
    state.provenAt = at;
    if (at >= confirmsFrom())
        state.confirmedAt = at;
}

Duration FreshnessTracker::confirmsFrom() const
{
    return m_returnedAt ? *m_returnedAt + m_rewriteTime : Duration::min();
}

std::optional<StoreReturn> FreshnessTracker::lastReturn(Duration sinceBoot) const
{
    if (!m_returnedAt || sinceBoot - *m_returnedAt > returnMemory)
        return std::nullopt;
    return StoreReturn {m_era, sinceBoot - *m_returnedAt};
}

void FreshnessTracker::recordPeerReturn(const StoreReturn &storeReturn, Duration sinceBoot)
{
    const Duration at = sinceBoot - storeReturn.age;
    if (storeReturn.era != m_era || (m_returnedAt && *m_returnedAt <= at))
        return;
    const bool wasUnknown = !m_returnedAt;
    m_returnedAt = at;
    for (TableState &it : m_tableStates) {
        if (wasUnknown && it.confirmedAt && *it.confirmedAt < confirmsFrom())
            it.confirmedAt.reset();
    }
}

// Keeps the anchor that gives the later local times, which waste less of each proof.
void FreshnessTracker::updateAnchor(const ReadProof &proof)
{
    const auto known = earliestLocalTime(proof.storeTime, Duration::max());
    if (!known || *known <= proof.sentAt)
        m_anchor = {proof.sentAt, proof.storeTime};
}

std::optional<Duration> FreshnessTracker::earliestLocalTime(Duration storeTime,
                                                            Duration sinceBoot) const
{
    if (!m_anchor)
        return std::nullopt;
    const Duration elapsed = storeTime - m_anchor->storeTime;
    const Duration local = m_anchor->sentAt + elapsed - driftOver(elapsed) - storeClockResolution;
    // A read that would lie in the future shows that the store's clock has jumped forward.
    return local <= sinceBoot ? std::optional(local) : std::nullopt;
}

ProofUse FreshnessTracker::recordPeerRead(RowTable table, const SharedProof &proof,
                                          Duration sinceBoot)
{
    const std::uint64_t era = proof.lastChange.era;
    const std::uint64_t latestEra = m_reportedEra ? m_reportedEra->era : m_era;
    if (era < latestEra)
        return ProofUse::EarlierEra;
    if (era > latestEra)
        m_reportedEra = {era, sinceBoot};
    TableState &state = m_tableStates.at(indexOf(table));
    if (!state.provenAt)
        return ProofUse::None; // this daemon has not read the table yet
    if (state.appliedUpTo < proof.lastChange)
        return ProofUse::Behind;
    const auto provenAt = earliestLocalTime(proof.storeTime, sinceBoot);
    if (!provenAt) {
        m_anchor.reset();
        return ProofUse::None;
    }
    if (*provenAt <= *state.provenAt)
        return ProofUse::None;
    prove(state, *provenAt);
    state.provenStoreTime = std::max(state.provenStoreTime, proof.storeTime);
    return ProofUse::Extended;
}

SharedProofs FreshnessTracker::share() const
{
    SharedProofs proofs;
    for (std::size_t i = 0; i < sharedTables.size(); ++i) {
        const TableState &state = m_tableStates[i];
        if (state.provenStoreTime != Duration::zero())
            proofs[i] = SharedProof {state.lastChange, state.provenStoreTime};
    }
    return proofs;
}

std::optional<Duration> FreshnessTracker::provenAt(RowTable table) const
{
    return m_tableStates.at(indexOf(table)).provenAt;
}

std::optional<Duration> FreshnessTracker::confirmedAt(RowTable table) const
{
    return m_tableStates.at(indexOf(table)).confirmedAt;
}

} // namespace cornelshed
