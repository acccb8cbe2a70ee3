// Guards against settings of [scheduling] that are ignored, out of range or contradict each other
// without a report, and against defaults that change the scheduling of a gateway whose file does
// not name them.

#include "directsettings.h"
#include "gatewaysettings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cornelshed;

namespace {

const char *const requiredSettings = R"([gateway]
name = "gateway-a-1"
availability_zone = "zone-a"
listen = "127.0.0.1:8221"
readiness = "127.0.0.1:8224"
peer_address = "127.0.0.1"
peer_port = 7600
[platform]
address = "127.0.0.1:8225"
)";

Result<GatewaySettings, TomlProblems> parse(const std::string &scheduling)
{
    return parseGatewaySettings(requiredSettings + scheduling, "gatewayd.toml");
}

// Whether exactly one problem is reported, which names the key.
bool isReported(const std::string &key, const std::string &scheduling)
{
    const auto parsed = parse("[scheduling]\n" + scheduling);
    const auto *problems = std::get_if<TomlProblems>(&parsed);
    if (problems == nullptr || problems->size() != 1)
        return false;
    return problems->front().key == "scheduling." + key && problems->front().file == "gatewayd.toml"
            && (problems->front().line > 0) == (scheduling.find(key + " =") != std::string::npos);
}

} // namespace

TEST_CASE("without a section the scheduling is as it was, as in the settings of the scheduler")
{
    const auto parsed = parse("");
    REQUIRE(std::holds_alternative<GatewaySettings>(parsed));
    const auto &settings = std::get<GatewaySettings>(parsed);
    CHECK(settings.initialSlotRequests == 3);
    CHECK(settings.slotRequestLimit == 8);
    CHECK(settings.yieldAfterMs == 0);
    CHECK(settings.serverQueueShare == 0);
    const DirectSettings scheduling;
    CHECK(scheduling.initialSlotRequests == settings.initialSlotRequests);
    CHECK(scheduling.slotRequestLimit == settings.slotRequestLimit);
    CHECK(scheduling.yieldAfter == Duration::zero());
    CHECK(scheduling.serverQueueShare == 0);
}

TEST_CASE("all keys of [scheduling] are read")
{
    const auto parsed = parse("[scheduling]\ninitial_slot_requests = 2\nslot_request_limit = 5\n"
                              "yield_after_ms = 25\nserver_queue_share = 0.33\n");
    REQUIRE(std::holds_alternative<GatewaySettings>(parsed));
    const auto &settings = std::get<GatewaySettings>(parsed);
    CHECK(settings.initialSlotRequests == 2);
    CHECK(settings.slotRequestLimit == 5);
    CHECK(settings.yieldAfterMs == 25);
    CHECK(settings.serverQueueShare == doctest::Approx(0.33));
}

TEST_CASE("the ends of the ranges are accepted")
{
    CHECK(std::holds_alternative<GatewaySettings>(
            parse("[scheduling]\ninitial_slot_requests = 1\nslot_request_limit = 1\n"
                  "yield_after_ms = 0\nserver_queue_share = 0\n")));
    CHECK(std::holds_alternative<GatewaySettings>(
            parse("[scheduling]\ninitial_slot_requests = 64\nslot_request_limit = 64\n"
                  "yield_after_ms = 3600000\nserver_queue_share = 1\n")));
}

TEST_CASE("values out of range, unknown keys and a limit below the first number are reported")
{
    CHECK(isReported("initial_slot_requests", "initial_slot_requests = 0\n"));
    CHECK(isReported("initial_slot_requests",
                     "initial_slot_requests = 65\nslot_request_limit = 64\n"));
    CHECK(isReported("slot_request_limit", "slot_request_limit = 65\n"));
    CHECK(isReported("slot_request_limit", "initial_slot_requests = 4\nslot_request_limit = 3\n"));
    // The default of the other key counts, too.
    CHECK(isReported("slot_request_limit", "slot_request_limit = 2\n"));
    CHECK(isReported("slot_request_limit", "initial_slot_requests = 9\n"));
    CHECK(isReported("yield_after_ms", "yield_after_ms = -1\n"));
    CHECK(isReported("yield_after_ms", "yield_after_ms = 3600001\n"));
    CHECK(isReported("server_queue_share", "server_queue_share = 1.1\n"));
    CHECK(isReported("server_queue_share", "server_queue_share = -0.1\n"));
    CHECK(isReported("yield_after", "yield_after = 25\n"));
}

TEST_CASE("the example with all keys is accepted")
{
    const std::ifstream file(CORNELSHED_SOURCE_DIR "/examples/gatewayd.toml");
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = parseGatewaySettings(text.str(), "gatewayd.toml");
    REQUIRE(std::holds_alternative<GatewaySettings>(parsed));
    CHECK(std::get<GatewaySettings>(parsed).slotRequestLimit == 5);
}
