// The record of a case: one line for each event, with the time since its start.

#ifndef REVIEW_RECORD_H
#define REVIEW_RECORD_H

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

class Record
{
public:
    explicit Record(const std::string &file) : m_out(file) { }

    bool isOpen() const { return m_out.is_open(); }
    double seconds() const { return secondsAt(Clock::now()); }
    double secondsAt(Clock::time_point time) const
    {
        return std::chrono::duration<double>(time - m_start).count();
    }

    void add(const std::string &text);

private:
    const Clock::time_point m_start = Clock::now();
    std::mutex m_mutex; // guards m_out
    std::ofstream m_out;
};

} // namespace review

#endif // REVIEW_RECORD_H
