// The pace at which the body of a request must arrive. A caller that all but stops keeps room that
// others need. Part of the decision library: callers pass the time.

#ifndef CORNELSHED_BODYPACE_H
#define CORNELSHED_BODYPACE_H

#include "types.h"

#include <cstdint>

namespace cornelshed {

class BodyPace
{
public:
    // The body begins to arrive. It must grow by bytes within each interval.
    void begin(Instant now, Duration interval, std::uint64_t bytes);

    // When the present interval ends.
    Instant checkTime() const { return m_checkedAt + m_interval; }

    // Returns whether the body, of which this much has arrived in all, is fast enough, and begins
    // the next interval then if the present one has ended.
    bool check(Instant now, std::uint64_t receivedBytes);

private:
    Duration m_interval {};
    std::uint64_t m_bytes = 0;
    Instant m_checkedAt {};
    std::uint64_t m_receivedAtCheck = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_BODYPACE_H
