// Parses the agent's settings. Only this file defines the valid ranges of the limits.

#include "agentsettings.h"

#include "configurationsections.h"
#include "settingsvalues.h"

#include <algorithm>

namespace cornelshed {

using namespace detail;

namespace {

void readAgent(TomlSection section, AgentSettings &settings)
{
    settings.name = readName(section, "name");
    settings.pool = readName(section, "pool");
    settings.availabilityZone = readName(section, "availability_zone");
    settings.listenAddress = readAddress(section, "listen_address");
    settings.entryPort = readPort(section, "entry_port", 0);
    settings.adminPort = readPort(section, "admin_port", 0);
}

void readServer(TomlSection section, AgentSettings &settings)
{
    const std::string kind = section.choice("kind", {"engine", "service"});
    settings.serverKind = kind == "service" ? PoolKind::Service : PoolKind::Engine;
    settings.serverAddress = readAddress(section, "address");
    settings.serverPort = readPort(section, "port", 1);
    settings.serverVersion = readVersion(section, "version");
    settings.models = section.texts("models");
    settings.checksFencing = section.boolean("checks_fencing", false);
    if (settings.serverKind == PoolKind::Service && !settings.models.empty())
        section.reject("models", "no models for kind \"service\"");
}

void readLimits(TomlSection section, AgentSettings &settings)
{
    settings.frameLimitBytes =
            readCount(section, "frame_limit_bytes", 4096, 1 << 30, settings.frameLimitBytes);
    settings.sessionLimitCount =
            readCount(section, "session_limit_count", 1, 65536, settings.sessionLimitCount);
    // By default, a frame, the body that it carries and as much again for other sessions.
    const std::uint64_t defaultRequestMemory =
            std::clamp(std::uint64_t {4} * settings.frameLimitBytes, std::uint64_t {1} << 20U,
                       std::uint64_t {1} << 31U);
    settings.requestMemoryLimitBytes =
            readCount(section, "request_memory_limit_bytes", 65536, std::int64_t {1} << 31U,
                      static_cast<std::int64_t>(defaultRequestMemory));
    // An eighth is reserved for small requests; a frame and its body must fit beside it.
    const std::uint64_t forLargeRequests = std::uint64_t {settings.requestMemoryLimitBytes} / 8 * 7;
    if (forLargeRequests < std::uint64_t {2} * settings.frameLimitBytes)
        section.reject("request_memory_limit_bytes", "at least 16/7 of frame_limit_bytes");
    settings.answerLimitBytes =
            readCount(section, "answer_limit_bytes", 1024, 1 << 30, settings.answerLimitBytes);
    settings.bufferedAnswersLimitBytes = readCount(section, "buffered_answers_limit_bytes", 1024,
                                                   1 << 30, settings.bufferedAnswersLimitBytes);
    if (settings.bufferedAnswersLimitBytes < settings.answerLimitBytes)
        section.reject("buffered_answers_limit_bytes", "at least answer_limit_bytes");
    settings.memoryMb = readCount(section, "memory_mb", 0, 1 << 24, settings.memoryMb);
    settings.shutdownTimeoutMs =
            readCount(section, "shutdown_timeout_ms", 0, 3600000, settings.shutdownTimeoutMs);
    settings.maximumConcurrencyCount = readCount(section, "maximum_concurrency_count", 1, 65536,
                                                 settings.maximumConcurrencyCount);
}

} // namespace

Result<AgentSettings, TomlProblems> parseAgentSettings(std::string_view text,
                                                       const std::string &file)
{
    TomlProblems problems;
    TomlDocument document = TomlDocument::parse(text, file, problems);
    if (!problems.empty())
        return problems;
    AgentSettings settings;
    TomlSection root = document.root();
    settings.chartsDirectory = root.text("charts_directory");
    readAgent(root.table("agent"), settings);
    readServer(root.table("server"), settings);
    readLimits(root.table("limits"), settings);
    document.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    return settings;
}

} // namespace cornelshed
