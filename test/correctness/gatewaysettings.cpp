// Guards against a template of the gateway's settings that the daemon does not accept once the
// platform has filled it in, and against duties that are on without being configured.

#include "gatewaysettings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace cornelshed;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream in(std::string(CORNELSHED_SOURCE_DIR) + "/" + path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

using Values = std::map<std::string, std::vector<std::string>>;

// Fills in a template: {{name}}, sections {{#name}}..{{/name}} for each value, and {{.}} in them.
// A missing value renders as nothing.
std::string render(const std::string &text, const Values &values, const std::string &item = {})
{
    std::string out;
    std::size_t at = 0;
    for (;;) {
        const std::size_t open = text.find("{{", at);
        if (open == std::string::npos)
            return out + text.substr(at);
        out += text.substr(at, open - at);
        const std::size_t close = text.find("}}", open);
        REQUIRE(close != std::string::npos);
        const std::string tag = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (tag == ".") {
            out += item;
        } else if (tag.front() != '#') {
            const auto found = values.find(tag);
            out += found == values.end() ? std::string() : found->second.front();
        } else {
            const std::string name = tag.substr(1);
            const std::size_t end = text.find("{{/" + name + "}}", at);
            REQUIRE(end != std::string::npos);
            const auto found = values.find(name);
            if (found != values.end()) {
                for (const std::string &it : found->second)
                    out += render(text.substr(at, end - at), values, it);
            }
            at = end + name.size() + 5;
        }
    }
}

GatewaySettings parse(const std::string &text)
{
    auto parsed = parseGatewaySettings(text, "gatewayd.toml");
    if (const auto *problems = std::get_if<TomlProblems>(&parsed)) {
        FAIL(problems->front().toString());
        return {};
    }
    return std::get<GatewaySettings>(parsed);
}

Values hostValues()
{
    return {{"node", {"edge-a-1"}},
            {"zone", {"a"}},
            {"listen.front", {"10.0.0.1:80"}},
            {"listen.ready", {"10.0.0.1:81"}},
            {"ip", {"10.0.0.1"}},
            {"port_range.0", {"7000"}},
            {"port_range.1", {"7001"}},
            {"platform.address", {"10.0.0.2:80"}}};
}

} // namespace

TEST_CASE("the example with all keys is accepted")
{
    const GatewaySettings settings = parse(readFile("examples/gatewayd.toml"));
    REQUIRE(settings.cloud);
    CHECK(settings.cloud->address == SocketAddress {"127.0.0.1", 8230});
    CHECK(settings.cloud->reportsUsage);
    CHECK(settings.cloud->scales);
    CHECK(settings.cloud->callsPerSecond == 50);
    CHECK(settings.leaseMs == 3000);
    CHECK(settings.thawMs == 300);
    CHECK(settings.windowS == 5);
    CHECK(settings.usageLateS == 10);
    CHECK(settings.usageTolerance == doctest::Approx(0.05));
    CHECK(!settings.fencingRequired);
}

TEST_CASE("the template without values for duties leaves them off")
{
    const GatewaySettings settings = parse(render(readFile("deploy/gatewayd.toml"), hostValues()));
    CHECK(!settings.cloud);
    CHECK(settings.leaseMs == 3000);
}

TEST_CASE("the template passes on all values of the duties")
{
    Values values = hostValues();
    values["cloud"] = {""};
    values["cloud.address"] = {"10.0.0.3:90"};
    values["cloud.duties"] = {"usage_report", "autoscale"};
    values["cloud.duty_per_s"] = {"40"};
    values["bounds.lease_ms"] = {"2000"};
    values["bounds.thaw_ms"] = {"200"};
    values["bounds.window_s"] = {"4"};
    values["bounds.usage_late_s"] = {"8"};
    values["bounds.usage_tolerance"] = {"0.1"};
    values["bounds.fencing_required"] = {"True"};
    const GatewaySettings settings = parse(render(readFile("deploy/gatewayd.toml"), values));
    REQUIRE(settings.cloud);
    CHECK(*settings.cloud == CloudSettings {{"10.0.0.3", 90}, true, true, 40});
    CHECK(settings.leaseMs == 2000);
    CHECK(settings.thawMs == 200);
    CHECK(settings.windowS == 4);
    CHECK(settings.usageLateS == 8);
    CHECK(settings.usageTolerance == doctest::Approx(0.1));
    CHECK(settings.fencingRequired);
}

TEST_CASE("a duty that this release does not know is left out")
{
    Values values = hostValues();
    values["cloud"] = {""};
    values["cloud.address"] = {"10.0.0.3:90"};
    values["cloud.duties"] = {"later"};
    const GatewaySettings settings = parse(render(readFile("deploy/gatewayd.toml"), values));
    REQUIRE(settings.cloud);
    CHECK(!settings.cloud->reportsUsage);
    CHECK(!settings.cloud->scales);
}
