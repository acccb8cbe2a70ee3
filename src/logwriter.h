// Writes event lines to standard output without ever blocking: a line that the reader of the pipe
// has no room for is dropped, and so are the least important ones when there are too many. What was
// dropped is counted and told in a line of its own.

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
    // Lines a second, on average and at once. A line costs some 10 us of processor time.
    double linesPerSecond = 100;
    double burstLines = 300;

    bool operator==(const LogWriterSettings &) const = default;
};

// Safe to use from any thread.
class LogWriter
{
public:
    explicit LogWriter(const LogWriterSettings &settings = {});
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void write(EventLevel level, std::string_view line);

    std::uint64_t dropped() const;

    // Makes EventLog use this writer instead of glog; the writer must outlive all events.
    void install();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_LOGWRITER_H
