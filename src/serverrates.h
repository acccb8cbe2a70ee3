// Speed of one backend server as observed by its agent: prompt tokens per second, and the time
// between output tokens for each batch size. These values are the server's warm baseline. Callers
// compare each observation with the baseline first and record only those that are not slow.

#ifndef CORNELSHED_SERVERRATES_H
#define CORNELSHED_SERVERRATES_H

#include "types.h"

#include <array>
#include <cstdint>

namespace cornelshed {

class ServerRates
{
public:
    // Records that this number of prompt tokens, cached ones excluded, was processed in this time.
    void recordPrefill(std::uint64_t tokens, Duration time);

    // Records the time between two tokens of one stream while batchSize requests were running.
    void recordTokenInterval(std::uint32_t batchSize, Duration tokenInterval);

    // Discards the baseline, for a server that was replaced or whose speed changed permanently.
    void clear();

    // Returns 0 if nothing was recorded.
    double prefillTokensPerSecond() const;

    // Returns the time between tokens at this batch size, or at the nearest one that was recorded.
    // Returns 0 if nothing was recorded.
    Duration tokenInterval(std::uint32_t batchSize) const;

    // Returns the time to process this number of prompt tokens, or 0 if nothing was recorded.
    Duration prefillTime(std::uint64_t tokens) const;

private:
    // One bucket for each power of two of the batch size.
    static constexpr std::size_t bucketCount = 12;

    double m_prefillTokens = 0; // recorded prompt tokens, with decaying weights
    double m_prefillUs = 0;     // processing time of these tokens
    std::array<double, bucketCount> m_tokenIntervalUs {};
};

} // namespace cornelshed

#endif // CORNELSHED_SERVERRATES_H
