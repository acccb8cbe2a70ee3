// Text digest (FNV-1a with a splitmix64 finaliser) that is the same in all processes and releases.
// It serves for choices on which daemons must agree and for short references between them.

#ifndef CORNELSHED_STABLEDIGEST_H
#define CORNELSHED_STABLEDIGEST_H

#include <cstdint>
#include <string_view>

namespace cornelshed {

constexpr std::uint64_t stableDigest(std::string_view text,
                                     std::uint64_t seed = 0xcbf29ce484222325ULL)
{
    std::uint64_t digest = seed;
    for (const char it : text)
        digest = (digest ^ static_cast<unsigned char>(it)) * 0x100000001b3ULL;
    // The splitmix64 finaliser: FNV alone distributes short texts poorly over the upper bits.
    digest = (digest ^ (digest >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    digest = (digest ^ (digest >> 27U)) * 0x94d049bb133111ebULL;
    return digest ^ (digest >> 31U);
}

} // namespace cornelshed

#endif // CORNELSHED_STABLEDIGEST_H
