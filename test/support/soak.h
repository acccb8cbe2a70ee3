// Shared by the tests that inject random faults or changes under load.

#ifndef CORNELSHED_TEST_SOAK_H
#define CORNELSHED_TEST_SOAK_H

#include <cstdint>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>

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

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_SOAK_H
