// Counters, gauges and duration summaries of one daemon, exported in the Prometheus text format.
// All classes are thread-safe.

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

// Estimates the quantiles 0.5, 0.95 and 0.99 of all durations recorded since the start, in constant
// memory (P-square algorithm of Boost.Accumulators).
class DurationSummary
{
public:
    DurationSummary();
    ~DurationSummary();
    DurationSummary(const DurationSummary &) = delete;
    DurationSummary &operator=(const DurationSummary &) = delete;

    void record(Duration duration);

    // Appends the metric in the text format, with durations in seconds.
    void append(const std::string &name, std::string &out) const;

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

    // Returns the metric of this name, which is created on first use and lives as long as this
    // object. The name may end in labels: name{outcome="answered"}.
    Counter &counter(const std::string &name, const std::string &help);
    DurationSummary &summary(const std::string &name, const std::string &help);

    // read is called on each call of text() and must be thread-safe.
    void gauge(const std::string &name, const std::string &help, std::function<double()> read);

    // All metrics in the text format.
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_METRICS_H
