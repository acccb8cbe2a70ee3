// Reconstructs what happened to one request from the logs of gateways: the log lines that name the
// request, the state changes of its gateway around that time, and a sentence with the outcome and
// its cause. The logs may be written by several processes with different clocks, so lines are
// compared only within one source.

#ifndef CORNELSHED_REQUESTREPORT_H
#define CORNELSHED_REQUESTREPORT_H

#include "logevent.h"
#include "promptcrashlog.h"
#include "types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// Returns nothing for a line that is truncated or not a log event.
std::optional<LogEvent> parseLogEvent(std::string_view line);

// Describes what a problem of request_ended, or a reason of request_refused, means for the request.
std::string_view descriptionOfProblem(std::string_view problem);

class RequestReport
{
public:
    explicit RequestReport(std::string requestId) : m_requestId(std::move(requestId)) { }

    // Adds a line of one source; lines of a source must be added in their order.
    void addLine(const std::string &source, std::string_view line);

    bool found() const;

    // The report: one line for each event, with its time relative to the request's last line.
    std::string text() const;

private:
    struct Source
    {
        std::vector<LogEvent> requestEvents; // events that name the request
        std::vector<LogEvent> contextEvents; // other events that may concern it
        std::size_t truncatedLines = 0;      // with the id of the request
    };

    std::string sourceText(const std::string &name, const Source &source) const;

    std::string m_requestId;
    std::map<std::string, Source> m_sources; // by the source's name
    PromptCrashLog m_promptCrashes;          // of all sources
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTREPORT_H
