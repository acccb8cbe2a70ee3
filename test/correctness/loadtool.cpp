// Guards against faults that the load tool does not count. The process tests and the demonstration
// rely on its counts: a missed duplicate, mixed-up answer or truncated answer would let them pass.

#include "completiontext.h"
#include "day.h"
#include "replycheck.h"
#include "tally.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cornelshed::load;
using cornelshed::standins::completionToken;
using cornelshed::standins::HttpClientResponse;
using cornelshed::standins::HttpTransportResult;

namespace {

std::string completionEvent(const std::string &requestId, const std::string &marker,
                            std::uint64_t n)
{
    return "data: {\"id\":\"cmpl-" + requestId + "\",\"choices\":[{\"index\":0,\"text\":\""
            + completionToken(requestId, marker, n) + "\"}]}\n\n";
}

Outcome classifyStream(const std::string &body,
                       HttpTransportResult transport = HttpTransportResult::Complete)
{
    PlannedRequest request;
    request.kind = RequestKind::Streaming;
    request.outputTokens = 2;
    HttpClientResponse reply;
    reply.transport = transport;
    reply.status = 200;
    reply.body = body;
    return classifyReply(request, "m", "", reply).outcome;
}

Outcome classifyErrorStatus(unsigned status, const std::string &type, const std::string &outcome)
{
    HttpClientResponse reply;
    reply.transport = HttpTransportResult::Complete;
    reply.status = status;
    reply.outcome = outcome;
    reply.body = R"({"error":{"type":")" + type + R"(","code":"c"}})";
    return classifyReply({}, "m", "", reply).outcome;
}

TierTally auditedTally(const RequestRecord &record, const std::vector<LedgerRow> &ledger)
{
    Tally tally = countRecords({record});
    auditRecords(tally, {record}, ledger);
    return tally.tiers.at(record.tier);
}

} // namespace

TEST_CASE("a stream is classified as in time, truncated, mixed up, unknown, broken or lost")
{
    const std::string done = "data: [DONE]\n\n";
    const std::string whole = completionEvent("r", "m", 0) + completionEvent("r", "m", 1);
    CHECK(classifyStream(whole + done) == Outcome::InTime);
    CHECK(classifyStream(whole) == Outcome::Truncated);
    CHECK(classifyStream(completionEvent("r", "m", 0) + done) == Outcome::Truncated);
    CHECK(classifyStream(completionEvent("r", "n", 0) + completionEvent("r", "n", 1) + done)
          == Outcome::MixedUp);
    CHECK(classifyStream(completionEvent("r", "m", 0) + completionEvent("s", "m", 1) + done)
          == Outcome::MixedUp);
    CHECK(classifyStream(completionEvent("r", "m", 0) + "event: error\ndata: {}\n\n")
          == Outcome::Unknown);
    CHECK(classifyStream(whole + done, HttpTransportResult::Broken) == Outcome::Broken);
    CHECK(classifyStream(whole + done, HttpTransportResult::TimedOut) == Outcome::Lost);
}

TEST_CASE("an error reply is classified by its type and outcome header")
{
    CHECK(classifyErrorStatus(503, "not_run", "not_run") == Outcome::NotRun);
    CHECK(classifyErrorStatus(502, "outcome_unknown", "unknown") == Outcome::Unknown);
    CHECK(classifyErrorStatus(500, "server", "answered") == Outcome::ServerError);
    CHECK(classifyErrorStatus(400, "invalid_request", "not_run") == Outcome::Rejected);
}

TEST_CASE("an order's answer must have its marker and idempotency key")
{
    PlannedRequest request;
    request.kind = RequestKind::Order;
    HttpClientResponse reply;
    reply.transport = HttpTransportResult::Complete;
    reply.status = 200;
    reply.body = R"({"marker":"m","idempotency_key":"k"})";
    CHECK(classifyReply(request, "m", "k", reply).outcome == Outcome::InTime);
    CHECK(classifyReply(request, "m", "l", reply).outcome == Outcome::MixedUp);
    CHECK(classifyReply(request, "n", "k", reply).outcome == Outcome::MixedUp);
}

TEST_CASE("the audit counts duplicates, false reports of not run and answers without a run")
{
    RequestRecord record;
    record.tier = "gold";
    record.marker = "m";
    record.outcome = Outcome::InTime;
    CHECK(auditedTally(record, {{"", "m", 1}}).duplicates == 0);
    CHECK(auditedTally(record, {{"", "m", 1}, {"", "m", 1}}).duplicates == 1);
    CHECK(auditedTally(record, {{"", "other", 1}}).unrecorded == 1);
    record.outcome = Outcome::NotRun;
    record.reportedNotRun = true;
    CHECK(auditedTally(record, {}).falseNotRun == 0);
    CHECK(auditedTally(record, {{"", "m", 1}}).falseNotRun == 1);
    record.idempotencyKey = "k";
    CHECK(auditedTally(record, {{"k", "m", 2}}).duplicates == 1);
}

TEST_CASE("a day is the same for a seed, has two peaks and prompts 100 times as long as others")
{
    DayOptions options;
    options.length = std::chrono::seconds(240);
    options.organisations = {{"large", "gold", 9}, {"small", "bronze", 1}};
    const Day day = generateDay(options);
    CHECK(generateDay(options) == day);
    CHECK(parseDay(formatDay(day)) == day);
    const double expected = options.meanRequestsPerSecond * 240;
    CHECK(static_cast<double>(day.size()) == doctest::Approx(expected).epsilon(0.1));
    const auto countHour = [&](int hour) {
        return std::count_if(day.begin(), day.end(), [hour](const PlannedRequest &it) {
            return it.offset / std::chrono::seconds(10) == hour;
        });
    };
    CHECK(countHour(9) > 2 * countHour(14));
    CHECK(countHour(19) > 2 * countHour(14));
    const auto [shortest, longest] =
            std::minmax_element(day.begin(), day.end(), [](const auto &a, const auto &b) {
                return a.promptTokens < b.promptTokens;
            });
    CHECK(longest->promptTokens >= 90 * shortest->promptTokens);
}

TEST_CASE("parsing a malformed recording fails with the line number")
{
    CHECK_THROWS_WITH(parseDay("# comment\n1 gold a /p whole 1 1 1 1\n2 gold a /p half 1 1 1 1\n"),
                      "line 3: malformed request");
}
