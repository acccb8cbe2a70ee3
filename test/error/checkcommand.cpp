// Guards against a check of a hostile or truncated file that crashes, does not end or needs
// unbounded memory, against a wrong line or exit status, and against one that shows keys.

#include "checkcommand.h"
#include "acceptance.h"
#include "configurationfile.h"
#include "configurationtext.h"
#include "modelplatform.h"
#include "platformconfigurations.h"
#include "storestub.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t nowSeconds = 1700000000;

// A temporary file, removed by the destructor.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
    {
        const int descriptor = mkstemp(m_path.data());
        REQUIRE(descriptor >= 0);
        close(descriptor);
        std::ofstream(m_path, std::ios::binary) << text;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path = "/tmp/cornelshed-test-XXXXXX";
};

struct Outcome
{
    ExitStatus status;
    std::string output;

    bool says(const std::string &text) const { return output.find(text) != std::string::npos; }
};

Outcome runCheck(CheckOptions options)
{
    std::ostringstream output;
    PlatformConfigurations gateways;
    options.nowEpochSeconds = nowSeconds;
    const ExitStatus status = CheckCommand(output, gateways).run(options);
    INFO(output.str());
    return {status, output.str()};
}

Outcome checkText(const std::string &text)
{
    const TemporaryFile file(text);
    CheckOptions options;
    options.configurationPath = file.path();
    return runCheck(options);
}

const std::string soundToml = R"(deployment = "small"

[[tiers]]
name = "high"
rank = 0

[[organisations]]
name = "caller"
tier = "high"

[[availability_zones]]
name = "a"
region = "r"
state = "serving"

[[pools]]
name = "engines"
kind = "engine"
models = ["m"]

[[routes]]
path = "/v1/completions"
pools = ["engines"]
idempotent = true
)";

const std::string soundJson = R"({
  "version": 7,
  "routes": [
    {"name": "chat", "host": "h.example", "prefix": "/chat/", "kind": "streaming",
     "timeout_ms": 3000, "target_latency_ms": 600, "service": "w"},
    {"name": "stock", "host": "h.example", "prefix": "/stock/", "kind": "idempotent",
     "timeout_ms": 3000, "target_latency_ms": 600, "service": "w"}
  ],
  "services": [
    {"name": "w", "scale": {"min": 1, "max": 4, "boot_s": 5}}
  ],
  "tenants": [
    {"name": "shop", "api_keys": ["secret-1"], "unit": "token_usage",
     "plain_tokens": 200, "rate_per_s": 1000, "burst": 2000}
  ]
})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string repeated(const std::string &text, std::size_t times)
{
    std::string result;
    for (std::size_t i = 0; i < times; ++i)
        result += text;
    return result;
}

// A hostile text gets one clear error, within a bounded time.
void checkHostile(const std::string &text, const std::string &reason)
{
    CAPTURE(reason);
    const auto start = std::chrono::steady_clock::now();
    const Outcome outcome = checkText(text);
    CHECK(std::chrono::steady_clock::now() - start < 20s);
    CHECK(outcome.status == ExitStatus::InvalidInput);
    CHECK(outcome.says(reason));
    CHECK(outcome.output.size() < 200000);
}

} // namespace

TEST_CASE("sound files have no findings, and what is not checked is said")
{
    const Outcome toml = checkText(soundToml);
    CHECK(toml.status == ExitStatus::Success);
    CHECK(toml.says("not checked: servers of zones and pools (needs --platform)"));
    CHECK(toml.says(": 0 errors, 0 warnings\n"));
    const Outcome json = checkText(soundJson);
    CHECK(json.status == ExitStatus::Success);
    CHECK(json.says("not checked: servers of zones and services (needs --store)"));
    CHECK_FALSE(json.says("secret"));
}

TEST_CASE("errors and warnings state the line, and set the exit status")
{
    const Outcome wrong = checkText(replaced(soundToml, "tier = \"high\"", "tier = \"hihg\""));
    CHECK(wrong.status == ExitStatus::InvalidInput);
    CHECK(wrong.says(":9: error: organisations[0].tier: found 'hihg', allowed: a known tier"));
    const Outcome missing = checkText(replaced(soundToml, "idempotent = true\n", ""));
    CHECK(missing.status == ExitStatus::InvalidInput);
    CHECK(missing.says(":21: error: routes[0].idempotent: found nothing, allowed: true | false"));
    const Outcome unused = checkText(soundToml + "\n[[tiers]]\nname = \"low\"\nrank = 1\n");
    CHECK(unused.status == ExitStatus::Warnings);
    CHECK(unused.says(":26: warning: no organisation belongs to tier low [tier_unused]"));
    const Outcome shadowed = checkText(replaced(soundJson, "/stock/", "/chat/"));
    CHECK(shadowed.status == ExitStatus::InvalidInput);
    CHECK(shadowed.says(":6: error: route stock never matches: route chat has the same host"));
    const Outcome wrongType = checkText(replaced(soundJson, "600, \"service\"", "[], \"service\""));
    CHECK(wrongType.status == ExitStatus::InvalidInput);
    CHECK(wrongType.says(":5: error: routes[0].target_latency_ms: not a number"));
    const Outcome syntax = checkText(replaced(soundJson, "\"idempotent\",", "\"idempotent\""));
    CHECK(syntax.status == ExitStatus::InvalidInput);
    CHECK(syntax.says(":7: error: no valid JSON: "));
}

TEST_CASE("the output for machines is one object with the same findings")
{
    const TemporaryFile file(replaced(soundJson, "\"burst\": 2000", "\"burst\": 20"));
    CheckOptions options;
    options.configurationPath = file.path();
    options.json = true;
    const Outcome outcome = runCheck(options);
    CHECK(outcome.status == ExitStatus::Warnings);
    const auto object = boost::json::parse(outcome.output).as_object();
    CHECK(object.at("errors") == 0);
    CHECK(object.at("warnings") == 1);
    const auto &finding = object.at("findings").as_array().at(0).as_object();
    CHECK(finding.at("rule") == "burst_below_request");
    CHECK(finding.at("severity") == "warning");
    CHECK(finding.at("line") == 13);
    CHECK(finding.at("path") == "tenants[0]");
    CHECK(object.at("compared_with").is_null());
}

TEST_CASE("hostile files get a clear message, and the run is bounded")
{
    checkHostile("", "empty");
    checkHostile(" \n\t\n", "empty");
    checkHostile(std::string("deployment = \"x\"\n\0\x01", 19), ":2: error: binary data");
    checkHostile(std::string(std::size_t {20} << 20U, 'x'), "larger than 8388608 bytes");
    checkHostile("a = \"" + std::string(100000, 'x') + "\"", "a line of 100006 bytes");
    checkHostile("\n" + std::string(1000000, 'x'), ":2: error: a line of 1000000 bytes");
    // Deeply nested: arrays, inline tables, keys and headers with dots.
    checkHostile("a = " + std::string(60000, '['), "error");
    checkHostile("a = " + repeated("{a=", 20000), "error");
    checkHostile(repeated("a.", 30000) + "a = 1", "nested too deep");
    checkHostile("[" + repeated("a.", 30000) + "a]", "nested too deep");
    checkHostile(std::string(std::size_t {4} << 20U, '[').insert(0, "{\"a\":"), "no valid JSON");
    checkHostile(repeated("{\"a\":", 1000000), "no valid JSON");
    // Much work for little text.
    checkHostile("rollouts = [\n" + repeated("{name=\"r\"},\n", 500000) + "]", "rollouts");
    checkHostile("x = [\n" + repeated("1,\n", 1000000) + "]", "elements of x");
    checkHostile(replaced(soundToml, "[\"engines\"]", "[\n" + repeated("\"-\",\n", 9000) + "]"),
                 "routes[0].pools");
    checkHostile(repeated("[[tiers]]\n", 400000), "... and ");
    checkHostile("{\"version\":1,\"routes\":[" + repeated("7,\n", 1000000) + "7]}", "... and ");
    checkHostile("{\"version\":1,\"" + std::string(1000000, 'k') + "\":[" + repeated("7,", 1000000)
                         + "7],\"routes\":7}",
                 "not an array: routes");
}

TEST_CASE("many entries that all have findings are checked in a bounded time")
{
    std::string routes;
    for (int i = 0; i < 40000; ++i)
        routes += "{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/"
                  "\",\"kind\":\"streaming\",\"service\":"
                  "\"w\"},\n";
    routes += R"({"name":"r","host":"h","prefix":"/","kind":"streaming","service":"w"})";
    checkHostile("{\"version\":1,\"routes\":[" + routes + "]}", "39800 more findings");
}

TEST_CASE("files that cannot be read, and such that might never end, are refused")
{
    const auto refused = [](const std::string &path, const std::string &reason) {
        CheckOptions options;
        options.configurationPath = path;
        const Outcome outcome = runCheck(options);
        CHECK(outcome.status == ExitStatus::InvalidInput);
        CHECK(outcome.says(reason));
    };
    refused("/nonexistent/configuration.toml", "no such file");
    refused("/tmp", "not a regular file");
    refused("/dev/zero", "not a regular file");
    const TemporaryFile place("");
    const std::string pipe = place.path() + ".pipe";
    REQUIRE(mkfifo(pipe.c_str(), 0600) == 0);
    refused(pipe, "not a regular file");
    std::remove(pipe.c_str());
}

TEST_CASE("property: a truncated or damaged file ends with a status and some text")
{
    CHECK(rc::check("no crash", [] {
        std::string text = *rc::gen::element(soundToml, soundJson);
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        if (*rc::gen::arbitrary<bool>())
            text.resize(at);
        else
            text[at] = *rc::gen::arbitrary<char>();
        const Outcome outcome = checkText(text);
        RC_ASSERT(outcome.status == ExitStatus::Success
                  || outcome.status == ExitStatus::InvalidInput
                  || outcome.status == ExitStatus::Warnings);
        RC_ASSERT(outcome.says("errors, ") || outcome.says("1 error, "));
    }));
}

TEST_CASE("a file is compared with the version in force of the platform, which can be checked too")
{
    testing::ModelPlatform platform;
    platform.setHosts({{"agent-1", "127.0.0.1", 1, 0, "a", "agent", "engines", "live"}});
    const TemporaryFile file(soundToml);
    CheckOptions options;
    options.platform = PlatformEndpoint {"127.0.0.1", platform.port()};
    const Outcome none = runCheck(options);
    CHECK(none.status == ExitStatus::InvalidInput);
    CHECK(none.says("there is nothing to check"));

    std::ostringstream output;
    AcceptOptions accept;
    accept.configurationPath = file.path();
    accept.platform = *options.platform;
    accept.operatorName = "ana";
    REQUIRE(OperatorCommands(output, output).accept(accept) == ExitStatus::Success);
    CHECK(runCheck(options).status == ExitStatus::Success);

    const TemporaryFile changed(replaced(soundToml, "idempotent = true", "idempotent = false"));
    options.configurationPath = changed.path();
    const Outcome compared = runCheck(options);
    CHECK(compared.status == ExitStatus::Success);
    CHECK(compared.says("compared with version 1 in force: 1 difference\n"
                        "  route /v1/completions: idempotent changes from true to false\n"));

    platform.setTableDown(true);
    const Outcome down = runCheck(options);
    CHECK(down.status == ExitStatus::Unavailable);
    CHECK(down.says("not compared: "));
}

TEST_CASE("a gateways' file is compared with the store's, which can be checked too")
{
    testing::StoreStub store;
    const std::string server = R"({"service":"w","address":"10.0.0.9:8080","zone":"a",)"
                               R"("version":"v1","slots":6,"state":"ready"})";
    store.set(RowTable::Orders, "config", soundJson);
    store.set(RowTable::Backends, "i-1", server);
    CheckOptions options;
    options.store = PlatformEndpoint {"127.0.0.1", store.port()};
    options.tokensPerServerSecond = 5000;
    CHECK(runCheck(options).status == ExitStatus::Success);
    options.tokensPerServerSecond = 500;
    const Outcome above = runCheck(options);
    CHECK(above.status == ExitStatus::Warnings);
    CHECK(above.says("[allowance_above_capacity]"));

    const TemporaryFile changed(replaced(soundJson, "secret-1", "secret-2"));
    options.configurationPath = changed.path();
    options.tokensPerServerSecond = 5000;
    const Outcome compared = runCheck(options);
    CHECK(compared.status == ExitStatus::Success);
    CHECK(compared.says("compared with the configuration in the store: 1 difference\n"
                        "  organisation shop: keys (digests) changes from ["));
    CHECK_FALSE(compared.says("secret"));

    store.set(RowTable::Orders, "evacuate/a", "{}");
    const Outcome withdrawn = runCheck(options);
    CHECK(withdrawn.status == ExitStatus::InvalidInput);
    CHECK(withdrawn.says("[service_withdrawn]"));

    store.goAway();
    CHECK(runCheck(options).status == ExitStatus::Unavailable);
    options.store.reset();
    options.platform = PlatformEndpoint {"127.0.0.1", store.port()};
    CHECK(runCheck(options).says("not compared"));
}
