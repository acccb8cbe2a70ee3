// Allowances of organisations: a token bucket for each, over all daemons. A daemon subtracts what it
// admits and what its peers report. While a peer that was heard lately is silent, the bucket refills
// only by this daemon's share, so that daemons cut off from each other keep the sum.

#ifndef CORNELSHED_TOKENALLOWANCE_H
#define CORNELSHED_TOKENALLOWANCE_H

#include "types.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cornelshed {

struct Allowance
{
    double perSecond = 0; // 0: no limit
    double burst = 0;

    bool operator==(const Allowance &) const = default;
};

class TokenAllowances
{
public:
    // Sets or changes the allowance of an organisation; a lower burst takes effect at once.
    void configure(const std::string &organisation, const Allowance &allowance, Instant now);

    // Daemons that are heard, this one included, of those that may be alive.
    void setDaemons(std::uint32_t heard, std::uint32_t mayBeAlive);

    // Takes the cost if the bucket holds it; a cost above the burst passes on a full bucket.
    bool tryTake(const std::string &organisation, double cost, Instant now);

    // Time until tryTake() of the cost may succeed; 0 if it would now.
    Duration timeUntil(const std::string &organisation, double cost, Instant now);

    // Returns what tryTake() took, for a request that was not sent to a backend server.
    void giveBack(const std::string &organisation, double cost);

    // Total that a peer has taken since it started, by organisation digest. The first report of a
    // peer is the base for the next ones.
    void peerTotal(std::uint64_t peerIncarnation, std::uint64_t organisationDigest, double total,
                   Instant now);

    // Own totals since the start, by stableDigest() of the organisation.
    std::map<std::uint64_t, double> ownTotals() const;

private:
    struct Bucket
    {
        Allowance allowance;
        double level = 0;
        Instant refilledAt {};
        double ownTotal = 0;
    };

    void refill(Bucket &bucket, Instant now) const;

    std::unordered_map<std::string, Bucket> m_buckets;
    std::unordered_map<std::uint64_t, std::string> m_organisationOfDigest;
    std::map<std::pair<std::uint64_t, std::uint64_t>, double> m_peerTotals;
    double m_refillShare = 1; // invariant: in (0, 1]
};

} // namespace cornelshed

#endif // CORNELSHED_TOKENALLOWANCE_H
