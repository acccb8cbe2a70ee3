// Base-2 radical inverse by bit reversal (J. G. van der Corput, 1935).

#include "versiondraw.h"

namespace cornelshed {

namespace {

std::uint32_t reverseBits(std::uint32_t n)
{
    std::uint32_t result = 0;
    for (int bit = 0; bit < 32; ++bit) {
        result = (result << 1U) | (n & 1U);
        n >>= 1U;
    }
    return result;
}

} // namespace

double VersionDraws::next(std::string_view route)
{
    auto it = m_drawCounts.find(route);
    if (it == m_drawCounts.end())
        it = m_drawCounts.emplace(route, 0).first;
    const std::uint32_t n = ++it->second;
    return 1.0 - static_cast<double>(reverseBits(n)) * 0x1.0p-32;
}

} // namespace cornelshed
