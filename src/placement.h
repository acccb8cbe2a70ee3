// Placement policies: they choose the backend servers at which a request makes its reservations.
// Policies examine a bounded sample of the candidates, so that the cost of a decision does not grow
// with the number of servers.

#ifndef CORNELSHED_PLACEMENT_H
#define CORNELSHED_PLACEMENT_H

#include "prefixindex.h"
#include "serverslot.h"
#include "speedestimate.h"
#include "types.h"

#include <cstdint>
#include <span>
#include <vector>

namespace cornelshed {

// Concatenation of lists of candidates, indexed by position without copying the lists.
class CandidateSet
{
public:
    void clear();
    void add(std::span<const ServerSlot> slots);

    std::size_t size() const { return m_size; }
    ServerSlot at(std::size_t position) const; // position must be less than size()
    std::span<const std::span<const ServerSlot>> lists() const { return m_lists; }

private:
    std::vector<std::span<const ServerSlot>> m_lists; // invariant: no list is empty
    std::size_t m_size = 0;
};

struct PlacementQuery
{
    const CandidateSet *candidates = nullptr;
    std::span<const CachedPrefix> cached; // candidates expected to have a prefix in their cache
    std::span<const ServerSlot> excluded; // servers that must not be chosen
    const SpeedEstimate *speeds = nullptr;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration available {}; // time until the response must be complete
    std::size_t count = 1; // number of servers to choose
    Instant now;
};

struct PlacementChoice
{
    ServerSlot slot = noServerSlot;
    Duration serviceTime {};        // predicted processing time, 0 if unknown
    Duration finishTime {};         // predicted queueing delay plus processing time
    std::uint64_t cachedTokens = 0; // prompt tokens expected in the server's cache

    bool operator==(const PlacementChoice &) const = default;
};

class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    // Replaces choices by up to query.count different servers, best first. Returns the number of
    // examined candidates that are not excluded. If it is positive and choices is empty, none of
    // these candidates can finish in time.
    virtual std::size_t choose(const PlacementQuery &query, RandomSource &random,
                               std::vector<PlacementChoice> &choices) = 0;
};

struct ScoredPlacementSettings
{
    std::size_t sampleSize = 8; // number of random candidates to score
    // Number of further candidates to score if too few can finish in time.
    std::size_t secondSampleSize = 32;
    // Largest random increase of a score, relative to the score. It makes the choice among nearly
    // equal candidates random, so that daemons with the same reports do not all choose the same
    // server.
    double scoreJitter = 0.15;

    bool operator==(const ScoredPlacementSettings &) const = default;
};

// Chooses the servers with the earliest predicted finish time among those with a cached prefix and
// a random sample of the others. Servers that could not finish in time even without queueing delay
// are not chosen.
class ScoredPlacement final : public PlacementPolicy
{
public:
    explicit ScoredPlacement(const ScoredPlacementSettings &settings = {});

    std::size_t choose(const PlacementQuery &query, RandomSource &random,
                       std::vector<PlacementChoice> &choices) override;

private:
    struct Scored
    {
        PlacementChoice choice;
        double score = 0;
    };

    void scoreCandidate(const PlacementQuery &query, ServerSlot slot, std::uint64_t cachedTokens,
                        RandomSource &random);
    void scoreSample(const PlacementQuery &query, std::size_t count, RandomSource &random);
    bool cachedServersSuffice(const PlacementQuery &query) const;
    void appendBest(std::size_t count, std::vector<PlacementChoice> &choices);

    ScoredPlacementSettings m_settings;
    // Buffers of choose(), members to avoid an allocation for each decision.
    std::vector<ServerSlot> m_considered; // candidates examined and not excluded
    std::vector<Scored> m_scored;         // those of them that can finish in time
};

// Baseline policies for comparison. They ignore predicted times and the time available.
class RoundRobinPlacement final : public PlacementPolicy
{
public:
    std::size_t choose(const PlacementQuery &query, RandomSource &random,
                       std::vector<PlacementChoice> &choices) override;

private:
    std::uint64_t m_next = 0;
};

class RandomPlacement final : public PlacementPolicy
{
public:
    std::size_t choose(const PlacementQuery &query, RandomSource &random,
                       std::vector<PlacementChoice> &choices) override;
};

// Power of two choices: draws two random candidates for each choice and takes the one with the
// lower load according to its last report.
class PowerOfTwoChoicesPlacement final : public PlacementPolicy
{
public:
    std::size_t choose(const PlacementQuery &query, RandomSource &random,
                       std::vector<PlacementChoice> &choices) override;
};

} // namespace cornelshed

#endif // CORNELSHED_PLACEMENT_H
