// Guards against a report that misses the events that decided the outcome of a request, contains
// lines of another request, or stops at a truncated line.

#include "requestreport.h"
#include "operatorcommands.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

std::string logLine(const std::string &time, const std::string &rest)
{
    return "time=2026-09-15T16:57:" + time + "Z level=info " + rest;
}

const std::string requestId = "f13b9661d579e70f";

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a line of key=value pairs is parsed, with a prefix and quoted values")
{
    const auto event =
            parseLogEvent("   9.8678 edge-a-1 "
                          + logLine("54.867", "event=rollout_step reason=\"all moved\" a=1"));
    REQUIRE(event);
    CHECK(event->name == "rollout_step");
    CHECK(event->time % 1min == 54867ms);
    CHECK(event->fields.at("reason") == "all moved");
    CHECK(event->text == " reason=all moved a=1");
    CHECK_FALSE(parseLogEvent("event=no_time a=1"));
    CHECK_FALSE(parseLogEvent(logLine("54.867", "event=torn reason=\"all mov")));
    CHECK_FALSE(parseLogEvent("time=yesterday event=a"));
}

TEST_CASE("a refused prompt: the crashes that convicted it, from the logs of all gateways, and no "
          "other request that was cut with the same server")
{
    RequestReport account(requestId);
    const auto cut = [](const char *request, const char *backend, int crash, int content) {
        return "event=attempt_cut request=" + std::string(request) + " backend=" + backend
                + " shared_parts=aa last_part=c1 content=" + std::to_string(content)
                + " crash=" + std::to_string(crash);
    };
    account.addLine("g", logLine("10.000", cut("r-1", "i-1", 501, 77)));
    account.addLine("g", logLine("10.001", cut("beside", "i-1", 501, 78)));
    account.addLine("h", logLine("10.300", cut("r-2", "i-2", 502, 77)));
    account.addLine("g",
                    logLine("11.000",
                            "event=prompt_quarantined part=77 kind=whole length_ms=60000 "
                            "crashes=501@-1000,502@-700,503@-2"));
    account.addLine(
            "g",
            logLine("30.000", "event=prompt_refused request=" + requestId + " part=77 kind=whole"));
    account.addLine("g",
                    logLine("30.000",
                            "event=request_refused request=" + requestId
                                    + " status=503 reason=prompt_quarantined"));
    const std::string text = account.text();
    CHECK(has(text, "its prompt, or a part of it, has crashed several backend servers"));
    CHECK(has(text, "g: attempt_cut request=r-1 backend=i-1"));
    CHECK(has(text, "h: attempt_cut request=r-2 backend=i-2"));
    CHECK(has(text, "crash 503@-2: its gateway's log is not among these"));
    CHECK_FALSE(has(text, "beside"));
}

TEST_CASE("a refusal over an allowance: its inputs, and when the caller may retry")
{
    RequestReport account(requestId);
    account.addLine("g", logLine("10.000", "event=allowance_changed organisation=acme"));
    account.addLine("g", logLine("52.000", "event=allowance_changed organisation=acme rank=1"));
    account.addLine("g", logLine("52.500", "event=allowance_changed organisation=bolt rank=1"));
    account.addLine("g",
                    logLine("54.866",
                            "event=allowance_exceeded request=" + requestId
                                    + " organisation=acme cost=3024 left=1327.7"));
    account.addLine("g", logLine("54.866", "event=request_refused request=other status=404"));
    account.addLine("g",
                    logLine("54.867",
                            "event=request_refused request=" + requestId
                                    + " status=429 reason=allowance retry_after_ms=270"));
    account.addLine("h", logLine("54.867", "event=request_ended request=other status=200"));
    REQUIRE(account.found());
    const std::string text = account.text();
    CHECK(has(text, "-2867 ms allowance_changed organisation=acme rank=1"));
    CHECK(has(text, "-1 ms allowance_exceeded request=" + requestId));
    CHECK(has(text,
              "the caller got 429: its organisation had used up its allowance; it has not "
              "run; told to retry after 270 ms"));
    CHECK_FALSE(has(text, "bolt"));
    CHECK_FALSE(has(text, "other"));
    CHECK_FALSE(has(text, "h:"));
}

TEST_CASE("a truncated answer: the attempt, the backend server's removal and the silent peer")
{
    RequestReport account(requestId);
    account.addLine("g", logLine("20.000", "event=store_lost table=orders"));
    account.addLine("g", logLine("31.200", "event=peer_silent peer=g-2"));
    account.addLine("g",
                    logLine("31.900",
                            "event=attempt_repeated request=" + requestId
                                    + " backend=i-7 problem=connection_cut"));
    account.addLine("g", logLine("32.000", "event=backend_gone backend=i-7"));
    account.addLine("g", logLine("32.000", "event=backend_gone backend=i-8"));
    account.addLine("g",
                    logLine("32.100",
                            "event=request_ended request=" + requestId
                                    + " status=502 problem=connection_cut "
                                      "total_ms=800 backend=i-9"));
    account.addLine("g", logLine("33.000", "event=peer_heard peer=g-2"));
    const std::string text = account.text();
    CHECK(has(text, "-100 ms backend_gone backend=i-7"));
    CHECK(has(text, "-900 ms peer_silent peer=g-2"));
    CHECK(has(text, "the caller got 502: the backend server broke the connection"));
    CHECK_FALSE(has(text, "i-8"));
    CHECK_FALSE(has(text, "store_lost"));
    CHECK_FALSE(has(text, "peer_heard"));
}

// An operator would look for full servers where all of them asked for a pause.
TEST_CASE("a request that got no backend server: what kept it from each, by cause")
{
    RequestReport account(requestId);
    account.addLine("g",
                    logLine("54.867",
                            "event=request_ended request=" + requestId
                                    + " status=503 problem=backends_paused backend=\"\" "
                                      "kept_from=leaving:1,paused:3 total_ms=1"));
    CHECK(has(account.text(),
              "the caller got 503: all backend servers of its service asked for a pause"));
    CHECK(has(account.text(), "numbers of backend servers: leaving:1,paused:3"));
}

TEST_CASE("truncated lines are counted, and a missing end of the request is reported")
{
    RequestReport account(requestId);
    account.addLine(
            "g", logLine("31.900", "event=attempt_silent request=" + requestId + " backend=i-7"));
    account.addLine("g",
                    "time=2026-09-15T16:57:32.000Z event=request_ended request=" + requestId
                            + " problem=\"back");
    CHECK(has(account.text(), "1 truncated lines"));
    CHECK(has(account.text(), "its end is not in this log"));
}

TEST_CASE("property: no input stops the report")
{
    CHECK(rc::check([](const std::vector<std::string> &lines) {
        RequestReport account("r");
        for (const std::string &it : lines)
            account.addLine("g", it + "request=r time=2026-");
        account.text();
    }));
}

TEST_CASE("each problem that the gateway names has a description")
{
    std::ifstream file(CORNELSHED_SOURCE_DIR "/src/gatewayexchange.cpp");
    const std::string code {std::istreambuf_iterator<char>(file), {}};
    // Statements that set the problem, and the names of connection errors.
    const std::regex statement(R"re(m_problem =[^;]*;|return "[a-z_]+";)re");
    const std::regex quoted(R"re("([a-z_]+)")re");
    std::set<std::string> problems;
    for (std::sregex_iterator it(code.begin(), code.end(), statement), end; it != end; ++it) {
        const std::string text = it->str();
        for (std::sregex_iterator name(text.begin(), text.end(), quoted); name != end; ++name)
            problems.insert((*name)[1]);
    }
    CHECK(problems.contains("caller_left"));
    CHECK(problems.contains("connection_cut"));
    CHECK(problems.contains("waited_too_long"));
    const auto unknown = descriptionOfProblem("nothing of the kind");
    for (const std::string &it : problems) {
        CAPTURE(it);
        if (it != "unknown")
            CHECK(descriptionOfProblem(it) != unknown);
    }
}

TEST_CASE("the command reads standard input, and fails when no line names the request")
{
    std::ostringstream out;
    std::ostringstream errors;
    OperatorCommands commands(out, errors);
    std::istringstream input(logLine("1.000", "event=request_ended") + '\n'
                             + logLine("01.000",
                                       "event=request_ended request=" + requestId
                                               + " status=200 problem=\"\" total_ms=5"));
    CHECK(commands.explain(requestId, {}, input) == ExitStatus::Success);
    CHECK(has(out.str(), "answered with 200"));
    std::istringstream empty;
    CHECK(commands.explain(requestId, {"-"}, empty) == ExitStatus::InvalidInput);
    CHECK(commands.explain(requestId, {"/does/not/exist"}, empty) == ExitStatus::InvalidInput);
}
