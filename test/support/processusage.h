// What another process of this host uses, read from /proc.

#ifndef CORNELSHED_TEST_PROCESSUSAGE_H
#define CORNELSHED_TEST_PROCESSUSAGE_H

#include <atomic>
#include <cstddef>
#include <mutex>
#include <thread>

namespace cornelshed::testing {

struct ProcessUsage
{
    std::size_t residentBytes = 0;     // VmRSS
    std::size_t peakResidentBytes = 0; // VmHWM
    std::size_t unreadBytes = 0;       // in the receive buffers of its TCP sockets
    std::size_t descriptorCount = 0;
};

ProcessUsage processUsage(int processId);

// Samples a process every few milliseconds until it is destroyed.
class UsageWatch
{
public:
    explicit UsageWatch(int processId);
    ~UsageWatch();
    UsageWatch(const UsageWatch &) = delete;
    UsageWatch &operator=(const UsageWatch &) = delete;

    // The larger of the process's own peak and the most that was seen of its memory together with
    // the receive buffers of its sockets. Call this while the process runs.
    std::size_t peakBytes();
    std::size_t peakDescriptorCount();

private:
    void sample();

    int m_processId;
    std::mutex m_mutex; // guards the peaks
    std::size_t m_peakBytes = 0;
    std::size_t m_peakDescriptors = 0;
    std::atomic<bool> m_stopped {false};
    std::thread m_thread;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_PROCESSUSAGE_H
