// Rate limits (token allowances) of organisations, enforced over all gateway daemons together: in
// any window of a fixed length, an organisation may consume at most its rate times the window plus
// its burst. Each daemon keeps token buckets for the limits of the whole deployment and subtracts
// both what it admits itself and what its peers report. A bucket refills at the rate that the
// window's limit leaves after deducting the bucket's size. A bucket that starts nearly empty after
// a restart therefore keeps the window's limit together with what was consumed before the restart.
// While a peer that may still be running is not heard, a daemon uses only the fraction of the limit
// given by the number of daemons heard over the number that may be running, so that daemons
// separated by a network partition keep the limit in sum.

#ifndef CORNELSHED_TOKENALLOWANCE_H
#define CORNELSHED_TOKENALLOWANCE_H

#include "types.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cornelshed {

// How far consumption over all daemons may exceed the limit of a window before the deployment
// counts it as a violation. This tolerance covers consumption that peers have not reported yet;
// requests may use the remainder (see tryTake()).
struct AllowanceTolerance
{
    double share = 0;    // relative to the window's limit
    double constant = 0; // tokens in addition

    bool operator==(const AllowanceTolerance &) const = default;
};

struct Allowance
{
    double perSecond = 0; // 0: no limit
    double burst = 0;

    bool operator==(const Allowance &) const = default;
};

class TokenAllowances
{
public:
    TokenAllowances(Duration window, const AllowanceTolerance &tolerance)
        : m_window(window), m_tolerance(tolerance)
    { }

    // Sets or changes the allowance of an organisation; returns true if it changed. The bucket of a
    // new organisation starts nearly empty.
    bool configure(const std::string &organisation, const Allowance &allowance, Instant now);

    // heard: number of daemons whose reports arrive, this one included. possiblyAliveCount: number
    // of daemons that may be running.
    void setGateways(std::uint32_t heard, std::uint32_t possiblyAliveCount);

    // Time until this daemon learns of what a peer consumed. The part of the tolerance that peers
    // may consume within this time is not available to requests.
    void setReportLag(Duration lag);

    // Consumes the cost if the bucket holds it; a cost above the bucket's size is accepted when the
    // bucket is full. useTolerance: whether the request may use part of the tolerance. Such
    // requests are ordered after those of organisations within their allowance.
    bool tryTake(const std::string &organisation, double cost, bool useTolerance, Instant now);

    // Time until tryTake() of this cost may succeed with useTolerance; 0 if it would succeed now.
    Duration timeUntil(const std::string &organisation, double cost, Instant now);

    // Tokens available now; negative for a debt, 0 for an unknown organisation.
    double level(const std::string &organisation, bool useTolerance, Instant now);

    // Refunds the cost taken by tryTake() for a request that was not sent to a backend server.
    void refund(const std::string &organisation, double cost);

    // Records the total that a peer has consumed since its start for an organisation, identified by
    // its digest. The first report of a peer that has run for longer than a window only sets the
    // baseline for its next reports; that of a peer started more recently counts in full.
    void recordPeerTotal(std::uint64_t peerIncarnation, Duration peerUptime,
                         std::uint64_t organisationDigest, double total, Instant now);

    // Totals consumed by this daemon since its start, by stableDigest() of the organisation.
    std::map<std::uint64_t, double> ownTotals() const;

private:
    struct Bucket
    {
        double windowLimit = 0; // limit of tokens in any window
        double size = 0;
        double level = 0; // invariant: in [-windowLimit, size]
    };
    struct Account
    {
        Allowance allowance;
        Bucket strict;   // without the tolerance
        Bucket tolerant; // with the usable part of the tolerance
        Instant refilledAt {};
        double consumedTotal = 0; // by this daemon since its start
    };

    void resize(Account &account) const;
    void refill(Account &account, Instant now) const;
    double refillRate(const Bucket &bucket) const;
    double requiredLevel(const Bucket &bucket, double cost) const;
    void adjustLevels(Account &account, double amount) const;

    Duration m_window;
    AllowanceTolerance m_tolerance;
    std::unordered_map<std::string, Account> m_accounts;
    std::unordered_map<std::uint64_t, std::string> m_organisationByDigest;
    std::map<std::pair<std::uint64_t, std::uint64_t>, double> m_peerTotals;
    Duration m_reportLag {};
    double m_usableShare = 1; // usable fraction of each limit; invariant: in (0, 1]
};

} // namespace cornelshed

#endif // CORNELSHED_TOKENALLOWANCE_H
