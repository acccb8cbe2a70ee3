// Shared by the tests that inject random faults or changes under load.

#ifndef CORNELSHED_TEST_SOAK_H
#define CORNELSHED_TEST_SOAK_H

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelshed::testing {

// Number in an environment variable, such as a seed.
inline std::uint64_t environmentNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

// Counts how often the backend servers executed each request. Thread-safe.
class ExecutionCounts
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[id];
    }
    int countOf(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_counts.find(id);
        return it == m_counts.end() ? 0 : it->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_counts; // by request id
};

// Times at which requests arrived. Thread-safe.
class ArrivalTimes
{
public:
    using Time = std::chrono::steady_clock::time_point;

    void add(Time at)
    {
        const std::lock_guard lock(m_mutex);
        m_times.push_back(at);
    }

    // The most arrivals in any window of this length that begins at `from` or later.
    int busiestWindow(Time from, std::chrono::milliseconds length) const
    {
        std::vector<Time> times;
        {
            const std::lock_guard lock(m_mutex);
            std::copy_if(m_times.begin(), m_times.end(), std::back_inserter(times),
                         [&](Time it) { return it >= from; });
        }
        std::sort(times.begin(), times.end());
        std::ptrdiff_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first)
            most = std::max(most, std::lower_bound(first, times.end(), *first + length) - first);
        return static_cast<int>(most);
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Time> m_times;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_SOAK_H
