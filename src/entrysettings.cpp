// Parses the entry daemon's settings. The accepted range of each setting is defined only here.

#include "entrysettings.h"

#include "configurationsections.h"
#include "settingsvalues.h"

namespace cornelshed {

using namespace detail;

namespace {

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
    settings.headerTimeoutMs =
            readCount(section, "header_timeout_ms", 1, 600000, settings.headerTimeoutMs);
    settings.shutdownTimeoutMs =
            readCount(section, "shutdown_timeout_ms", 0, 3600000, settings.shutdownTimeoutMs);
    settings.reservationCount =
            readCount(section, "reservation_count", 1, 16, settings.reservationCount);
}

} // namespace

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
