// Counters, gauges and time quantiles of one daemon, shown in the customary text format. All
// members are safe to use from any thread.

#ifndef CORNELSHED_METRICS_H
#define CORNELSHED_METRICS_H

#include "types.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cornelshed {

class Counter
{
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value {0};
};

// Estimates the quantiles 0.5, 0.95 and 0.99 of durations since the start (Boost.Accumulators,
// P-square), in constant memory.
class TimeSummary
{
public:
    TimeSummary();
    ~TimeSummary();
    TimeSummary(const TimeSummary &) = delete;
    TimeSummary &operator=(const TimeSummary &) = delete;

    void record(Duration duration);

    // Appends the lines of the text format; times are in seconds.
    void print(const std::string &name, std::string &out) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Returned objects live as long as the metrics. A repeated name gives the same object. The name
    // may end in labels: name{outcome="answered"}.
    Counter &counter(const std::string &name, const std::string &help);
    TimeSummary &summary(const std::string &name, const std::string &help);

    // read is called for each request of the text and must be safe on any thread.
    void gauge(const std::string &name, const std::string &help, std::function<double()> read);

    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_METRICS_H
