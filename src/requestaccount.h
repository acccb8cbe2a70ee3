// Account of one request from the logs of gateways: the lines that name it, what its gateway knew
// and saw around that time, and in a sentence what became of it and why. Logs may be of several
// processes with different clocks: lines are compared only within one source.

#ifndef CORNELSHED_REQUESTACCOUNT_H
#define CORNELSHED_REQUESTACCOUNT_H

#include "types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// One line of key=value pairs; what stands before the first pair, as an outer log's prefix, is
// dropped.
struct LogEvent
{
    std::string name;                          // of the event
    Duration time {};                          // since 1970, by the writer's clock
    std::map<std::string, std::string> fields; // without event, time and level
    std::string text;                          // of the fields, in their order

    bool operator==(const LogEvent &) const = default;
};

// Nothing for a line that is torn or of another kind.
std::optional<LogEvent> parseLogEvent(std::string_view line);

// What a problem of request_ended, or a reason of request_refused, means for the request.
std::string_view meaningOfProblem(std::string_view problem);

class RequestAccount
{
public:
    explicit RequestAccount(std::string requestId) : m_requestId(std::move(requestId)) { }

    // Lines of one source in their order.
    void addLine(const std::string &source, std::string_view line);

    bool found() const;

    // The account, one line for each event, with times before the request's last line.
    std::string text() const;

private:
    struct Source
    {
        std::vector<LogEvent> own;     // name the request
        std::vector<LogEvent> context; // of the daemon, whatever the request
        std::size_t tornLines = 0;     // that name the request
    };

    std::string textOf(const std::string &name, const Source &source) const;

    std::string m_requestId;
    std::map<std::string, Source> m_sources; // by name
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTACCOUNT_H
