// Parses log lines, selects those relevant to a request and describes its outcome.

#include "requestreport.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <set>
#include <utility>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// State changes of the gateway within this time before the request's arrival are included.
constexpr Duration contextPeriod = 5s;

// Events of a gateway that may concern any request.
constexpr std::array<std::string_view, 13> gatewayEvents {"started",
                                                          "signal",
                                                          "shutdown_started",
                                                          "reloaded",
                                                          "store_lost",
                                                          "store_regained",
                                                          "peer_silent",
                                                          "peer_heard",
                                                          "zone_withdrawn",
                                                          "order_removed",
                                                          "rollout_step",
                                                          "log_lines_dropped",
                                                          "configuration_applied"};

// Events, and the field whose value must equal that of the same field in a line of the request.
constexpr std::array<std::pair<std::string_view, std::string_view>, 5> relatedEvents {
        {{"backend_listed", "backend"},
         {"backend_gone", "backend"},
         {"backend_leaving", "backend"},
         {"backend_paused", "backend"},
         {"allowance_changed", "organisation"}}};

struct ProblemDescription
{
    std::string_view problem; // problem of request_ended, or reason of request_refused
    std::string_view description;
};

constexpr std::array<ProblemDescription, 33> problemDescriptions {{
        {"allowance", "its organisation had used up its allowance; it has not run"},
        {"no_route", "no route of the configuration in force matches it; it has not run"},
        {"unknown_key",
         "no organisation of the configuration in force has its key; it has not run"},
        {"stale_configuration",
         "the gateway could not prove its configuration fresh enough for keys; it has not run"},
        {"unconfigured", "the gateway had no configuration yet; it has not run"},
        {"malformed_header", "its headers are malformed; it has not run"},
        {"queue_too_long", "too many requests were queued when it arrived; it has not run"},
        {"waited_too_long",
         "no backend server had room for it within its waiting limit; see the field ran for "
         "earlier attempts"},
        {"no_backend",
         "its service had no backend server that it could be sent to within its waiting limit; see "
         "the field ran for earlier attempts"},
        {"backends_paused",
         "all backend servers of its service asked for a pause; see the field ran for earlier "
         "attempts"},
        {"prompt_quarantined", "its prompt, or a part of it, has crashed several backend servers"},
        {"deadline", "its time limit passed"},
        {"caller_left", "the caller closed the connection"},
        {"silent", "the backend server sent nothing within the expected time"},
        {"connection_cut", "the backend server broke the connection; it may have run there"},
        {"no_connection", "the backend server could not be reached; it has not run there"},
        {"connection_refused",
         "nothing listened at the backend server's address; it has not run there"},
        {"backend_error", "the backend server answered with an error"},
        {"answer_not_authentic",
         "the backend server's answer was not authentic; it was not passed on"},
        {"event_cut", "the backend server's stream ended inside an event or before the first one"},
        {"answer_too_large",
         "the backend server's answer exceeded a limit of the gateway's memory"},
        {"events_out_of_order", "the backend server's events had gaps or repeats"},
        {"stream_not_resumed",
         "the next backend server's answer did not continue the stream that had begun"},
        {"malformed_answer", "the backend server's answer was not valid HTTP"},
        {"timed_out", "the backend server gave no answer in time; it may have run there"},
        {"abandoned", "the gateway abandoned the attempt"},
        {"misdirected", "another backend server has the address; it has not run there"},
        {"backend_full", "the backend server refused it; it has not run there"},
        {"shutdown", "the gateway was stopped before the answer was complete"},
        {"request_timeout", "it was not received completely in time; it has not run"},
        {"body_too_large", "its body is larger than the limit; it has not run"},
        {"header_too_large", "its headers are larger than the limit; it has not run"},
        {"malformed_request", "it is not valid HTTP; it has not run"},
}};

} // namespace

std::string_view descriptionOfProblem(std::string_view problem)
{
    for (const ProblemDescription &it : problemDescriptions) {
        if (it.problem == problem)
            return it.description;
    }
    return "no description available for this problem";
}

namespace {

bool isKeyCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || c == '_' || (c >= '0' && c <= '9');
}

// Returns the next key=value pair from the position on, and moves the position past it. Values may
// be quoted. Returns nothing at the end of the line, or if a quoted value is truncated; only in the
// latter case the position stays before the end of the line.
std::optional<std::pair<std::string, std::string>> nextPair(std::string_view line,
                                                            std::size_t &position)
{
    while (position < line.size()) {
        std::size_t at = position;
        while (at < line.size() && isKeyCharacter(line[at]))
            ++at;
        if (at == position || at >= line.size() || line[at] != '=') {
            // Not a pair: continue with the next word.
            const std::size_t space = line.find(' ', position);
            position = space == std::string_view::npos ? line.size() : space + 1;
            continue;
        }
        const std::string key(line.substr(position, at - position));
        ++at;
        std::size_t end = 0;
        std::string value;
        if (at < line.size() && line[at] == '"') {
            end = line.find('"', at + 1);
            if (end == std::string_view::npos)
                return std::nullopt; // truncated
            value = line.substr(at + 1, end - at - 1);
            ++end;
        } else {
            end = std::min(line.find(' ', at), line.size());
            value = line.substr(at, end - at);
        }
        position = std::min(end + 1, line.size());
        return std::pair {key, value};
    }
    return std::nullopt;
}

std::optional<int> parseNumber(std::string_view text, std::size_t from, std::size_t count)
{
    int value = 0;
    if (from + count > text.size())
        return std::nullopt;
    const char *end = text.data() + from + count;
    const auto [rest, ec] = std::from_chars(text.data() + from, end, value);
    return ec == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

// Parses a time such as 2026-09-15T16:57:54.867Z; returns the time since 1970.
std::optional<Duration> parseTime(std::string_view text)
{
    const auto year = parseNumber(text, 0, 4);
    const auto month = parseNumber(text, 5, 2);
    const auto day = parseNumber(text, 8, 2);
    const auto hour = parseNumber(text, 11, 2);
    const auto minute = parseNumber(text, 14, 2);
    const auto second = parseNumber(text, 17, 2);
    const auto millisecond = parseNumber(text, 20, 3);
    if (!year || !month || !day || !hour || !minute || !second || !millisecond)
        return std::nullopt;
    const std::chrono::year_month_day date {std::chrono::year(*year),
                                            std::chrono::month(static_cast<unsigned>(*month)),
                                            std::chrono::day(static_cast<unsigned>(*day))};
    if (!date.ok())
        return std::nullopt;
    const auto days = std::chrono::sys_days(date).time_since_epoch();
    return days + std::chrono::hours(*hour) + std::chrono::minutes(*minute)
            + std::chrono::seconds(*second) + std::chrono::milliseconds(*millisecond);
}

bool isGatewayEvent(const LogEvent &event)
{
    return std::find(gatewayEvents.begin(), gatewayEvents.end(), event.name) != gatewayEvents.end();
}

// Whether an event concerns a backend server or an organisation that a line of the request names.
bool isRelated(const LogEvent &event, const std::vector<LogEvent> &requestEvents)
{
    for (const auto &[name, key] : relatedEvents) {
        if (event.name != name)
            continue;
        const std::string field(key);
        const std::string value = event.field(field);
        return std::any_of(requestEvents.begin(), requestEvents.end(),
                           [&](const LogEvent &it) { return it.field(field) == value; });
    }
    return false;
}

// Describes the outcome of the request by its last line.
std::string summaryOf(const LogEvent &last)
{
    const bool refused = last.name == "request_refused";
    const std::string status = last.field("status");
    const std::string problem = last.field(refused ? "reason" : "problem");
    if (!refused && last.name != "request_ended")
        return "its end is not in this log";
    if (!status.empty() && status[0] == '2')
        return "answered with " + status
                + (problem.empty() ? std::string() : " after an attempt that failed: ")
                + (problem.empty() ? std::string() : std::string(descriptionOfProblem(problem)));
    const std::string outcome =
            status == "0" ? "its connection was closed" : "the caller got " + status;
    std::string sentence = outcome + ": " + std::string(descriptionOfProblem(problem));
    const std::string causes = last.field("kept_from");
    if (!causes.empty())
        sentence += "; it was kept from these numbers of backend servers: " + causes;
    const std::string wait = last.field("retry_after_ms");
    if (!wait.empty() && wait[0] != '-')
        sentence += "; told to retry after " + wait + " ms";
    return sentence;
}

} // namespace

std::optional<LogEvent> parseLogEvent(std::string_view line)
{
    LogEvent event;
    bool hasTime = false;
    std::size_t position = 0;
    while (const auto pair = nextPair(line, position)) {
        const auto &[key, value] = *pair;
        if (key == "event") {
            event.name = value;
        } else if (key == "time") {
            const auto time = parseTime(value);
            hasTime = time.has_value();
            event.time = time.value_or(Duration::zero());
        } else if (key != "level") {
            event.fields[key] = value;
            event.text.append(1, ' ').append(key).append(1, '=').append(value);
        }
    }
    const bool complete = position >= line.size();
    return complete && hasTime && !event.name.empty() ? std::optional(std::move(event))
                                                      : std::nullopt;
}

void RequestReport::addLine(const std::string &source, std::string_view line)
{
    const auto event = parseLogEvent(line);
    const bool mentionsRequest = line.find(m_requestId) != std::string_view::npos;
    if (!event) {
        if (mentionsRequest)
            ++m_sources[source].truncatedLines;
        return;
    }
    m_promptCrashes.add(source, *event);
    if (event->field("request") == m_requestId) {
        m_sources[source].requestEvents.push_back(*event);
        return;
    }
    const bool related = std::any_of(relatedEvents.begin(), relatedEvents.end(),
                                     [&](const auto &it) { return it.first == event->name; });
    if (related || isGatewayEvent(*event))
        m_sources[source].contextEvents.push_back(*event);
}

bool RequestReport::found() const
{
    return std::any_of(m_sources.begin(), m_sources.end(), [](const auto &it) {
        return !it.second.requestEvents.empty() || it.second.truncatedLines > 0;
    });
}

std::string RequestReport::text() const
{
    std::string text = "request " + m_requestId + '\n';
    for (const auto &[name, source] : m_sources) {
        if (!source.requestEvents.empty() || source.truncatedLines > 0)
            text += sourceText(name, source);
    }
    return text;
}

std::string RequestReport::sourceText(const std::string &name, const Source &source) const
{
    std::string text = name + ":\n";
    if (source.truncatedLines > 0)
        text += "  " + std::to_string(source.truncatedLines) + " truncated lines contain its id\n";
    if (source.requestEvents.empty())
        return text;
    const LogEvent &last = source.requestEvents.back();
    Duration arrival = source.requestEvents.front().time;
    if (const std::string total = last.field("total_ms"); !total.empty()) {
        std::int64_t ms = 0;
        std::from_chars(total.data(), total.data() + total.size(), ms);
        arrival = std::min(arrival, last.time - std::chrono::milliseconds(ms));
    }
    std::vector<LogEvent> events = source.requestEvents;
    for (const LogEvent &it : source.contextEvents) {
        const bool inPeriod = it.time >= arrival - contextPeriod && it.time <= last.time;
        if (inPeriod && (isGatewayEvent(it) || isRelated(it, source.requestEvents)))
            events.push_back(it);
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const LogEvent &a, const LogEvent &b) { return a.time < b.time; });
    for (const LogEvent &it : events) {
        const auto ms = (it.time - last.time) / 1ms;
        const bool namesRequest = it.field("request") == m_requestId;
        text += (namesRequest ? "  " : "    ") + std::to_string(ms) + " ms " + it.name + it.text
                + '\n';
    }
    text += "  " + summaryOf(last) + '\n';
    for (const LogEvent &it : source.requestEvents) {
        if (it.name == "prompt_refused")
            text += m_promptCrashes.text(name, it);
    }
    return text;
}

} // namespace cornelshed
