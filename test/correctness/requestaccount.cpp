// Guards against an account that misses what decided about a request, takes in another request's
// lines, or stops at a torn line.

#include "requestaccount.h"
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

std::string at(const std::string &time, const std::string &rest)
{
    return "time=2026-09-15T16:57:" + time + "Z level=info " + rest;
}

const std::string id = "f13b9661d579e70f";

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a line of key=value pairs, with a prefix and quoted values")
{
    const auto event = parseLogEvent("   9.8678 edge-a-1 "
                                     + at("54.867", "event=rollout_step reason=\"all moved\" a=1"));
    REQUIRE(event);
    CHECK(event->name == "rollout_step");
    CHECK(event->time % 1min == 54867ms);
    CHECK(event->fields.at("reason") == "all moved");
    CHECK(event->text == " reason=all moved a=1");
    CHECK_FALSE(parseLogEvent("event=no_time a=1"));
    CHECK_FALSE(parseLogEvent(at("54.867", "event=torn reason=\"all mov")));
    CHECK_FALSE(parseLogEvent("time=yesterday event=a"));
}

TEST_CASE("a refusal for an allowance: the deciding inputs, and when the caller may return")
{
    RequestAccount account(id);
    account.addLine("g", at("10.000", "event=allowance_changed organisation=acme"));
    account.addLine("g", at("52.000", "event=allowance_changed organisation=acme rank=1"));
    account.addLine("g", at("52.500", "event=allowance_changed organisation=bolt rank=1"));
    account.addLine("g",
                    at("54.866",
                       "event=allowance_exceeded request=" + id
                               + " organisation=acme cost=3024 left=1327.7"));
    account.addLine("g", at("54.866", "event=request_refused request=other status=404"));
    account.addLine("g",
                    at("54.867",
                       "event=request_refused request=" + id
                               + " status=429 reason=allowance retry_after_ms=270"));
    account.addLine("h", at("54.867", "event=request_ended request=other status=200"));
    REQUIRE(account.found());
    const std::string text = account.text();
    CHECK(has(text, "-2867 ms allowance_changed organisation=acme rank=1"));
    CHECK(has(text, "-1 ms allowance_exceeded request=" + id));
    CHECK(has(text,
              "the caller got 429: its organisation had used up its allowance; it has not "
              "run; told to come back after 270 ms"));
    CHECK_FALSE(has(text, "bolt"));
    CHECK_FALSE(has(text, "other"));
    CHECK_FALSE(has(text, "h:"));
}

TEST_CASE("a cut answer: the attempt, the backend server's end and the outage around it")
{
    RequestAccount account(id);
    account.addLine("g", at("20.000", "event=store_lost table=orders"));
    account.addLine("g", at("31.200", "event=peer_silent peer=g-2"));
    account.addLine(
            "g",
            at("31.900",
               "event=attempt_repeated request=" + id + " backend=i-7 problem=connection_cut"));
    account.addLine("g", at("32.000", "event=backend_gone backend=i-7"));
    account.addLine("g", at("32.000", "event=backend_gone backend=i-8"));
    account.addLine("g",
                    at("32.100",
                       "event=request_ended request=" + id
                               + " status=502 problem=connection_cut "
                                 "total_ms=800 backend=i-9"));
    account.addLine("g", at("33.000", "event=peer_heard peer=g-2"));
    const std::string text = account.text();
    CHECK(has(text, "-100 ms backend_gone backend=i-7"));
    CHECK(has(text, "-900 ms peer_silent peer=g-2"));
    CHECK(has(text, "the caller got 502: the backend server broke the connection"));
    CHECK_FALSE(has(text, "i-8"));
    CHECK_FALSE(has(text, "store_lost"));
    CHECK_FALSE(has(text, "peer_heard"));
}

TEST_CASE("torn lines are counted, and an answer without its end says so")
{
    RequestAccount account(id);
    account.addLine("g", at("31.900", "event=attempt_silent request=" + id + " backend=i-7"));
    account.addLine("g",
                    "time=2026-09-15T16:57:32.000Z event=request_ended request=" + id
                            + " problem=\"back");
    CHECK(has(account.text(), "1 torn lines"));
    CHECK(has(account.text(), "its end is not in this log"));
}

TEST_CASE("property: no bytes stop the account")
{
    CHECK(rc::check([](const std::vector<std::string> &lines) {
        RequestAccount account("r");
        for (const std::string &it : lines)
            account.addLine("g", it + "request=r time=2026-");
        account.text();
    }));
}

TEST_CASE("each problem that the gateway names has a meaning")
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
    const auto unknown = meaningOfProblem("nothing of the kind");
    for (const std::string &it : problems) {
        CAPTURE(it);
        if (it != "unknown")
            CHECK(meaningOfProblem(it) != unknown);
    }
}

TEST_CASE("the command reads standard input, and tells when no line names the request")
{
    std::ostringstream out;
    std::ostringstream errors;
    OperatorCommands commands(out, errors);
    std::istringstream input(
            at("1.000", "event=request_ended") + '\n'
            + at("01.000",
                 "event=request_ended request=" + id + " status=200 problem=\"\" total_ms=5"));
    CHECK(commands.explain(id, {}, input) == ExitStatus::Success);
    CHECK(has(out.str(), "answered with 200"));
    std::istringstream empty;
    CHECK(commands.explain(id, {"-"}, empty) == ExitStatus::WrongInput);
    CHECK(commands.explain(id, {"/does/not/exist"}, empty) == ExitStatus::WrongInput);
}
