// Malformed rows of other programs must not add a backend server or crash the gateway, and fields
// must be decoded by their documented meaning, which for some differs from what their name
// suggests.

#include "platformrows.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const std::string validServerRow =
        R"({"service":"w","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":6,)"
        R"("state":"ready","cold_left_ms":1500,"born":1700000000123,"seq":4})";

const std::string validConfigurationRow =
        R"({"version":7,"routes":[)"
        R"({"name":"r1","host":"h.example","prefix":"/a/","kind":"streaming","timeout_ms":3000,)"
        R"("target_latency_ms":600,"priority":2,"service":"w","max_attempts":2,)"
        R"("auth_exempt":true,"resumable":true,"gap_aim_ms":250},)"
        R"({"name":"r2","host":"h.example","prefix":"/b/","kind":"non_idempotent",)"
        R"("traffic_split":[{"service":"w","weight":90},{"service":"x","weight":10}]},)"
        R"({"name":"r3","host":"h.example","prefix":"/c/","kind":"idempotent","service":"x"}],)"
        R"("services":[{"name":"w","cold_per_s":11.0}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        R"("tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"token_usage",)"
        R"("plain_tokens":200,"rate_per_s":1000,"burst":2000}]})";

bool isUnreadableServer(const std::string &value)
{
    return std::holds_alternative<UnreadableRow>(PlatformRows().decodeBackend("i-1", value));
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("a backend server's row is decoded")
{
    const auto decoded = PlatformRows().decodeBackend("i-1", validServerRow);
    REQUIRE(std::holds_alternative<BackendRecord>(decoded));
    const auto &record = std::get<BackendRecord>(decoded);
    CHECK(record.id == "i-1");
    CHECK(record.address == "10.0.0.9");
    CHECK(record.port == 8080);
    CHECK(record.slots == 6);
    CHECK_FALSE(record.draining);
    CHECK(record.coldRemaining == 1500ms);
    CHECK(record.startedAtMs == 1700000000123);
}

TEST_CASE("rows with missing or invalid fields are unreadable")
{
    CHECK_FALSE(isUnreadableServer(validServerRow));
    for (const char *value : {"", "{", "[]", "null", "7", "\"x\"", "{}"})
        CHECK(isUnreadableServer(value));
    CHECK(isUnreadableServer(replaced(validServerRow, "\"ready\"", "\"idle\"")));
    CHECK(isUnreadableServer(replaced(validServerRow, "\"ready\"", "3")));
    CHECK(isUnreadableServer(replaced(validServerRow, "\"service\"", "\"servise\"")));
    CHECK(isUnreadableServer(replaced(validServerRow, ":8080", "")));
    CHECK(isUnreadableServer(replaced(validServerRow, ":8080", ":0")));
    CHECK(isUnreadableServer(replaced(validServerRow, ":8080", ":99999")));
    CHECK(isUnreadableServer(replaced(validServerRow, "\"slots\":6", "\"slots\":\"6\"")));
    CHECK(isUnreadableServer(replaced(validServerRow, "\"slots\":6", "\"slots\":-6")));
    CHECK(isUnreadableServer(replaced(validServerRow, "\"slots\":6", "\"slots\":1e300")));
}

TEST_CASE("property: corrupted bytes do not crash the decoder")
{
    CHECK(rc::check([] {
        std::string value = *rc::gen::element(validServerRow, validConfigurationRow);
        const int n = *rc::gen::inRange(1, 6);
        for (int i = 0; i < n; ++i)
            value[*rc::gen::inRange<std::size_t>(0, value.size())] = *rc::gen::arbitrary<char>();
        PlatformRows().decodeBackend("i-1", value);
        PlatformRows().decodeOrder("config", value);
        PlatformRows().decodeOrder("rollout/w", value);
        PlatformRows().decodeGateway("g", value);
    }));
}

TEST_CASE("a configuration row is decoded")
{
    const auto decoded = PlatformRows().decodeOrder("config", validConfigurationRow);
    REQUIRE(std::holds_alternative<RouteTableContent>(decoded));
    const auto &content = std::get<RouteTableContent>(decoded);
    CHECK(content.version == 7);
    REQUIRE(content.routes.size() == 3);
    const DirectRoute &stream = content.routes[0];
    CHECK(stream.kind == RequestKind::Stream);
    CHECK(stream.retryable());
    CHECK(stream.rank == 2);
    CHECK(stream.attemptLimit == 2);
    CHECK(stream.authenticationExempt);
    CHECK(stream.objective == 600ms);
    CHECK(stream.gapObjective == 250ms);
    CHECK(content.routes[1].services == std::vector<WeightedService> {{"w", 90}, {"x", 10}});
    CHECK_FALSE(content.routes[1].retryable());
    CHECK(content.routes[2].retryable());
    CHECK(content.services[0].coldRequestsPerSecond == 11);
    REQUIRE(content.organisations.size() == 1);
    CHECK(content.organisations[0].keys.size() == 2);
    CHECK(content.organisations[0].tokensPerSecond == 1000);
    CHECK_FALSE(content.organisations[0].countsRequests);
    CHECK(content.limits.idleTimeout == 15s);
}

// Guards against a configuration that is not read because of an odd scale, and against servers that
// are ordered by bounds that nobody stated.
TEST_CASE("the scale of a service is decoded, and odd values do not make the row unreadable")
{
    const auto decode = [](const std::string &members) {
        const auto decoded = PlatformRows().decodeOrder(
                "config", R"({"version":1,"services":[{"name":"w")" + members + "}]}");
        CAPTURE(members);
        REQUIRE(std::holds_alternative<RouteTableContent>(decoded));
        return std::get<RouteTableContent>(decoded).services.at(0).scale;
    };
    const ServiceScale full {2, 8, 5s};
    CHECK(decode(R"(,"scale":{"min":2,"max":8,"boot_s":5})") == full);
    CHECK(decode(R"(,"scale":{"min":2.0,"max":8.0,"boot_s":5.0,"more":[]})") == full);
    CHECK(decode(R"(,"boot_s":5,"scale":{"min":1.5,"max":8.5})") == full);
    CHECK(decode(R"(,"scale":{"min":8,"max":8,"boot_s":0.25})") == ServiceScale {8, 8, 250ms});
    CHECK(decode(R"(,"scale":{"max":3})") == ServiceScale {0, 3, 10s});
    CHECK(decode(R"(,"scale":{"min":"2","max":3,"boot_s":"5"})") == ServiceScale {0, 3, 10s});
    CHECK(decode(R"(,"scale":{"min":-2,"max":1e300,"boot_s":1e300})")
          == ServiceScale {0, 100000, 3600s});
    CHECK(decode(R"(,"scale":{"min":0.5,"max":1,"boot_s":-1})") == ServiceScale {1, 1, 10s});
    for (const char *odd :
         {"", R"(,"scale":null)", R"(,"scale":7)", R"(,"scale":[])", R"(,"scale":"2..8")",
          R"(,"scale":{})", R"(,"scale":{"min":2})", R"(,"scale":{"min":9,"max":8})",
          R"(,"scale":{"max":0})", R"(,"scale":{"max":"8"})", R"(,"scale":{"max":-8})",
          R"(,"scale":{"min":1e300,"max":8})"})
        CHECK_FALSE(decode(odd).has_value());
}

TEST_CASE("orders are decoded, and a gateway's row survives a round trip")
{
    const PlatformRows rows;
    const auto zone = rows.decodeOrder("evacuate/zone-a", "{}");
    REQUIRE(std::holds_alternative<ZoneWithdrawal>(zone));
    CHECK(std::get<ZoneWithdrawal>(zone).availabilityZone == "zone-a");
    const auto rollout =
            rows.decodeOrder("rollout/w", R"({"service":"w","to":"v2","duration_s":12})");
    REQUIRE(std::holds_alternative<RolloutOrder>(rollout));
    CHECK(std::get<RolloutOrder>(rollout) == RolloutOrder {"w", "v2", 12s});
    CHECK(std::holds_alternative<UnreadableRow>(rows.decodeOrder("unknown/x", "{}")));
    const GatewayRecord gateway {"g-1", "10.0.0.1", 7600};
    CHECK(rows.decodeGateway("g-1", rows.encodeGateway(gateway))
          == Result<GatewayRecord, UnreadableRow>(gateway));
}

// Guards against quarantined prompts that are lost on the way through the store, and against an odd
// entry that hides the others.
TEST_CASE("quarantined prompts survive a round trip, and odd entries among them are left out")
{
    const PlatformRows rows;
    const std::vector<QuarantinedPrompt> prompts {{18446744073709551615U, 1764900000123ms, 60s},
                                                  {7, 0ms, 1h}};
    CHECK(rows.decodeQuarantine(rows.quarantineKey(), rows.encodeQuarantine(prompts)) == prompts);
    CHECK(rows.decodeQuarantine("other", rows.encodeQuarantine(prompts)).empty());
    for (const char *value : {"", "[]", "{}", R"({"prompts":7})", R"({"prompts":[7,"x",{}]})"})
        CHECK(rows.decodeQuarantine(rows.quarantineKey(), value).empty());
    const std::string sound = R"({"digest":"7","began_ms":0,"length_ms":3600000})";
    for (const char *odd : {R"({"digest":7,"began_ms":0,"length_ms":1})",
                            R"({"digest":"-7","began_ms":0,"length_ms":1})",
                            R"({"digest":"18446744073709551616","began_ms":0,"length_ms":1})",
                            R"({"digest":"8","began_ms":1e300,"length_ms":1})",
                            R"({"digest":"8","began_ms":9.3e12,"length_ms":1})",
                            R"({"digest":"8","began_ms":0,"length_ms":1e15})"}) {
        const std::string value = R"({"prompts":[)" + std::string(odd) + "," + sound + "]}";
        CHECK(rows.decodeQuarantine(rows.quarantineKey(), value)
              == std::vector<QuarantinedPrompt> {{7, 0ms, 1h}});
    }
}

TEST_CASE("a rollout status survives a round trip, and other rows of its table are ignored")
{
    const PlatformRows rows;
    CHECK(rows.rolloutStatusKey("w") == "rollout/w");
    for (const RolloutState it :
         {RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack}) {
        const RolloutStatus status {"w", "v2", it, 0};
        CHECK(rows.decodeRolloutStatus("rollout/w", rows.encodeRolloutStatus(status)) == status);
    }
    CHECK(rows.encodeRolloutStatus({"w", "v2", RolloutState::RolledBack, 7})
          == R"({"state":"rolled_back","to":"v2"})");
    CHECK_FALSE(rows.decodeRolloutStatus("evacuate/z", R"({"state":"running","to":"v2"})"));
    CHECK_FALSE(rows.decodeRolloutStatus("rollout/w", R"({"state":"paused","to":"v2"})"));
    CHECK_FALSE(rows.decodeRolloutStatus("rollout/w", "garbage"));
}
