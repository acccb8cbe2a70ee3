// Parses the settings of a gateway. The permitted range of each value is defined here only.

#include "gatewaysettings.h"

#include "configurationsections.h"
#include "settingsvalues.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace cornelshed {

using namespace detail;

namespace {

constexpr std::int64_t maxDurationMs = 3600000;
constexpr std::int64_t maxBufferKb = 4194304;
constexpr std::int64_t maxSlotRequests = 64;
constexpr std::int64_t maxPromptCacheTokens = 1000000000;
constexpr std::int64_t maxMemoryMb = 1048576;
constexpr std::int64_t maxDescriptors = 1048576;

SocketAddress readSocketAddress(TomlSection &section, std::string_view key)
{
    const std::string text = section.text(key);
    SocketAddress result;
    const std::size_t colon = text.rfind(':');
    boost::system::error_code ec;
    if (colon != std::string::npos) {
        result.address = text.substr(0, colon);
        boost::asio::ip::make_address(result.address, ec);
        const char *end = text.data() + text.size();
        const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, result.port);
        if (!ec && error == std::errc() && parsedEnd == end)
            return result;
    }
    section.reject(key, "an address as IP:PORT");
    return {};
}

void readGateway(TomlSection section, GatewaySettings &settings)
{
    settings.name = readName(section, "name");
    settings.availabilityZone = readName(section, "availability_zone");
    settings.listen = readSocketAddress(section, "listen");
    settings.readiness = readSocketAddress(section, "readiness");
    settings.readinessPath = section.text("readiness_path", settings.readinessPath);
    settings.peer.address = readAddress(section, "peer_address");
    settings.peer.port = readPort(section, "peer_port", 1);
    settings.admissionPort =
            static_cast<std::uint16_t>(section.integer("admission_port", 0, 65535, 0));
    settings.agentPort = static_cast<std::uint16_t>(section.integer("agent_port", 0, 65535, 0));
    settings.metricsPort = static_cast<std::uint16_t>(section.integer("metrics_port", 0, 65535, 0));
    settings.chartsDirectory = section.text("charts_directory", settings.chartsDirectory);
    settings.answeredLogInterval =
            readCount(section, "answered_log_interval", 1, 1000000, settings.answeredLogInterval);
    settings.answerLimitKb =
            readCount(section, "answer_limit_kb", 1, maxBufferKb, settings.answerLimitKb);
    settings.bufferedAnswersLimitKb = readCount(section, "buffered_answers_limit_kb", 1,
                                                maxBufferKb, settings.bufferedAnswersLimitKb);
    if (settings.bufferedAnswersLimitKb < settings.answerLimitKb)
        section.reject("buffered_answers_limit_kb", "at least answer_limit_kb");
    settings.requestBodiesLimitKb = readCount(section, "request_bodies_limit_kb", 1, maxBufferKb,
                                              settings.requestBodiesLimitKb);
    settings.memoryMb = readCount(section, "memory_mb", 0, maxMemoryMb, settings.memoryMb);
    settings.maxFds = readCount(section, "max_fds", 0, maxDescriptors, settings.maxFds);
}

void readBounds(TomlSection section, GatewaySettings &settings)
{
    settings.keyRevocationMs =
            readCount(section, "key_revocation_ms", 100, maxDurationMs, settings.keyRevocationMs);
    settings.shutdownTimeoutMs = readCount(section, "shutdown_timeout_ms", 100, maxDurationMs,
                                           settings.shutdownTimeoutMs);
    settings.repeatRatio = section.number("repeat_ratio", 0, 10, settings.repeatRatio);
    settings.repeatConstant = section.number("repeat_constant", 0, 1e6, settings.repeatConstant);
    settings.repeatWindowMs =
            readCount(section, "repeat_window_ms", 100, maxDurationMs, settings.repeatWindowMs);
    settings.allowanceWindowMs = readCount(section, "allowance_window_ms", 1000, maxDurationMs,
                                           settings.allowanceWindowMs);
    settings.allowanceOver = section.number("allowance_over", 0, 10, settings.allowanceOver);
    settings.allowanceConstant =
            section.number("allowance_constant", 0, 1e12, settings.allowanceConstant);
    settings.exposureShare = section.number("exposure_share", 0, 1, settings.exposureShare);
    settings.exposureConstant =
            section.number("exposure_constant", 0, 1e6, settings.exposureConstant);
    settings.coldOver = section.number("cold_over", 1, 100, settings.coldOver);
    settings.coldConstant = section.number("cold_constant", 0, 1e6, settings.coldConstant);
    settings.leaseMs = readCount(section, "lease_ms", 500, maxDurationMs, settings.leaseMs);
    settings.thawMs = readCount(section, "thaw_ms", 0, maxDurationMs, settings.thawMs);
    settings.windowS = section.number("window_s", 0.1, 3600, settings.windowS);
    settings.usageLateS = section.number("usage_late_s", 0.1, 3600, settings.usageLateS);
    settings.usageTolerance = section.number("usage_tolerance", 0, 1, settings.usageTolerance);
    settings.fencingRequired = section.boolean("fencing_required", settings.fencingRequired);
}

std::optional<CloudSettings> readCloud(TomlSection root)
{
    if (!root.has("cloud"))
        return std::nullopt;
    TomlSection section = root.table("cloud");
    CloudSettings cloud;
    cloud.address = readSocketAddress(section, "address");
    cloud.callsPerSecond = section.number("duty_per_s", 0.1, 1e6, cloud.callsPerSecond);
    // Duties that only a later release knows are left to it.
    for (const std::string &it : section.texts("duties")) {
        cloud.reportsUsage = cloud.reportsUsage || it == "usage_report";
        cloud.scales = cloud.scales || it == "autoscale";
    }
    return cloud;
}

void readScheduling(TomlSection section, GatewaySettings &settings)
{
    settings.initialSlotRequests = readCount(section, "initial_slot_requests", 1, maxSlotRequests,
                                             settings.initialSlotRequests);
    settings.slotRequestLimit =
            readCount(section, "slot_request_limit", 1, maxSlotRequests, settings.slotRequestLimit);
    if (settings.slotRequestLimit < settings.initialSlotRequests)
        section.reject("slot_request_limit", "at least initial_slot_requests");
    settings.yieldAfterMs =
            readCount(section, "yield_after_ms", 0, maxDurationMs, settings.yieldAfterMs);
    settings.crossZoneCostMs =
            readCount(section, "cross_zone_cost_ms", 0, maxDurationMs, settings.crossZoneCostMs);
    settings.serverQueueShare =
            section.number("server_queue_share", 0, 1, settings.serverQueueShare);
    settings.promptCache = section.boolean("prompt_cache", settings.promptCache);
    settings.promptCacheTokens = readCount(section, "prompt_cache_tokens", 1, maxPromptCacheTokens,
                                           settings.promptCacheTokens);
}

} // namespace

Result<GatewaySettings, TomlProblems> parseGatewaySettings(std::string_view text,
                                                           const std::string &file)
{
    TomlProblems problems;
    TomlDocument document = TomlDocument::parse(text, file, problems);
    if (!problems.empty())
        return problems;
    GatewaySettings settings;
    TomlSection root = document.root();
    readGateway(root.table("gateway"), settings);
    TomlSection platform = root.table("platform");
    settings.platform = readSocketAddress(platform, "address");
    readBounds(root.table("bounds"), settings);
    readScheduling(root.table("scheduling"), settings);
    settings.cloud = readCloud(root);
    document.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    return settings;
}

} // namespace cornelshed
