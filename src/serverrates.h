// Speed of one backend server as its own agent observes it: prompt tokens per second, and the time
// between output tokens for each batch size. The values are the server's warm baseline; slow
// observations are judged against it before they are allowed to change it.

#ifndef CORNELSHED_SERVERRATES_H
#define CORNELSHED_SERVERRATES_H

#include "types.h"

#include <array>
#include <cstdint>

namespace cornelshed {

class ServerRates
{
public:
    // tokens: prompt tokens processed (without cached ones) in the given time.
    void prefillObserved(std::uint64_t tokens, Duration time);

    // Time between two tokens of one stream while batch requests ran.
    void intervalObserved(std::uint32_t batch, Duration interval);

    // Forgets everything; the server is another one now, or its speed changed for good.
    void clear();

    // 0 while unknown.
    double prefillTokensPerSecond() const;

    // Time between tokens at a batch size, from the nearest batch size observed; 0 while unknown.
    Duration interval(std::uint32_t batch) const;

    // Time to process prompt tokens; 0 while unknown.
    Duration prefillTime(std::uint64_t tokens) const;

private:
    // One bucket for each power of two of the batch size.
    static constexpr std::size_t bucketCount = 12;

    double m_prefillTokens = 0; // observed, the older ones with less weight
    double m_prefillUs = 0;     // time they took
    std::array<double, bucketCount> m_intervalUs {};
};

} // namespace cornelshed

#endif // CORNELSHED_SERVERRATES_H
