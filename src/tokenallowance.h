// Allowances of organisations over all daemons: in any window of a fixed length an organisation may
// take its rate times the window, plus its burst. Each daemon keeps token buckets for the whole
// deployment and subtracts what it admits and what its peers report. A bucket refills by what a
// window allows beyond the bucket's size, so that one that starts empty after a restart keeps the
// window's bound together with what was taken before. While a peer that may be alive is silent,
// only the share of the daemons that are heard is used, so that daemons cut off from each other
// keep the sum.

#ifndef CORNELSHED_TOKENALLOWANCE_H
#define CORNELSHED_TOKENALLOWANCE_H

#include "types.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace cornelshed {

// What may pass beyond the allowances in a window, over all daemons, before a deployment counts it
// as a violation. It absorbs the lag of reports; what is left of it is lent.
struct AllowanceTolerance
{
    double share = 0;    // of the allowance
    double constant = 0; // tokens

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
    // new organisation is nearly empty.
    bool configure(const std::string &organisation, const Allowance &allowance, Instant now);

    // Daemons that are heard, this one included, of those that may be alive.
    void setDaemons(std::uint32_t heard, std::uint32_t mayBeAlive);

    // Time until what a peer takes is known here. What it may take meanwhile is not lent.
    void setReportLag(Duration lag);

    // Takes the cost if the bucket holds it; a cost above the bucket's size passes on a full one.
    // lend: whether part of the tolerance may be used, for a request that goes after those of
    // organisations within their allowance.
    bool tryTake(const std::string &organisation, double cost, bool lend, Instant now);

    // Time until tryTake() of the cost, with lending, may succeed; 0 if it would now.
    Duration timeUntil(const std::string &organisation, double cost, Instant now);

    // Tokens that may be taken now; negative: a debt. 0 for an unknown organisation.
    double level(const std::string &organisation, bool lend, Instant now);

    // Returns what tryTake() took, for a request that was not sent to a backend server.
    void giveBack(const std::string &organisation, double cost);

    // Total that a peer has taken since it started, by organisation digest. The first report of a
    // peer that has run for longer than a window is the base for the next ones; all that a younger
    // one has taken counts.
    void peerTotal(std::uint64_t peerIncarnation, Duration peerUptime,
                   std::uint64_t organisationDigest, double total, Instant now);

    // Own totals since the start, by stableDigest() of the organisation.
    std::map<std::uint64_t, double> ownTotals() const;

private:
    struct Bucket
    {
        double perWindow = 0; // what any window may take
        double size = 0;
        double level = 0; // invariant: in [-perWindow, size]
    };
    struct Account
    {
        Allowance allowance;
        Bucket strict;   // by the allowance alone
        Bucket tolerant; // with the part of the tolerance that is lent
        Instant refilledAt {};
        double ownTotal = 0; // taken since the start
    };

    void resize(Account &account) const;
    void refill(Account &account, Instant now) const;
    double refillRate(const Bucket &bucket) const;
    double needed(const Bucket &bucket, double cost) const;
    void add(Account &account, double amount) const;

    Duration m_window;
    AllowanceTolerance m_tolerance;
    std::unordered_map<std::string, Account> m_accounts;
    std::unordered_map<std::uint64_t, std::string> m_organisationOfDigest;
    std::map<std::pair<std::uint64_t, std::uint64_t>, double> m_peerTotals;
    Duration m_reportLag {};
    double m_share = 1; // of the allowance that may be used; invariant: in (0, 1]
};

} // namespace cornelshed

#endif // CORNELSHED_TOKENALLOWANCE_H
