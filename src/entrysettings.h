// Settings file of cornelshed-entryd (docs/design.md, section 13).

#ifndef CORNELSHED_ENTRYSETTINGS_H
#define CORNELSHED_ENTRYSETTINGS_H

#include "requestmemory.h"
#include "tomlreader.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed {

struct EntrySettings
{
    std::string chartsDirectory;

    std::string name;
    std::string availabilityZone;
    std::string listenAddress;
    std::uint16_t callerPort = 0; // 0: any free port
    std::uint16_t adminPort = 0;  // 0: any free port
    std::uint16_t peerPort = 0;
    std::uint32_t trafficThreads = 2;

    std::string platformAddress;
    std::uint16_t platformPort = 0;

    std::uint32_t headerLimitBytes = 16U << 10U;
    std::uint32_t bodyLimitBytes = 8U << 20U;
    std::uint32_t connectionLimitCount = 8192;
    std::uint32_t waitingLimitCount = 4096;
    // Bytes of answers that are held until they are sent on: of each answer, and of all together.
    std::uint32_t answerLimitBytes = 16U << 20U;
    std::uint32_t bufferedAnswersLimitBytes = 128U << 20U;
    // Bytes of requests that are received or in progress, of all connections together; the part of
    // them for small requests. Each byte of a body counts twice.
    std::uint32_t requestMemoryLimitBytes = 256U << 20U;
    std::uint32_t requestMemoryReservedBytes = 32U << 20U;
    std::uint32_t receiveBufferBytes = 32U << 10U; // of each connection, in the kernel
    std::uint32_t memoryMb = 0;                    // that the daemon may use; 0: the host's
    std::uint32_t headerTimeoutMs = 10000;
    // An incomplete body must grow by bodyProgressBytes in each interval.
    std::uint32_t bodyProgressIntervalMs = 5000;
    std::uint32_t bodyProgressBytes = 1024;
    std::uint32_t shutdownTimeoutMs = 30000;
    std::uint32_t reservationCount = 3;

    bool operator==(const EntrySettings &) const = default;
};

// The memory of a caller's connection without a request.
// Connections beyond connectionLimitCount that are there for a request which arrives at once.
constexpr std::size_t provisionalConnectionCount = 16;

constexpr std::size_t callerConnectionBytes = std::size_t {4} << 10U;

// The least request_memory_limit_bytes, less the reserved part, for which the largest body fits.
std::uint64_t largestRequestBytes(const EntrySettings &settings);

// Limits of the memory of requests that follow from the settings.
RequestMemoryLimits requestMemoryLimits(const EntrySettings &settings);

// Parses the settings file's text; file is the name used in error messages. Returns the settings or
// all errors found.
Result<EntrySettings, TomlProblems> parseEntrySettings(std::string_view text,
                                                       const std::string &file);

} // namespace cornelshed

#endif // CORNELSHED_ENTRYSETTINGS_H
