// Synthetic workload with the pattern of one day: mostly short requests in the morning and long
// ones in the evening, from a few large organisations and many small ones. A day is generated from
// a seed or read from a recorded file.

#ifndef CORNELSHED_LOAD_DAY_H
#define CORNELSHED_LOAD_DAY_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelshed::load {

enum class RequestKind {
    NonStreaming, // completion that is answered with a single body
    Streaming,    // completion that is answered with server-sent events
    Order         // request to the plain service, sent with an idempotency key
};

struct PlannedRequest
{
    // From the start of the run, before division by LoadOptions::compression.
    std::chrono::milliseconds offset {};
    std::string tier; // outcomes are counted per tier
    std::string organisation;
    std::string path;
    RequestKind kind = RequestKind::NonStreaming;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t deadlineMs = 0;
    // Requests with the same id share the first half of their prompt.
    std::uint32_t sharedPrefixId = 0;

    bool operator==(const PlannedRequest &) const = default;
};

using Day = std::vector<PlannedRequest>; // in ascending order of offset

struct DayOrganisation
{
    std::string name;
    std::string tier;
    double weight = 1; // share of the requests, relative to the other organisations
};

struct DayOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds length {20000}; // 24 hours are compressed into this duration
    double startHour = 0;                     // time of day at which the run starts, 0 to 24
    double meanRequestsPerSecond = 50;        // averaged over the 24 hours
    double orderShare = 0.1;                  // of all requests
    double streamShare = 0.5;                 // of the completions
    std::uint32_t shortestPromptTokens = 16;  // the longest prompt has 100 times as many
    std::uint32_t shortestOutputTokens = 2;   // the longest output has 100 times as many
    std::uint32_t deadlineMs = 5000;
    std::string orderPath = "/orders"; // empty: no orders are generated
    std::vector<DayOrganisation> organisations;
};

// The same options always generate the same day.
Day generateDay(const DayOptions &options);

// Writes a day as text, one request per line: "offset_ms tier organisation path kind prompt_tokens
// output_tokens deadline_ms shared_prefix". The kind is whole, stream or order; # starts a comment.
std::string formatDay(const Day &day);

// Reads the format of formatDay() and sorts the requests by offset. Throws std::invalid_argument
// with the line number of a malformed line.
Day parseDay(const std::string &text);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_DAY_H
