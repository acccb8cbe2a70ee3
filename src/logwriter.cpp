// Rate-limited, non-blocking log output.

#include "logwriter.h"

#include "monotonicclock.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <string>

namespace cornelshed {

namespace {

// Below PIPE_BUF on Linux (4096 bytes; POSIX requires at least 512), so that a write to a pipe is
// atomic: it succeeds for the whole line or fails.
constexpr std::size_t maxLineBytes = 4000;
// Fraction of the burst that is reserved for warnings and errors.
constexpr double reservedBurstShare = 0.3;

const char *levelName(EventLevel level)
{
    switch (level) {
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "info";
}

// Current time in UTC, in the format of ISO 8601 with milliseconds.
std::string utcTimestamp()
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    tm parts {};
    gmtime_r(&now.tv_sec, &parts);
    std::array<char, 40> text {};
    const std::size_t n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + n, text.size() - n, ".%03ldZ", now.tv_nsec / 1000000);
    return text.data();
}

} // namespace

class LogWriter::Private
{
public:
    explicit Private(const LogWriterSettings &writerSettings)
        : settings(writerSettings), tokens(writerSettings.burstLines), refilledAt(monotonicNow())
    {
        const int flags = ::fcntl(settings.descriptor, F_GETFL);
        ::fcntl(settings.descriptor, F_SETFL, flags | O_NONBLOCK);
    }

    bool takeToken(EventLevel level)
    {
        const Instant now = monotonicNow();
        const double seconds = std::chrono::duration<double>(now - refilledAt).count();
        refilledAt = now;
        tokens = std::min(tokens + seconds * settings.linesPerSecond, settings.burstLines);
        const double reserve =
                level == EventLevel::Info ? reservedBurstShare * settings.burstLines : 0;
        if (tokens < reserve + 1)
            return false;
        tokens -= 1;
        return true;
    }

    bool writeLine(EventLevel level, std::string_view line)
    {
        std::string text = "time=" + utcTimestamp() + " level=" + levelName(level) + ' ';
        text += line.substr(0, maxLineBytes - text.size() - 1);
        text += '\n';
        return ::write(settings.descriptor, text.data(), text.size())
                == static_cast<ssize_t>(text.size());
    }

    void write(EventLevel level, std::string_view line)
    {
        if (!takeToken(level)) {
            ++droppedCount;
            return;
        }
        if (droppedCount > reportedDropCount
            && writeLine(EventLevel::Warning,
                         "event=log_lines_dropped count="
                                 + std::to_string(droppedCount - reportedDropCount)))
            reportedDropCount = droppedCount;
        if (!writeLine(level, line))
            ++droppedCount;
    }

    LogWriterSettings settings;
    std::mutex mutex; // guards the members below
    double tokens;
    Instant refilledAt;
    std::uint64_t droppedCount = 0;
    std::uint64_t reportedDropCount = 0; // part of droppedCount that was already logged
};

LogWriter::LogWriter(const LogWriterSettings &settings) : d(std::make_unique<Private>(settings)) { }

LogWriter::~LogWriter() = default;

void LogWriter::write(EventLevel level, std::string_view line)
{
    const std::lock_guard lock(d->mutex);
    d->write(level, line);
}

std::uint64_t LogWriter::droppedLines() const
{
    const std::lock_guard lock(d->mutex);
    return d->droppedCount;
}

void LogWriter::install()
{
    EventLog::setSink([this](EventLevel level, std::string_view line) { write(level, line); });
}

} // namespace cornelshed
