// Grants of one agent incarnation. It decides whether a dispatch may start, and what may be said
// about one that may not, when messages are late, doubled or mixed up between requests.

#ifndef CORNELSHED_GRANTLEDGER_H
#define CORNELSHED_GRANTLEDGER_H

#include "agentscheduler.h"
#include "tierqueue.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelshed {

// A granted place that is held for a request.
struct HeldPlace
{
    SessionId session = 0;
    QueueEntry entry;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected
    Instant grantedAt;

    bool operator==(const HeldPlace &) const = default;
};

enum class DispatchVerdict {
    Start,
    NotRun,  // this dispatch was not started and never will be
    Unknown, // this incarnation did not start it; another one may have
    Silent   // the request is running, was run, or was answered: any report would be false
};

class GrantLedger
{
public:
    GrantLedger(std::uint64_t incarnation, Duration hold);

    GrantId issue(HeldPlace place);

    // Judges a dispatch; on Start the place is moved to place and the grant is used up.
    DispatchVerdict dispatch(SessionId session, const Dispatch &dispatch, HeldPlace &place);

    // Ends a live grant of this session and request. Returns the place that became free.
    std::optional<HeldPlace> decline(SessionId session, RequestId request, GrantId grant);
    std::optional<HeldPlace> cancel(SessionId session, RequestId request);

    std::vector<HeldPlace> expire(Instant now);
    std::vector<HeldPlace> dropSession(SessionId session);

    // The started request never reached the server, so it may be reserved again.
    void startedInVain(RequestId request);

    // True if the request was started under one of the grants that are still remembered.
    bool started(RequestId request) const { return m_started.count(request) != 0; }
    bool holds(RequestId request) const;

    Instant nextExpiry() const;
    std::uint32_t liveCount() const { return m_liveCount; }
    std::uint64_t liveTokens() const { return m_liveTokens; }
    std::uint64_t livePromptTokens() const { return m_livePromptTokens; }

private:
    enum class State {
        Live,
        Started,
        Ended,   // expired, declined or cancelled
        Reported // a dispatch against it was already reported as not run
    };

    struct Record
    {
        State state = State::Live;
        HeldPlace place;
    };

    Record *find(GrantId grant);
    HeldPlace end(Record &record, State state);
    void forgetOldest();

    std::uint64_t m_incarnation;
    Duration m_hold;
    std::uint64_t m_firstSequence = 1; // of m_records.front()
    std::deque<Record> m_records;      // in the order of their sequence numbers
    std::size_t m_firstLive = 0;       // no record before this index is live
    std::unordered_map<RequestId, std::uint64_t> m_started; // sequence of the grant used
    std::uint32_t m_liveCount = 0;
    std::uint64_t m_liveTokens = 0;
    std::uint64_t m_livePromptTokens = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_GRANTLEDGER_H
