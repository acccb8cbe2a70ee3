// The limit on requests per second that a backend server names in its answers, and how it is kept.
// The limit is meant for all gateways together, but arrives in one gateway's answer: gateways
// report what they heard themselves, the newest statement counts, and each takes a share. Where the
// backend server has an admission agent, slot requests carry the limit and the agent keeps it for
// all.
//
// A limit holds until a newer answer names another one or none. Some requests always pass, even at
// a limit of 0, so that such an answer comes.

#ifndef CORNELSHED_NAMEDLIMIT_H
#define CORNELSHED_NAMEDLIMIT_H

#include "types.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace cornelshed {

// What a backend server said of its limit.
struct NamedLimitReport
{
    std::optional<double> perSecond; // nothing: it named no limit
    Duration age {};                 // since the answer arrived

    auto operator<=>(const NamedLimitReport &) const = default;
};

// Reads a report from a message: a negative limit is none. Returns nothing for a negative age,
// which means that nothing is known, and for a limit that is not a number.
std::optional<NamedLimitReport> decodeNamedLimit(double perSecond, std::int64_t ageMicros);

class NamedLimit
{
public:
    // Records this gateway's own answer of the backend server. One without a limit lifts the limit
    // only if none was named for a while: not each answer need repeat it.
    void recordAnswer(std::optional<double> perSecond, Instant now);

    // Applies what a peer heard.
    void merge(const NamedLimitReport &report, Instant now);

    // Requests per second that all gateways may send together; nothing: no limit.
    std::optional<double> perSecond() const;

    // What this gateway heard itself, for the peers. Nothing if it never heard of a limit, or if
    // that the limit was lifted is old news.
    std::optional<NamedLimitReport> ownReport(Instant now) const;

    // The newest statement, own or of a peer, also one that names no limit: an agent may hold one
    // of an earlier run of the backend server. Nothing if there was no answer yet.
    std::optional<NamedLimitReport> newest(Instant now) const;

private:
    struct Statement
    {
        std::optional<double> perSecond;
        Instant at = Instant::min();
    };

    const Statement &newestStatement() const;

    Statement m_own;
    Statement m_ofPeers;               // the newest one
    std::optional<Instant> m_liftedAt; // when an own answer last lifted the limit
};

// This gateway's part of a number of requests that all gateways may send together. If there are
// more gateways than requests, different ones get one in turn.
// index: of this gateway in an order that all agree on. turn: rotates the remainder.
std::uint32_t shareOf(std::uint32_t requests, std::uint32_t gatewayCount, std::uint32_t index,
                      std::uint64_t turn);

} // namespace cornelshed

#endif // CORNELSHED_NAMEDLIMIT_H
