// Scores candidates and implements the baseline policies.

#include "placement.h"

#include <algorithm>

namespace cornelshed {

namespace {

bool contains(std::span<const ServerSlot> slots, ServerSlot slot)
{
    return std::find(slots.begin(), slots.end(), slot) != slots.end();
}

bool chosen(const std::vector<PlacementChoice> &choices, ServerSlot slot)
{
    const auto sameSlot = [&](const PlacementChoice &it) { return it.slot == slot; };
    return std::any_of(choices.begin(), choices.end(), sameSlot);
}

// Limit on random draws for each server to choose. More draws would only help if nearly all
// candidates are excluded.
constexpr std::size_t maxDrawsPerChoice = 8;

bool acceptable(const PlacementQuery &query, const std::vector<PlacementChoice> &choices,
                ServerSlot slot)
{
    return !contains(query.excluded, slot) && !chosen(choices, slot);
}

// Assumed number of streams that the processing of a prompt delays: about as many as a fully loaded
// server runs.
constexpr int streamsPerBatch = 32;

// Appends acceptable candidates from the position on, wrapping around at the end, until there are
// query.count choices.
std::size_t appendConsecutive(const PlacementQuery &query, std::size_t position,
                              std::vector<PlacementChoice> &choices)
{
    const std::size_t n = query.candidates->size();
    const std::size_t inspected = std::min(n, query.count + query.excluded.size() + choices.size());
    for (std::size_t i = 0; i < inspected && choices.size() < query.count; ++i) {
        const ServerSlot slot = query.candidates->at((position + i) % n);
        if (acceptable(query, choices, slot))
            choices.push_back({slot, {}, {}, 0});
    }
    return choices.size();
}

} // namespace

void CandidateSet::clear()
{
    m_lists.clear();
    m_size = 0;
}

void CandidateSet::add(std::span<const ServerSlot> slots)
{
    if (slots.empty())
        return;
    m_lists.push_back(slots);
    m_size += slots.size();
}

ServerSlot CandidateSet::at(std::size_t position) const
{
    for (const auto &it : m_lists) {
        if (position < it.size())
            return it[position];
        position -= it.size();
    }
    return noServerSlot;
}

ScoredPlacement::ScoredPlacement(const ScoredPlacementSettings &settings) : m_settings(settings) { }

void ScoredPlacement::scoreCandidate(const PlacementQuery &query, ServerSlot slot,
                                     std::uint64_t cachedTokens, RandomSource &random)
{
    if (contains(query.excluded, slot) || contains(m_considered, slot))
        return;
    m_considered.push_back(slot);
    const WorkSize work {query.promptTokens - std::min(cachedTokens, query.promptTokens),
                         query.outputTokens};
    const Duration service = query.speeds->serviceTime(slot, work, query.now);
    if (service > query.available)
        return;
    const Duration finish = service + query.speeds->queueDelay(slot, query.now);
    const double score =
            static_cast<double>(finish.count() + 1) * (1 + m_settings.scoreJitter * random.unit());
    m_scored.push_back({{slot, service, finish, cachedTokens}, score});
}

void ScoredPlacement::scoreSample(const PlacementQuery &query, std::size_t count,
                                  RandomSource &random)
{
    const std::size_t n = query.candidates->size();
    if (n == 0)
        return;
    // Starts at a random position, so that no server is favoured by its position in the list.
    const std::size_t start = random.below(n);
    if (n <= 2 * count) {
        for (std::size_t i = 0; i < n; ++i)
            scoreCandidate(query, query.candidates->at((start + i) % n), 0, random);
        return;
    }
    for (std::size_t i = 0; i < count; ++i)
        scoreCandidate(query, query.candidates->at(random.below(n)), 0, random);
}

std::size_t ScoredPlacement::choose(const PlacementQuery &query, RandomSource &random,
                                    std::vector<PlacementChoice> &choices)
{
    choices.clear();
    m_considered.clear();
    m_scored.clear();
    for (const CachedPrefix &it : query.cached)
        scoreCandidate(query, it.slot, it.tokens, random);
    if (cachedServersSuffice(query)) {
        appendBest(query.count, choices);
        return m_considered.size();
    }
    scoreSample(query, m_settings.sampleSize, random);
    if (m_scored.size() < query.count)
        scoreSample(query, m_settings.secondSampleSize, random);
    appendBest(query.count, choices);
    return m_considered.size();
}

// Servers with the cached prefix suffice if the queueing delay at one of them costs less than
// computing the prefix again elsewhere, which would delay all streams of a batch there.
bool ScoredPlacement::cachedServersSuffice(const PlacementQuery &query) const
{
    const WorkSize uncachedWork {query.promptTokens, query.outputTokens};
    return std::any_of(m_scored.begin(), m_scored.end(), [&](const Scored &it) {
        const PlacementChoice &choice = it.choice;
        const Duration uncachedService =
                query.speeds->serviceTime(choice.slot, uncachedWork, query.now);
        const Duration saved = (uncachedService - choice.serviceTime) * streamsPerBatch;
        return choice.finishTime <= query.available
                && choice.finishTime - choice.serviceTime <= saved;
    });
}

void ScoredPlacement::appendBest(std::size_t count, std::vector<PlacementChoice> &choices)
{
    const std::size_t n = std::min(count, m_scored.size());
    const auto end = m_scored.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(m_scored.begin(), end, m_scored.end(),
                      [](const Scored &a, const Scored &b) { return a.score < b.score; });
    for (auto it = m_scored.begin(); it != end; ++it)
        choices.push_back(it->choice);
}

std::size_t RoundRobinPlacement::choose(const PlacementQuery &query, RandomSource & /*random*/,
                                        std::vector<PlacementChoice> &choices)
{
    choices.clear();
    const std::size_t n = query.candidates->size();
    if (n == 0)
        return 0;
    const std::size_t found = appendConsecutive(query, m_next % n, choices);
    ++m_next;
    return found;
}

std::size_t RandomPlacement::choose(const PlacementQuery &query, RandomSource &random,
                                    std::vector<PlacementChoice> &choices)
{
    choices.clear();
    const std::size_t n = query.candidates->size();
    if (n == 0)
        return 0;
    for (std::size_t i = 0; i < maxDrawsPerChoice * query.count; ++i) {
        const ServerSlot slot = query.candidates->at(random.below(n));
        if (choices.size() < query.count && acceptable(query, choices, slot))
            choices.push_back({slot, {}, {}, 0});
    }
    return appendConsecutive(query, random.below(n), choices);
}

std::size_t PowerOfTwoChoicesPlacement::choose(const PlacementQuery &query, RandomSource &random,
                                               std::vector<PlacementChoice> &choices)
{
    choices.clear();
    const std::size_t n = query.candidates->size();
    if (n == 0)
        return 0;
    for (std::size_t i = 0; i < maxDrawsPerChoice * query.count && choices.size() < query.count;
         ++i) {
        const ServerSlot a = query.candidates->at(random.below(n));
        const ServerSlot b = query.candidates->at(random.below(n));
        const bool preferB =
                query.speeds->lastReportedRequests(b) < query.speeds->lastReportedRequests(a);
        const ServerSlot better = preferB ? b : a;
        const ServerSlot other = preferB ? a : b;
        if (acceptable(query, choices, better))
            choices.push_back({better, {}, {}, 0});
        else if (acceptable(query, choices, other))
            choices.push_back({other, {}, {}, 0});
    }
    return appendConsecutive(query, random.below(n), choices);
}

} // namespace cornelshed
