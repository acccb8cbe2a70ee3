// Writes event lines to standard output without ever blocking. A line is dropped if the pipe is
// full or the rate limit is exceeded; informational lines are dropped before warnings and errors.
// Dropped lines are counted, and the count is logged in a line of its own.

#ifndef CORNELSHED_LOGWRITER_H
#define CORNELSHED_LOGWRITER_H

#include "eventlog.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cornelshed {

struct LogWriterSettings
{
    int descriptor = 1; // standard output
    // Rate limit (token bucket), because a line costs about 10 us of CPU time.
    double linesPerSecond = 100;
    double burstLines = 300;

    bool operator==(const LogWriterSettings &) const = default;
};

// Thread-safe.
class LogWriter
{
public:
    explicit LogWriter(const LogWriterSettings &settings = {});
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void write(EventLevel level, std::string_view line);

    // Count since construction.
    std::uint64_t droppedLines() const;

    // Makes EventLog write to this writer instead of glog. The writer must outlive all events.
    void install();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_LOGWRITER_H
