// Decides when the row of the duties is read and written.

#include "dutylease.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

constexpr int renewalsPerLease = 3;
// The term of the holder is shorter than the lease time by this part of it, and a candidate waits
// longer by as much: for the rates of the hosts' clocks and the time to carry out a decision.
constexpr int marginDivisor = 20;
constexpr Duration readInterval = 1s; // of candidates that hear of no renewal
constexpr Duration retryPause = 200ms;
// Candidates try one after the other, so that one write is enough after the end of a lease.
constexpr Duration candidateStep = 100ms;
constexpr std::uint32_t maxCandidateSteps = 20;

// Larger than all numbers of earlier eras, and within an era larger than those of earlier versions
// of the row: each acquisition is conditional on a version of its own.
std::uint64_t lowestNumber(const StorePosition &position)
{
    constexpr std::uint64_t eraLimit = std::numeric_limits<std::int32_t>::max();
    constexpr std::uint64_t versionLimit = std::numeric_limits<std::uint32_t>::max();
    return (std::min(position.era, eraLimit) << 32U) + std::min(position.version, versionLimit) + 1;
}

} // namespace

const char *nameOf(DutyLeaseChange change)
{
    switch (change) {
    case DutyLeaseChange::Acquired:
        return "acquired";
    case DutyLeaseChange::HandedOver:
        return "handed_over";
    case DutyLeaseChange::Lapsed:
        return "lapsed";
    case DutyLeaseChange::TakenOver:
        return "taken_over";
    case DutyLeaseChange::EraEnded:
        return "store_returned";
    }
    return "unknown";
}

DutyLease::DutyLease(DutyLeaseSettings settings) : m_settings(std::move(settings)) { }

// --- calls of the store ---

std::optional<DutyStoreCall> DutyLease::nextCall(Duration now)
{
    if (holds() && now > m_termEnd && !std::exchange(m_lapsed, true))
        m_changes.push_back(DutyLeaseChange::Lapsed);
    if (m_callInProgress || now < m_retryAt)
        return std::nullopt;
    if (holds())
        return nextHolderCall(now);
    if (m_stopped)
        return std::nullopt;
    const bool isKnown = m_hasRead && m_isCurrent && m_heardPosition <= m_position;
    if (isKnown && now >= waitEnd())
        return acquisition();
    if (now >= m_readAt)
        return read();
    return std::nullopt;
}

std::optional<DutyStoreCall> DutyLease::nextHolderCall(Duration now)
{
    if (m_stopped && !m_handsOver)
        return std::nullopt;
    if (!m_hasRead || !m_isCurrent)
        return read();
    if (m_stopped) {
        m_handsOver = mayHandOver(now);
        return m_handsOver ? std::optional(renewal(true)) : std::nullopt;
    }
    if (now >= m_renewAt || m_writeWanted)
        return renewal(false);
    return std::nullopt;
}

// The time between two changes of the holder is never shorter than the lease time, or a holder
// could act again within that time after another one has.
bool DutyLease::mayHandOver(Duration now) const
{
    return now <= m_termEnd && now >= m_acquiredAt + m_settings.lease + m_settings.thaw;
}

// When the lease of the row's holder has ended for certain.
Duration DutyLease::waitEnd() const
{
    const Duration step = candidateStep * std::min(m_rank, maxCandidateSteps);
    const Duration margin = m_settings.thaw + m_settings.lease / marginDivisor;
    const bool isFree = m_row && m_row->handedOver && m_row->era == m_era;
    const Duration ended = isFree ? m_firstSeen : m_firstSeen + m_settings.lease + margin;
    return m_lostAt ? std::max(ended, *m_lostAt + m_settings.lease + margin) + step : ended + step;
}

DutyStoreCall DutyLease::read()
{
    m_callInProgress = true;
    return ReadDutyRow {};
}

DutyStoreCall DutyLease::acquisition()
{
    m_callInProgress = true;
    DutyRow row;
    row.holder = m_settings.holder;
    row.incarnation = m_settings.incarnation;
    row.number = std::max({lowestNumber(m_position), m_highestNumber + 1,
                           m_row ? m_row->number + 1 : std::uint64_t {0}});
    row.era = m_era;
    row.renewal = ++m_lastRenewal;
    return WriteDutyRow {std::move(row), m_position.version, true};
}

DutyStoreCall DutyLease::renewal(bool handedOver)
{
    m_callInProgress = true;
    m_writeWanted = false;
    DutyRow row;
    row.holder = m_settings.holder;
    row.incarnation = m_settings.incarnation;
    row.number = m_number;
    row.era = m_era;
    row.renewal = ++m_lastRenewal;
    row.handedOver = handedOver;
    return WriteDutyRow {std::move(row), m_position.version, false};
}

void DutyLease::writeSent(const DutyRow &row, Duration now)
{
    m_sent = SentWrite {row, now};
}

// --- outcomes ---

void DutyLease::rowRead(const std::optional<DutyRow> &row, StorePosition position,
                        std::uint64_t storeVersion, Duration now)
{
    m_callInProgress = false;
    if (position.era < m_era) {
        m_retryAt = now + retryPause;
        return;
    }
    eraRead(position.era, now);
    // A version that has gone back shows a return of the store that no response has stated.
    if (storeVersion < m_storeVersion) {
        m_hasRead = false;
        m_unanswered.clear();
        if (holds())
            lose(DutyLeaseChange::EraEnded, now);
    }
    m_storeVersion = storeVersion;
    const bool isNew = !m_hasRead || position != m_position;
    if (isNew)
        m_firstSeen = m_hasRead && m_heardPosition == position ? m_heardAt : now;
    // A report of a later version can only come from before a return of the store.
    if (m_heardPosition > position && m_heardAt < now)
        m_heardPosition = position;
    m_row = row;
    m_position = position;
    m_hasRead = true;
    m_isCurrent = true;
    m_readAt = now + readInterval;
    if (!row || !isOwn(*row)) {
        if (row)
            m_highestNumber = std::max(m_highestNumber, row->number);
        if (isNew)
            m_unanswered.clear(); // they were conditional on earlier versions
        if (holds())
            lose(DutyLeaseChange::TakenOver, now);
        return;
    }
    const auto write =
            std::find_if(m_unanswered.begin(), m_unanswered.end(),
                         [&](const SentWrite &it) { return it.row.renewal == row->renewal; });
    if (write != m_unanswered.end()) {
        const SentWrite applied = *write;
        // All others were conditional on earlier versions of the row.
        m_unanswered.clear();
        confirm(applied, now);
    }
}

void DutyLease::readFailed(Duration now)
{
    m_callInProgress = false;
    m_retryAt = now + retryPause;
}

void DutyLease::writeEnded(std::optional<RowStoreError> error, Duration now)
{
    m_callInProgress = false;
    const auto write = std::exchange(m_sent, std::nullopt);
    if (!write)
        return;
    if (error == RowStoreError::Unavailable) {
        m_retryAt = now + retryPause;
        return;
    }
    m_isCurrent = false;
    m_readAt = now;
    if (error == RowStoreError::Conflict)
        return;
    if (error) {
        m_unanswered.push_back(*write);
        m_retryAt = now + retryPause / 2;
        return;
    }
    m_unanswered.clear();
    confirm(*write, now);
}

void DutyLease::confirm(const SentWrite &write, Duration now)
{
    // In a later era, the write may have been applied to a row that lacks acquisitions.
    if (write.row.era != m_era || (m_stopped && !write.row.handedOver && !holds()))
        return;
    if (write.row.handedOver) {
        lose(DutyLeaseChange::HandedOver, now);
        return;
    }
    if (m_number != write.row.number) {
        m_number = write.row.number;
        m_acquiredAt = now;
        m_termEnd = Duration::zero();
        m_changes.push_back(DutyLeaseChange::Acquired);
    }
    m_highestNumber = std::max(m_highestNumber, m_number);
    const Duration term = m_settings.lease - m_settings.lease / marginDivisor;
    m_termEnd = std::max(m_termEnd, write.sentAt + term);
    m_lapsed = false;
    m_renewAt = write.sentAt + m_settings.lease / renewalsPerLease;
    m_confirmed = write.row;
}

void DutyLease::lose(DutyLeaseChange change, Duration now)
{
    m_number = 0;
    m_termEnd = Duration::zero();
    m_lostAt = now;
    m_writeWanted = false;
    m_handsOver = false;
    m_confirmed.reset();
    m_changes.push_back(change);
}

void DutyLease::eraRead(std::uint64_t era, Duration now)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_hasRead = false;
    m_isCurrent = false;
    m_row.reset();
    m_position = {};
    m_storeVersion = 0;
    m_readAt = now;
    m_unanswered.clear();
    if (holds())
        lose(DutyLeaseChange::EraEnded, now);
}

void DutyLease::peerReported(std::uint64_t number, StorePosition position, Duration now)
{
    m_highestNumber = std::max(m_highestNumber, number);
    if (position.era > m_era)
        m_readAt = now; // the store will state it
    if (position.era != m_era || position <= std::max(m_position, m_heardPosition))
        return;
    m_heardPosition = position;
    m_heardAt = now;
    m_readAt = std::max(m_readAt, now + m_settings.lease / 2);
    if (holds() && number != m_number)
        m_isCurrent = false;
}

void DutyLease::stop(bool handOver)
{
    m_stopped = true;
    m_handsOver = handOver;
}

bool DutyLease::isOwn(const DutyRow &row) const
{
    return row.holder == m_settings.holder && row.incarnation == m_settings.incarnation
            && row.era == m_era;
}

} // namespace cornelshed
