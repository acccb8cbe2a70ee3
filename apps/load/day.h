// A day of traffic: short requests in the morning, long ones in the evening, a few large
// organisations and many small ones. It is generated from a seed or read from a recording.

#ifndef CORNELSHED_LOAD_DAY_H
#define CORNELSHED_LOAD_DAY_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelshed::load {

enum class RequestKind { Whole, Stream, Order };

struct PlannedRequest
{
    std::chrono::milliseconds offset {}; // from the start of the run
    std::string tier;                    // label for the counts
    std::string organisation;
    std::string path;
    RequestKind kind = RequestKind::Whole;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t deadlineMs = 0;
    std::uint32_t sharedPrefix = 0; // requests with the same number share half of their prompt

    bool operator==(const PlannedRequest &) const = default;
};

using Day = std::vector<PlannedRequest>; // ordered by offset

struct DayOrganisation
{
    std::string name;
    std::string tier;
    double weight = 1; // share of the requests
};

struct DayOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds length {20000}; // the whole day is compressed into this time
    double startHour = 0;                     // hour of the day at which the run starts
    double meanRequestsPerSecond = 50;        // over the whole day
    double orderShare = 0.1;
    double streamShare = 0.5;                // of the completions
    std::uint32_t shortestPromptTokens = 16; // the longest is a hundred times as long
    std::uint32_t shortestOutputTokens = 2;  // the longest is a hundred times as long
    std::uint32_t deadlineMs = 5000;
    std::string orderPath = "/orders"; // empty: no orders
    std::vector<DayOrganisation> organisations;
};

Day generateDay(const DayOptions &options);

// Recording: one request in a line, "offset_ms tier organisation path kind prompt_tokens
// output_tokens deadline_ms shared_prefix" with kind whole, stream or order; # starts a comment.
std::string formatDay(const Day &day);

// Throws std::invalid_argument with the line number of a malformed line.
Day parseDay(const std::string &text);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_DAY_H
