// Guards the load tool's judgement, on which the process tests and the demonstration rely: a
// duplicate, a mixed-up or a truncated answer that is not counted would let them pass wrongly.

#include "answertext.h"
#include "day.h"
#include "replycheck.h"
#include "tally.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cornelshed::load;
using cornelshed::standins::answerToken;
using cornelshed::standins::HttpClientReply;
using cornelshed::standins::HttpTransport;

namespace {

std::string event(const std::string &requestId, const std::string &marker, std::uint64_t n)
{
    return "data: {\"id\":\"cmpl-" + requestId + "\",\"choices\":[{\"index\":0,\"text\":\""
            + answerToken(requestId, marker, n) + "\"}]}\n\n";
}

Outcome judgeStream(const std::string &body, HttpTransport transport = HttpTransport::Complete)
{
    PlannedRequest request;
    request.kind = RequestKind::Stream;
    request.outputTokens = 2;
    HttpClientReply reply;
    reply.transport = transport;
    reply.status = 200;
    reply.body = body;
    return judgeReply(request, "m", "", reply).outcome;
}

Outcome judgeStatus(unsigned status, const std::string &type, const std::string &outcome)
{
    HttpClientReply reply;
    reply.transport = HttpTransport::Complete;
    reply.status = status;
    reply.outcome = outcome;
    reply.body = R"({"error":{"type":")" + type + R"(","code":"c"}})";
    return judgeReply({}, "m", "", reply).outcome;
}

TierTally audited(const RequestRecord &record, const std::vector<LedgerRow> &ledger)
{
    Tally tally = countRecords({record});
    auditRecords(tally, {record}, ledger);
    return tally.tiers.at(record.tier);
}

} // namespace

TEST_CASE("streams are whole, truncated, mixed up, unknown, broken or lost")
{
    const std::string done = "data: [DONE]\n\n";
    const std::string whole = event("r", "m", 0) + event("r", "m", 1);
    CHECK(judgeStream(whole + done) == Outcome::InTime);
    CHECK(judgeStream(whole) == Outcome::Truncated);
    CHECK(judgeStream(event("r", "m", 0) + done) == Outcome::Truncated);
    CHECK(judgeStream(event("r", "n", 0) + event("r", "n", 1) + done) == Outcome::MixedUp);
    CHECK(judgeStream(event("r", "m", 0) + event("s", "m", 1) + done) == Outcome::MixedUp);
    CHECK(judgeStream(event("r", "m", 0) + "event: error\ndata: {}\n\n") == Outcome::Unknown);
    CHECK(judgeStream(whole + done, HttpTransport::Broken) == Outcome::Broken);
    CHECK(judgeStream(whole + done, HttpTransport::TimedOut) == Outcome::Lost);
}

TEST_CASE("errors are told apart by their type and outcome header")
{
    CHECK(judgeStatus(503, "not_run", "not_run") == Outcome::NotRun);
    CHECK(judgeStatus(502, "outcome_unknown", "unknown") == Outcome::Unknown);
    CHECK(judgeStatus(500, "server", "answered") == Outcome::ServerError);
    CHECK(judgeStatus(400, "invalid_request", "not_run") == Outcome::Rejected);
}

TEST_CASE("an order is checked for its marker and key")
{
    PlannedRequest request;
    request.kind = RequestKind::Order;
    HttpClientReply reply;
    reply.transport = HttpTransport::Complete;
    reply.status = 200;
    reply.body = R"({"marker":"m","idempotency_key":"k"})";
    CHECK(judgeReply(request, "m", "k", reply).outcome == Outcome::InTime);
    CHECK(judgeReply(request, "m", "l", reply).outcome == Outcome::MixedUp);
    CHECK(judgeReply(request, "n", "k", reply).outcome == Outcome::MixedUp);
}

TEST_CASE("the audit counts duplicates, false refusals and answers without a run")
{
    RequestRecord record;
    record.tier = "gold";
    record.marker = "m";
    record.outcome = Outcome::InTime;
    CHECK(audited(record, {{"", "m", 1}}).duplicates == 0);
    CHECK(audited(record, {{"", "m", 1}, {"", "m", 1}}).duplicates == 1);
    CHECK(audited(record, {{"", "other", 1}}).unrecorded == 1);
    record.outcome = Outcome::NotRun;
    record.claimsNotRun = true;
    CHECK(audited(record, {}).falseNotRun == 0);
    CHECK(audited(record, {{"", "m", 1}}).falseNotRun == 1);
    record.idempotencyKey = "k";
    CHECK(audited(record, {{"k", "m", 2}}).duplicates == 1);
}

TEST_CASE("a day is the same for a seed, has two peaks and lengths a hundredfold apart")
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

TEST_CASE("a malformed recording is refused with its line")
{
    CHECK_THROWS_WITH(parseDay("# comment\n1 gold a /p whole 1 1 1 1\n2 gold a /p half 1 1 1 1\n"),
                      "line 3: malformed request");
}
