// Keeps the grants issued by one agent incarnation. Decides whether a dispatch may start, and what
// the agent may report about one that may not, although messages can arrive late, be duplicated, or
// name a grant of another request.

#ifndef CORNELSHED_GRANTTABLE_H
#define CORNELSHED_GRANTTABLE_H

#include "agentscheduler.h"
#include "tierqueue.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelshed {

// A slot on the backend server that is reserved for a request by a grant.
struct GrantedSlot
{
    SessionId session = 0;
    QueueEntry entry;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected number
    Instant grantedAt;

    bool operator==(const GrantedSlot &) const = default;
};

enum class DispatchDecision {
    Start,
    Late,    // the hold time is over: startLate() or refuseLate() follows
    NotRun,  // this dispatch was not started and never will be
    Unknown, // this incarnation did not start it, but another one may have
    Ignore   // no report, as any could be false: the request may be running, completed or reported
};

class GrantTable
{
public:
    GrantTable(std::uint64_t incarnation, Duration holdTime);

    GrantId issue(GrantedSlot slot);

    // Decides about a dispatch. For Start, the grant is used up. slot receives its slot, also for
    // Late: a busy agent may handle a dispatch after the hold time, while the slot is still free.
    DispatchDecision dispatch(SessionId session, const Dispatch &dispatch, GrantedSlot &slot);
    void startLate(SessionId session, const Dispatch &dispatch);
    void refuseLate(SessionId session, const Dispatch &dispatch);

    // Ends a grant of this session and request. Returns the freed slot, if it was live.
    std::optional<GrantedSlot> decline(SessionId session, RequestId request, GrantId grant);
    std::optional<GrantedSlot> cancel(SessionId session, RequestId request);

    // Ends all grants whose hold time is over, or all live grants of a session. Returns the freed
    // slots.
    std::vector<GrantedSlot> expire(Instant now);
    std::vector<GrantedSlot> dropSession(SessionId session);

    // Forgets that the request was started, because it never reached the server. It may be reserved
    // again.
    void revertStart(RequestId request);

    // True if the request was started under a grant that is still on record.
    bool started(RequestId request) const { return m_started.count(request) != 0; }
    bool hasLiveGrant(RequestId request) const;

    Instant nextExpiry() const;
    std::uint32_t liveCount() const { return m_liveCount; }
    std::uint64_t liveTokens() const { return m_liveTokens; }
    std::uint64_t livePromptTokens() const { return m_livePromptTokens; }

private:
    enum class State {
        Live,
        Started,
        Expired,
        Ended,   // declined or cancelled
        Reported // a dispatch against it was already reported as not run
    };

    struct Record
    {
        State state = State::Live;
        GrantedSlot slot;
    };

    Record *find(GrantId grant);
    GrantedSlot endGrant(Record &record, State state);
    void endExpired(SessionId session, RequestId request, State state = State::Ended);
    void evictOldest();

    std::uint64_t m_incarnation;
    Duration m_holdTime;
    std::uint64_t m_firstSequence = 1;                      // sequence number of m_records.front()
    std::deque<Record> m_records;                           // by sequence number, without gaps
    std::size_t m_firstLive = 0;                            // no record before this index is live
    std::unordered_map<RequestId, std::uint64_t> m_started; // sequence number of the used grant
    // Sequence numbers of the grants that have expired and may still be used.
    std::map<std::pair<SessionId, RequestId>, std::uint64_t> m_expired;
    std::uint32_t m_liveCount = 0;
    std::uint64_t m_liveTokens = 0;
    std::uint64_t m_livePromptTokens = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_GRANTTABLE_H
