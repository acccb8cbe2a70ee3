// Admission control for one backend server on behalf of all gateways: tracks which requests hold a
// slot and queues the others by priority. It runs in the admission agent on the backend server's
// host. Gateways send the requests themselves directly to the backend server; only admission goes
// through the agent, so losing an agent costs the exact slot count and the order, but no request.
//
// A granted slot is held under a lease that the gateway renews; when a gateway dies, its leases
// expire and its slots become free. Any message may be lost or duplicated.

#ifndef CORNELSHED_SLOTALLOCATOR_H
#define CORNELSHED_SLOTALLOCATOR_H

#include "namedlimit.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cornelshed {

// Identifies a request of a gateway.
struct SlotKey
{
    std::uint64_t gateway = 0; // incarnation
    std::uint64_t sequence = 0;

    auto operator<=>(const SlotKey &) const = default;
};

// A gateway's request for a slot.
struct SlotRequest
{
    SlotKey key;
    std::uint64_t order = 0;         // smaller is served first; ties in order of arrival
    std::uint32_t reservedSlots = 0; // slots that must stay free for higher priorities
    std::uint32_t slots = 1;         // capacity of the backend server
    double coldRate = 0;             // limit on requests per second during warm-up; 0: not cold
    Duration timeout {};             // the request leaves the queue after this time
    // Slots of a cold backend server that an agent may grant in the first second after its own
    // start, when it does not know what was granted in the second before; 0: a fixed minimum.
    std::uint32_t coldRestartLimit = 0;
    // What the gateway knows of the limit that the backend server names.
    std::optional<NamedLimitReport> namedLimit {};

    bool operator==(const SlotRequest &) const = default;
};

class SlotAllocator
{
public:
    // Grants no slot until gateways have had time to report the requests that they already run.
    explicit SlotAllocator(Instant now);

    // Queues the request; a repeated request that already holds a slot is granted again. The
    // request is dropped if the queue is full.
    void requestSlot(const SlotRequest &request, Instant now);
    // unused: the request was not sent, so that a grant does not count against a named limit.
    void release(const SlotKey &key, bool unused = false);

    // The backend server's address refused a connection. Until a request has run on it, it gets one
    // at a time, after a delay that grows: each gateway would otherwise find out by itself that the
    // server is down, and a server that fails at once always has free slots. Call it after
    // release(), which takes a probe that was not sent for one that found out nothing.
    void serverRefused(const SlotKey &key, Instant now);
    // A request that was sent to the backend server ended. Only one that was granted after the last
    // refusal shows that the server is back: a stream that broke at the crash ends in the same way.
    void serverResponded(const SlotKey &key);
    bool isServerDown() const { return m_refusals > 0; }

    // Renews the leases of the listed requests, which are all that the gateway runs here, and frees
    // its other slots, except those granted too recently to be in the list.
    void renew(std::uint64_t gateway, const std::vector<std::uint64_t> &sequences, Instant now);

    // Removes expired leases and requests, then grants free slots in order. Returns the grants to
    // send, which include repeated ones.
    std::vector<SlotKey> advance(Instant now);

    // Number of queued requests before this one; 0 if it is not queued.
    std::uint32_t ahead(const SlotKey &key) const;
    bool isQueued(const SlotKey &key) const { return m_queueKeys.contains(key); }

    std::size_t held() const { return m_leases.size(); }
    std::size_t waiting() const { return m_queue.size(); }

private:
    struct Lease
    {
        Instant expiresAt {};
        Instant grantedAt {};
    };
    struct QueuedRequest
    {
        SlotRequest request;
        Instant expiresAt {};
    };
    using QueueKey = std::pair<std::uint64_t, std::uint64_t>; // order, arrival

    void expire(Instant now);
    void accrueLimitedGrants(double perSecond, Instant now);
    bool withinColdLimit(const SlotRequest &request, Instant now);
    std::uint32_t coldLimit(const SlotRequest &request, Instant now) const;

    std::map<SlotKey, Lease> m_leases;
    std::map<QueueKey, QueuedRequest> m_queue;
    std::map<SlotKey, QueueKey> m_queueKeys; // invariant: one for each entry of m_queue
    std::deque<Instant> m_recentGrants;      // of the last second
    std::vector<SlotKey> m_regrants; // requested again while holding a slot; the grant is resent
    std::uint64_t m_arrivalCount = 0;
    std::uint32_t m_refusals = 0;   // delays since the last request that ran
    Instant m_probeAt {};           // the next slot of a server that is down is granted
    std::optional<SlotKey> m_probe; // the last request that got one since the last refusal
    NamedLimit m_namedLimit;
    double m_limitedGrants = 0; // that a named limit allows now
    Instant m_limitedGrantsAt;  // when m_limitedGrants was brought up to date
    Instant m_startedAt;
    Instant m_recoveryEndsAt;
};

} // namespace cornelshed

#endif // CORNELSHED_SLOTALLOCATOR_H
