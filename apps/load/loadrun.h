// Sends a day to entry daemons in an open loop: requests start at their planned time, whether or
// not earlier ones have been answered.

#ifndef CORNELSHED_LOAD_LOADRUN_H
#define CORNELSHED_LOAD_LOADRUN_H

#include "day.h"
#include "httpclient.h"
#include "tally.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelshed::load {

struct LoadOptions
{
    std::vector<standins::HttpEndpoint> entries; // chosen in turn
    // Whether a load balancer sends to the entry with this number; absent: to all.
    std::function<bool(std::size_t)> entryAvailable;
    std::string model = "loom";
    std::string markerPrefix = "L"; // unique among runs against the same stand-ins
    double compression = 1;         // planned offsets are divided by this
    std::uint32_t openRequestLimit = 4000;
    std::uint32_t orderAttemptCount = 5;             // through entry daemons in turn
    std::chrono::milliseconds orderRetryDelay {100}; // before the first retry; doubles
    std::chrono::milliseconds replyGrace {10000};    // after the deadline, until counted as lost
};

class LoadRun
{
public:
    LoadRun(Day day, LoadOptions options);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    // Sends everything and returns when all requests have ended; call once.
    std::vector<RequestRecord> run();

    // Plans nothing more; requests that were sent go on. From any thread.
    void stopSending();

    // Number of requests that have ended or been answered whole; from any thread.
    [[nodiscard]] std::uint64_t endedCount() const;
    [[nodiscard]] std::uint64_t answeredCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_LOADRUN_H
