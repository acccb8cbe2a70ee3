// Proofs of freshness.

#include "freshness.h"

#include <algorithm>

namespace cornelshed {

namespace {

std::size_t indexOf(RowTable table)
{
    return static_cast<std::size_t>(table);
}

} // namespace

void FreshnessBoard::ownRead(RowTable table, const ReadProof &proof)
{
    Copy &copy = m_copies.at(indexOf(table));
    copy.provenAt = std::max(copy.provenAt.value_or(proof.sentAt), proof.sentAt);
    copy.lastChange = std::max(copy.lastChange, proof.lastChange);
    copy.appliedUpTo = std::max(copy.appliedUpTo, proof.appliedUpTo);
}

ProofUse FreshnessBoard::peerRead(RowTable table, const SharedProof &proof, Duration echoedSentAt)
{
    Copy &copy = m_copies.at(indexOf(table));
    if (!copy.provenAt)
        return ProofUse::None; // nothing was read here yet
    if (copy.appliedUpTo < proof.lastChange)
        return ProofUse::Behind;
    const Duration provenAt = echoedSentAt - proof.age;
    if (provenAt <= *copy.provenAt)
        return ProofUse::None;
    copy.provenAt = provenAt;
    return ProofUse::Extended;
}

std::optional<SharedProof> FreshnessBoard::share(RowTable table, Duration sinceBoot) const
{
    const Copy &copy = m_copies.at(indexOf(table));
    if (!copy.provenAt)
        return std::nullopt;
    return SharedProof {copy.lastChange, sinceBoot - *copy.provenAt};
}

std::optional<Duration> FreshnessBoard::provenAt(RowTable table) const
{
    return m_copies.at(indexOf(table)).provenAt;
}

} // namespace cornelshed
