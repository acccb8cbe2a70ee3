// Admission to one backend server on behalf of all gateways: who holds a slot, and who waits for
// one in order of rank. The agent beside the backend server runs it. Gateways send the requests
// themselves straight to the backend server; only admission passes here, so that a lost agent costs
// its exact count and order, and no request.
//
// A granted slot is held by a lease that the gateway renews; a gateway that dies frees its slots by
// silence. Every message may be lost or repeated.

#ifndef CORNELSHED_SLOTLEDGER_H
#define CORNELSHED_SLOTLEDGER_H

#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace cornelshed {

// Names a request of a gateway.
struct SlotKey
{
    std::uint64_t gateway = 0; // incarnation
    std::uint64_t sequence = 0;

    auto operator<=>(const SlotKey &) const = default;
};

struct SlotAsk
{
    SlotKey key;
    std::uint64_t order = 0; // smaller goes first; equal ones in order of arrival
    std::uint32_t leaveFree = 0;
    std::uint32_t slots = 1;
    double coldRate = 0; // requests a second while cold; 0: not cold
    Duration wait {};    // void after this time

    bool operator==(const SlotAsk &) const = default;
};

class SlotLedger
{
public:
    // No slot is granted for a while after the start, until gateways have told what they run.
    explicit SlotLedger(Instant now);

    // An ask that was granted before is granted again.
    void ask(const SlotAsk &ask, Instant now);
    void release(const SlotKey &key);

    // All requests of the gateway that run here; its other slots are free, but for those granted
    // too lately to be listed.
    void renew(std::uint64_t gateway, const std::vector<std::uint64_t> &sequences, Instant now);

    // Grants what is due, in order.
    std::vector<SlotKey> advance(Instant now);

    // Asks before this one; nothing of the kind if it does not wait.
    std::uint32_t ahead(const SlotKey &key) const;
    bool waits(const SlotKey &key) const { return m_places.contains(key); }

    std::size_t held() const { return m_held.size(); }
    std::size_t waiting() const { return m_queue.size(); }

private:
    struct Lease
    {
        Instant until {};
        Instant grantedAt {};
    };
    struct Waiting
    {
        SlotAsk ask;
        Instant until {};
    };
    using Place = std::pair<std::uint64_t, std::uint64_t>; // order, arrival

    void expire(Instant now);
    bool bearsOneMore(const SlotAsk &ask, Instant now);
    std::uint32_t coldLimit(const SlotAsk &ask, Instant now) const;

    std::map<SlotKey, Lease> m_held;
    std::map<Place, Waiting> m_queue;
    std::map<SlotKey, Place> m_places; // invariant: one for each entry of m_queue
    std::deque<Instant> m_grants;      // of the last second
    std::vector<SlotKey> m_again;      // granted before, asked again
    std::uint64_t m_arrivals = 0;
    Instant m_startedAt;
    Instant m_grantsFrom;
};

} // namespace cornelshed

#endif // CORNELSHED_SLOTLEDGER_H
