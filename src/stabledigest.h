// Text digest (FNV-1a with a splitmix64 finaliser) that is the same in all processes and releases.
// It serves for choices on which daemons must agree and for short references between them.

#ifndef CORNELSHED_STABLEDIGEST_H
#define CORNELSHED_STABLEDIGEST_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cornelshed {

namespace detail {

// The splitmix64 finaliser.
constexpr std::uint64_t finishDigest(std::uint64_t digest)
{
    digest = (digest ^ (digest >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    digest = (digest ^ (digest >> 27U)) * 0x94d049bb133111ebULL;
    return digest ^ (digest >> 31U);
}

} // namespace detail

constexpr std::uint64_t stableDigest(std::string_view text,
                                     std::uint64_t seed = 0xcbf29ce484222325ULL)
{
    std::uint64_t digest = seed;
    for (const char it : text)
        digest = (digest ^ static_cast<unsigned char>(it)) * 0x100000001b3ULL;
    // FNV alone distributes short texts poorly over the upper bits.
    return detail::finishDigest(digest);
}

// A digest of long texts, which takes eight bytes at a time.
constexpr std::uint64_t stableContentDigest(std::string_view text, std::uint64_t seed)
{
    const auto byte = [&](std::size_t at) {
        return std::uint64_t {static_cast<unsigned char>(text[at])};
    };
    std::uint64_t digest = seed ^ (text.size() * 0x9e3779b97f4a7c15ULL);
    const auto add = [&](std::uint64_t word) {
        digest = (digest ^ word) * 0x9fb21c651e98df25ULL;
        digest ^= digest >> 32U;
    };
    std::size_t at = 0;
    for (; at + 8 <= text.size(); at += 8)
        add(byte(at) | byte(at + 1) << 8U | byte(at + 2) << 16U | byte(at + 3) << 24U
            | byte(at + 4) << 32U | byte(at + 5) << 40U | byte(at + 6) << 48U
            | byte(at + 7) << 56U);
    std::uint64_t rest = 0;
    for (std::size_t i = 0; at + i < text.size(); ++i)
        rest |= byte(at + i) << (8 * i);
    add(rest);
    return detail::finishDigest(digest);
}

} // namespace cornelshed

#endif // CORNELSHED_STABLEDIGEST_H
