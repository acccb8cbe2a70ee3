// Implements the states of a grant. A live grant is started, expired, declined or cancelled exactly
// once.

#include "granttable.h"

namespace cornelshed {

namespace {

// Number of grants kept on record. At 100 grants per second this covers more than two minutes, far
// longer than a message can be delayed. A dispatch that names an older grant gets no answer.
constexpr std::size_t retainedGrants = 16384;

} // namespace

GrantTable::GrantTable(std::uint64_t incarnation, Duration holdTime)
    : m_incarnation(incarnation), m_holdTime(holdTime)
{ }

GrantId GrantTable::issue(GrantedSlot slot)
{
    if (m_records.size() >= retainedGrants && m_records.front().state != State::Live)
        evictOldest();
    ++m_liveCount;
    m_liveTokens += slot.entry.tokens;
    m_livePromptTokens += slot.promptTokens;
    endExpired(slot.session, slot.entry.request);
    m_records.push_back({State::Live, std::move(slot)});
    return {m_incarnation, m_firstSequence + m_records.size() - 1};
}

DispatchDecision GrantTable::dispatch(SessionId session, const Dispatch &dispatch,
                                      GrantedSlot &slot)
{
    if (started(dispatch.request))
        return DispatchDecision::Ignore;
    if (dispatch.grant.agentIncarnation != m_incarnation)
        return DispatchDecision::Unknown;
    Record *record = find(dispatch.grant);
    if (record == nullptr || record->slot.session != session
        || record->slot.entry.request != dispatch.request)
        return DispatchDecision::Ignore;

    switch (record->state) {
    case State::Live:
        slot = endGrant(*record, State::Started);
        m_started[dispatch.request] = dispatch.grant.sequence;
        return DispatchDecision::Start;
    case State::Expired:
        slot = record->slot;
        return DispatchDecision::Late;
    case State::Ended:
        // Reported only once. After the report, the request may be dispatched under another grant,
        // and a second report, for a duplicated message, would be taken to mean that dispatch.
        record->state = State::Reported;
        return DispatchDecision::NotRun;
    case State::Started:
    case State::Reported:
        break;
    }
    return DispatchDecision::Ignore;
}

void GrantTable::startLate(SessionId session, const Dispatch &dispatch)
{
    endExpired(session, dispatch.request, State::Started);
    m_started[dispatch.request] = dispatch.grant.sequence;
}

void GrantTable::refuseLate(SessionId session, const Dispatch &dispatch)
{
    endExpired(session, dispatch.request, State::Reported);
}

void GrantTable::endExpired(SessionId session, RequestId request, State state)
{
    const auto it = m_expired.find({session, request});
    if (it == m_expired.end())
        return;
    find({m_incarnation, it->second})->state = state;
    m_expired.erase(it);
}

std::optional<GrantedSlot> GrantTable::decline(SessionId session, RequestId request, GrantId grant)
{
    Record *record = grant.agentIncarnation == m_incarnation ? find(grant) : nullptr;
    if (record != nullptr && record->state == State::Expired)
        endExpired(session, request);
    if (record == nullptr || record->state != State::Live || record->slot.session != session
        || record->slot.entry.request != request)
        return std::nullopt;
    return endGrant(*record, State::Ended);
}

std::optional<GrantedSlot> GrantTable::cancel(SessionId session, RequestId request)
{
    endExpired(session, request);
    for (std::size_t n = m_firstLive; n < m_records.size(); ++n) {
        Record &it = m_records[n];
        if (it.state == State::Live && it.slot.session == session
            && it.slot.entry.request == request)
            return endGrant(it, State::Ended);
    }
    return std::nullopt;
}

std::vector<GrantedSlot> GrantTable::expire(Instant now)
{
    std::vector<GrantedSlot> expired;
    while (nextExpiry() <= now) {
        const std::uint64_t sequence = m_firstSequence + m_firstLive;
        expired.push_back(endGrant(m_records[m_firstLive], State::Expired));
        m_expired[{expired.back().session, expired.back().entry.request}] = sequence;
    }
    return expired;
}

std::vector<GrantedSlot> GrantTable::dropSession(SessionId session)
{
    std::vector<GrantedSlot> dropped;
    const std::size_t first = m_firstLive;
    for (std::size_t n = first; n < m_records.size(); ++n) {
        Record &it = m_records[n];
        if (it.state == State::Live && it.slot.session == session)
            dropped.push_back(endGrant(it, State::Ended));
    }
    std::erase_if(m_expired, [session](const auto &it) { return it.first.first == session; });
    return dropped;
}

void GrantTable::revertStart(RequestId request)
{
    const auto it = m_started.find(request);
    if (it == m_started.end())
        return;
    // The agent reports this dispatch as not run, so a duplicate of it must not be answered.
    if (Record *record = find({m_incarnation, it->second}))
        record->state = State::Reported;
    m_started.erase(it);
}

bool GrantTable::hasLiveGrant(RequestId request) const
{
    for (std::size_t n = m_firstLive; n < m_records.size(); ++n) {
        const Record &it = m_records[n];
        if (it.state == State::Live && it.slot.entry.request == request)
            return true;
    }
    return false;
}

Instant GrantTable::nextExpiry() const
{
    if (m_firstLive >= m_records.size())
        return instantNever;
    return m_records[m_firstLive].slot.grantedAt + m_holdTime;
}

GrantTable::Record *GrantTable::find(GrantId grant)
{
    if (grant.sequence < m_firstSequence || grant.sequence - m_firstSequence >= m_records.size())
        return nullptr;
    return &m_records[grant.sequence - m_firstSequence];
}

GrantedSlot GrantTable::endGrant(Record &record, State state)
{
    record.state = state;
    --m_liveCount;
    m_liveTokens -= record.slot.entry.tokens;
    m_livePromptTokens -= record.slot.promptTokens;
    GrantedSlot slot = record.slot;
    while (m_firstLive < m_records.size() && m_records[m_firstLive].state != State::Live)
        ++m_firstLive;
    return slot;
}

void GrantTable::evictOldest()
{
    const auto it = m_started.find(m_records.front().slot.entry.request);
    if (it != m_started.end() && it->second == m_firstSequence)
        m_started.erase(it);
    if (m_records.front().state == State::Expired)
        endExpired(m_records.front().slot.session, m_records.front().slot.entry.request);
    m_records.pop_front();
    ++m_firstSequence;
    if (m_firstLive > 0)
        --m_firstLive;
}

} // namespace cornelshed
