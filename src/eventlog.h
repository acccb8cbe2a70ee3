// Logs each event as one line of key=value pairs, through glog or an installed sink:
//
//     EventLog("session_opened").field("agent", name).field("port", port);
//
// The line is written when the object goes out of scope.

#ifndef CORNELSHED_EVENTLOG_H
#define CORNELSHED_EVENTLOG_H

#include <functional>
#include <string>
#include <string_view>
#include <type_traits>

namespace cornelshed {

enum class EventLevel { Info, Warning, Error };

class EventLog
{
public:
    explicit EventLog(std::string_view event, EventLevel level = EventLevel::Info);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    // Values with spaces, quotes or control characters are quoted and escaped, so that untrusted
    // input cannot forge log lines or fields.
    EventLog &field(std::string_view key, std::string_view value);

    template<typename Number>
    requires std::is_arithmetic_v<Number> EventLog &field(std::string_view key, Number value)
    {
        return appendField(key, std::to_string(value));
    }

    using Sink = std::function<void(EventLevel, std::string_view line)>;

    // Sends all lines to the sink instead of glog. Call once, before other threads log.
    static void setSink(Sink sink);

    // Configures glog to write to standard error. Call once at the start of a program.
    static void initialize(const char *program);

private:
    EventLog &appendField(std::string_view key, std::string_view value);

    std::string m_line;
    EventLevel m_level;
};

} // namespace cornelshed

#endif // CORNELSHED_EVENTLOG_H
