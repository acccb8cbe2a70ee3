// Sends a day of traffic to entry daemons in an open loop: each request is sent at its planned
// time, whether or not earlier ones have been answered.

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
    std::vector<standins::HttpEndpoint> entries; // used round-robin
    // Whether a load balancer would send to entries[i]; without this function all entries are used.
    std::function<bool(std::size_t)> isEntryAvailable;
    std::string model = "loom";
    std::string markerPrefix = "L";        // must differ between runs against the same stand-ins
    double compression = 1;                // divisor of the planned offsets
    std::uint32_t openRequestLimit = 4000; // further requests are counted as unsent
    std::uint32_t orderAttemptCount = 5;   // each through the next entry daemon
    // Delay before the first retry; doubled for each further one.
    std::chrono::milliseconds orderRetryDelay {100};
    // Time after the deadline until a request without a complete reply counts as lost.
    std::chrono::milliseconds replyGracePeriod {10000};
};

class LoadRun
{
public:
    LoadRun(Day day, LoadOptions options);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    // Sends the whole day and returns when all requests have ended. May be called only once.
    std::vector<RequestRecord> run();

    // Sends no further requests and leaves open ones to end by themselves. Thread-safe.
    void stopSending();

    // Number of requests that have ended in any way. Thread-safe.
    [[nodiscard]] std::uint64_t endedCount() const;

    // Number of requests that have received a complete answer, in time or late. Thread-safe.
    [[nodiscard]] std::uint64_t answeredCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_LOADRUN_H
