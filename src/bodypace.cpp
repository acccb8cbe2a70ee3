// An interval ends when it is checked: a check that is late asks for no more bytes.

#include "bodypace.h"

namespace cornelshed {

void BodyPace::begin(Instant now, Duration interval, std::uint64_t bytes)
{
    m_interval = interval;
    m_bytes = bytes;
    m_checkedAt = now;
    m_receivedAtCheck = 0;
}

bool BodyPace::check(Instant now, std::uint64_t receivedBytes)
{
    if (now < checkTime())
        return true;
    if (receivedBytes < m_receivedAtCheck + m_bytes)
        return false;
    m_checkedAt = now;
    m_receivedAtCheck = receivedBytes;
    return true;
}

} // namespace cornelshed
