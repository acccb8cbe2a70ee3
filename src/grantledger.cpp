// Life of a grant: live, then started, expired or declined, once.

#include "grantledger.h"

namespace cornelshed {

namespace {

// Grants remembered. At a hundred grants a second this covers more than two minutes, far longer
// than a message can be on its way; a dispatch against an older grant gets no answer.
constexpr std::size_t rememberedGrants = 16384;

} // namespace

GrantLedger::GrantLedger(std::uint64_t incarnation, Duration hold)
    : m_incarnation(incarnation), m_hold(hold)
{ }

GrantId GrantLedger::issue(HeldPlace place)
{
    if (m_records.size() >= rememberedGrants && m_records.front().state != State::Live)
        forgetOldest();
    ++m_liveCount;
    m_liveTokens += place.entry.tokens;
    m_livePromptTokens += place.promptTokens;
    m_records.push_back({State::Live, std::move(place)});
    return {m_incarnation, m_firstSequence + m_records.size() - 1};
}

DispatchVerdict GrantLedger::dispatch(SessionId session, const Dispatch &dispatch, HeldPlace &place)
{
    if (started(dispatch.request))
        return DispatchVerdict::Silent;
    if (dispatch.grant.agentIncarnation != m_incarnation)
        return DispatchVerdict::Unknown;
    Record *record = find(dispatch.grant);
    if (record == nullptr || record->place.session != session
        || record->place.entry.request != dispatch.request)
        return DispatchVerdict::Silent;

    switch (record->state) {
    case State::Live:
        place = end(*record, State::Started);
        m_started[dispatch.request] = dispatch.grant.sequence;
        return DispatchVerdict::Start;
    case State::Ended:
        // Reported once only: after the report the request may be dispatched under another grant,
        // and a second report for a doubled message would then be taken for that dispatch.
        record->state = State::Reported;
        return DispatchVerdict::NotRun;
    case State::Started:
    case State::Reported:
        break;
    }
    return DispatchVerdict::Silent;
}

std::optional<HeldPlace> GrantLedger::decline(SessionId session, RequestId request, GrantId grant)
{
    Record *record = grant.agentIncarnation == m_incarnation ? find(grant) : nullptr;
    if (record == nullptr || record->state != State::Live || record->place.session != session
        || record->place.entry.request != request)
        return std::nullopt;
    return end(*record, State::Ended);
}

std::optional<HeldPlace> GrantLedger::cancel(SessionId session, RequestId request)
{
    for (std::size_t n = m_firstLive; n < m_records.size(); ++n) {
        Record &it = m_records[n];
        if (it.state == State::Live && it.place.session == session
            && it.place.entry.request == request)
            return end(it, State::Ended);
    }
    return std::nullopt;
}

std::vector<HeldPlace> GrantLedger::expire(Instant now)
{
    std::vector<HeldPlace> expired;
    while (nextExpiry() <= now)
        expired.push_back(end(m_records[m_firstLive], State::Ended));
    return expired;
}

std::vector<HeldPlace> GrantLedger::dropSession(SessionId session)
{
    std::vector<HeldPlace> dropped;
    const std::size_t first = m_firstLive;
    for (std::size_t n = first; n < m_records.size(); ++n) {
        Record &it = m_records[n];
        if (it.state == State::Live && it.place.session == session)
            dropped.push_back(end(it, State::Ended));
    }
    return dropped;
}

void GrantLedger::startedInVain(RequestId request)
{
    const auto it = m_started.find(request);
    if (it == m_started.end())
        return;
    // The shell reported this dispatch as not run, so a doubled copy must stay unanswered.
    if (Record *record = find({m_incarnation, it->second}))
        record->state = State::Reported;
    m_started.erase(it);
}

bool GrantLedger::holds(RequestId request) const
{
    for (std::size_t n = m_firstLive; n < m_records.size(); ++n) {
        const Record &it = m_records[n];
        if (it.state == State::Live && it.place.entry.request == request)
            return true;
    }
    return false;
}

Instant GrantLedger::nextExpiry() const
{
    if (m_firstLive >= m_records.size())
        return instantNever;
    return m_records[m_firstLive].place.grantedAt + m_hold;
}

GrantLedger::Record *GrantLedger::find(GrantId grant)
{
    if (grant.sequence < m_firstSequence || grant.sequence - m_firstSequence >= m_records.size())
        return nullptr;
    return &m_records[grant.sequence - m_firstSequence];
}

HeldPlace GrantLedger::end(Record &record, State state)
{
    record.state = state;
    --m_liveCount;
    m_liveTokens -= record.place.entry.tokens;
    m_livePromptTokens -= record.place.promptTokens;
    HeldPlace place = record.place;
    while (m_firstLive < m_records.size() && m_records[m_firstLive].state != State::Live)
        ++m_firstLive;
    return place;
}

void GrantLedger::forgetOldest()
{
    const auto it = m_started.find(m_records.front().place.entry.request);
    if (it != m_started.end() && it->second == m_firstSequence)
        m_started.erase(it);
    m_records.pop_front();
    ++m_firstSequence;
    if (m_firstLive > 0)
        --m_firstLive;
}

} // namespace cornelshed
