// Parses the entry daemon's settings. The accepted range of each setting is defined only here.

#include "entrysettings.h"

#include "configurationsections.h"
#include "settingsvalues.h"

#include <algorithm>

namespace cornelshed {

using namespace detail;

namespace {

// Room for several hundred small requests, whatever the limit of bodies is.
constexpr std::uint32_t minimumRequestMemoryBytes = 4U << 20U;

// A head of the shortest headers, four bytes each, costs 25 times its size (see
// callerconnection.cpp). Besides, what arrives with it may not be parsed yet.
std::uint64_t largestHeadCost(const EntrySettings &settings)
{
    constexpr std::uint64_t unparsedBytes = std::uint64_t {16} << 10U;
    return std::uint64_t {25} * settings.headerLimitBytes + unparsedBytes;
}

void readEntry(TomlSection section, EntrySettings &settings)
{
    settings.name = readName(section, "name");
    settings.availabilityZone = readName(section, "availability_zone");
    settings.listenAddress = readAddress(section, "listen_address");
    settings.callerPort = readPort(section, "caller_port", 0);
    settings.adminPort = readPort(section, "admin_port", 0);
    settings.peerPort = readPort(section, "peer_port", 0);
    settings.trafficThreads =
            readCount(section, "traffic_threads", 1, 256, settings.trafficThreads);
}

void readPlatform(TomlSection section, EntrySettings &settings)
{
    settings.platformAddress = readAddress(section, "address");
    settings.platformPort = readPort(section, "port", 1);
}

// The defaults follow body_limit_bytes: 16 of the largest bodies at a time, each of which counts
// twice.
void readRequestMemory(TomlSection &section, EntrySettings &settings)
{
    const std::uint64_t largest = largestRequestBytes(settings);
    const std::uint64_t defaultLimit =
            std::max({std::uint64_t {32} * settings.bodyLimitBytes, 2 * largest,
                      std::uint64_t {minimumRequestMemoryBytes}});
    settings.requestMemoryLimitBytes =
            readCount(section, "request_memory_limit_bytes", minimumRequestMemoryBytes, 1U << 31U,
                      static_cast<std::int64_t>(std::min(defaultLimit, std::uint64_t {1} << 31U)));
    settings.requestMemoryReservedBytes =
            readCount(section, "request_memory_reserved_bytes", 1024, 1U << 31U,
                      settings.requestMemoryLimitBytes / 8);
    // The largest body must fit beside the reserved part, or it could never be served.
    if (settings.requestMemoryLimitBytes
        < std::uint64_t {settings.requestMemoryReservedBytes} + largest)
        section.reject("request_memory_limit_bytes",
                       "at least request_memory_reserved_bytes, twice body_limit_bytes, 25 times "
                       "header_limit_bytes and 16384");
    settings.receiveBufferBytes =
            readCount(section, "receive_buffer_bytes", 4096, 1 << 24, settings.receiveBufferBytes);
    settings.bodyProgressIntervalMs = readCount(section, "body_progress_interval_ms", 10, 600000,
                                                settings.bodyProgressIntervalMs);
    settings.bodyProgressBytes =
            readCount(section, "body_progress_bytes", 1, 1 << 20, settings.bodyProgressBytes);
}

void readLimits(TomlSection section, EntrySettings &settings)
{
    settings.headerLimitBytes =
            readCount(section, "header_limit_bytes", 512, 1 << 20, settings.headerLimitBytes);
    settings.bodyLimitBytes =
            readCount(section, "body_limit_bytes", 1024, 1 << 28, settings.bodyLimitBytes);
    settings.connectionLimitCount =
            readCount(section, "connection_limit_count", 1, 1 << 20, settings.connectionLimitCount);
    settings.waitingLimitCount =
            readCount(section, "waiting_limit_count", 1, 1 << 20, settings.waitingLimitCount);
    settings.answerLimitBytes =
            readCount(section, "answer_limit_bytes", 1024, 1 << 30, settings.answerLimitBytes);
    settings.bufferedAnswersLimitBytes = readCount(section, "buffered_answers_limit_bytes", 1024,
                                                   1 << 30, settings.bufferedAnswersLimitBytes);
    if (settings.bufferedAnswersLimitBytes < settings.answerLimitBytes)
        section.reject("buffered_answers_limit_bytes", "at least answer_limit_bytes");
    readRequestMemory(section, settings);
    settings.memoryMb = readCount(section, "memory_mb", 0, 1 << 24, settings.memoryMb);
    settings.headerTimeoutMs =
            readCount(section, "header_timeout_ms", 1, 600000, settings.headerTimeoutMs);
    settings.shutdownTimeoutMs =
            readCount(section, "shutdown_timeout_ms", 0, 3600000, settings.shutdownTimeoutMs);
    settings.reservationCount =
            readCount(section, "reservation_count", 1, 16, settings.reservationCount);
}

} // namespace

std::uint64_t largestRequestBytes(const EntrySettings &settings)
{
    return std::uint64_t {2} * settings.bodyLimitBytes + largestHeadCost(settings);
}

RequestMemoryLimits requestMemoryLimits(const EntrySettings &settings)
{
    RequestMemoryLimits limits;
    limits.totalBytes = settings.requestMemoryLimitBytes;
    limits.reservedBytes = settings.requestMemoryReservedBytes;
    limits.connectionCount = settings.connectionLimitCount;
    limits.provisionalCount = provisionalConnectionCount;
    limits.connectionBytes = callerConnectionBytes + settings.receiveBufferBytes;
    return limits;
}

Result<EntrySettings, TomlProblems> parseEntrySettings(std::string_view text,
                                                       const std::string &file)
{
    TomlProblems problems;
    TomlDocument document = TomlDocument::parse(text, file, problems);
    if (!problems.empty())
        return problems;
    EntrySettings settings;
    TomlSection root = document.root();
    settings.chartsDirectory = root.text("charts_directory");
    readEntry(root.table("entry"), settings);
    readPlatform(root.table("platform"), settings);
    readLimits(root.table("limits"), settings);
    document.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    return settings;
}

} // namespace cornelshed
