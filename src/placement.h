// Choice of the backend servers at which a request is reserved. Policies see bounded samples of the
// candidates, so that the cost of a choice does not grow with their number.

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

// Union of lists of candidates, addressed by position without copying the lists.
class CandidateSet
{
public:
    void clear();
    void add(std::span<const ServerSlot> slots);

    std::size_t size() const { return m_size; }
    ServerSlot at(std::size_t position) const; // position below size()
    std::span<const std::span<const ServerSlot>> lists() const { return m_lists; }

private:
    std::vector<std::span<const ServerSlot>> m_lists; // none is empty
    std::size_t m_size = 0;
};

struct PlacementQuery
{
    const CandidateSet *candidates = nullptr;
    std::span<const CachedPrefix> cached; // candidates with an expected cached prefix
    std::span<const ServerSlot> excluded; // never chosen
    const SpeedEstimate *speeds = nullptr;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration available {}; // until the answer must be complete
    std::size_t count = 1; // servers wanted
    Instant now;
};

struct PlacementChoice
{
    ServerSlot slot = noServerSlot;
    Duration service {}; // predicted time on the server, 0 while unknown
    Duration finish {};  // predicted wait and time on the server
    std::uint64_t cachedTokens = 0;

    bool operator==(const PlacementChoice &) const = default;
};

class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    // Fills choices (cleared first) with up to query.count different servers, best first. Returns
    // the number of candidates that were looked at and not excluded: if it is positive and choices
    // is empty, the candidates cannot finish in time.
    virtual std::size_t choose(const PlacementQuery &query, RandomSource &random,
                               std::vector<PlacementChoice> &choices) = 0;
};

struct ScoredPlacementSettings
{
    std::size_t sampleSize = 8;        // random candidates scored
    std::size_t secondSampleSize = 32; // if none of the first can finish in time
    // Candidates whose scores differ by less are chosen among at random, so that daemons with the
    // same reports do not all choose the same server.
    double nearEqual = 0.15;

    bool operator==(const ScoredPlacementSettings &) const = default;
};

// Predicted finish time over the servers with a cached prefix and a random sample of the others.
// Servers that cannot finish in time even without waiting are not chosen.
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

    void consider(const PlacementQuery &query, ServerSlot slot, std::uint64_t cachedTokens,
                  RandomSource &random);
    void sample(const PlacementQuery &query, std::size_t count, RandomSource &random);
    bool cachedSuffice(const PlacementQuery &query) const;
    void takeBest(std::size_t count, std::vector<PlacementChoice> &choices);

    ScoredPlacementSettings m_settings;
    std::vector<ServerSlot> m_seen; // scratch, kept for its memory
    std::vector<Scored> m_scored;   // scratch
};

// Baselines. They look at no estimate of time and refuse nothing.
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

// For each place, the less loaded of two random candidates by their last report.
class LeastOfTwoPlacement final : public PlacementPolicy
{
public:
    std::size_t choose(const PlacementQuery &query, RandomSource &random,
                       std::vector<PlacementChoice> &choices) override;
};

} // namespace cornelshed

#endif // CORNELSHED_PLACEMENT_H
