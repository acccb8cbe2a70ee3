// Guards against crashes and exceptions on arbitrary datagrams, which anyone on the network can
// send to a gateway or an agent, and against fields that get lost in encoding or decoding.

#include "admissionmessages.h"
#include "peergossip.h"

#include <doctest/doctest.h>

using namespace cornelshed;

namespace {

constexpr int mutatedDatagramCount = 40000;

GossipReport sampleReport()
{
    GossipReport report;
    report.name = "gateway-1";
    report.incarnation = 77;
    report.sequence = 5;
    report.leaving = true;
    report.uptime = Duration(12345);
    report.loads = {{11, 2, 300, ReportedLiveness::Unresponsive},
                    {12, 1, 0, ReportedLiveness::Responsive},
                    {13, 1, 0, ReportedLiveness::None, NamedLimitReport {1.5, Duration(9)}}};
    report.consumedTokens = {{21, 1000.5}};
    report.proofs[0] = SharedProof {{2, 9}, Duration(1500)};
    RolloutReport rollout {"w#7", Duration(900), {1, RolloutEnd::RolledBack, "bad"}, {}};
    const std::string sender = report.name + "#" + std::to_string(report.incarnation);
    rollout.evidence[{"w#7", sender, "r-1", true}].answers = 5;
    report.rollouts = {rollout};
    report.promptParts = {
            {31,
             PromptPartKind::Shared,
             1,
             {{41, 51, 61, Duration(20), Duration(10)}},
             Duration(5),
             Duration(60000000),
             {}},
            {32, PromptPartKind::Last, 0, {}, {}, {}, Duration(7)},
            {33, PromptPartKind::Whole, 2, {{42, 0, 0, Duration(30), Duration(9)}}, {}, {}, {}}};
    report.duties = DutyReport {Duration(1764000000000000),
                                352800000,
                                {{352799999, {{51, 3}, {52, 4}}}, {352800000, {}}},
                                4294967301,
                                {1, 4},
                                352799998,
                                {{352799997, {{51, 7}}}}};
    return report;
}

std::vector<AdmissionMessage> sampleMessages()
{
    return {SlotRequest {{1, 2}, 3, 4, 5, 6.5, Duration(7), 8, NamedLimitReport {2.5, Duration(4)}},
            SlotRelease {{1, 2}, true},
            SlotRenewal {1, {2, 3, 4}},
            SlotGranted {{1, 2}},
            SlotQueued {{1, 2}, 3},
            SlotQueued {{1, 2}, 3, true},
            AgentPresent {1}};
}

} // namespace

TEST_CASE("decoding an encoded message gives an equal message")
{
    CHECK(decodeGossip(encodeGossip(sampleReport())) == std::optional(sampleReport()));
    for (const AdmissionMessage &it : sampleMessages())
        CHECK(decodeAdmission(encodeAdmission(it)) == std::optional(it));
}

TEST_CASE("a gateway without duties adds nothing to its reports")
{
    GossipReport report = sampleReport();
    const std::string complete = encodeGossip(report);
    const std::string duties = encodeDutyReport(*report.duties);
    report.duties.reset();
    CHECK(encodeGossip(report) + duties == complete);
    CHECK(decodeGossip(encodeGossip(report)) == std::optional(report));
    // What follows the report is not understood: the report itself still counts.
    CHECK(decodeGossip(encodeGossip(report) + "later release") == std::optional(report));
}

// Agents of an earlier release do not say whether their server is down.
TEST_CASE("an answer to a slot request without the field serverDown says that it is not down")
{
    const std::string earlier(
            "\x10\x07\x50\x03\x01\x01\x01\x01\x04\x00\x00\x10\x02\x01\x02\x01\x03", 17);
    CHECK(decodeAdmission(earlier) == std::optional<AdmissionMessage>(SlotQueued {{1, 2}, 3}));
    // An earlier gateway reads the same place in the queue.
    CHECK(encodeAdmission(SlotQueued {{1, 2}, 3}) == earlier);
}

TEST_CASE("corrupted datagrams are rejected or decode to a message that can be encoded")
{
    std::vector<std::string> seeds {encodeGossip(sampleReport())};
    for (const AdmissionMessage &it : sampleMessages())
        seeds.push_back(encodeAdmission(it));
    SeededRandom random(20261204);
    for (int i = 0; i < mutatedDatagramCount; ++i) {
        std::string datagram = seeds[random.below(seeds.size())];
        for (std::uint64_t n = random.below(6) + 1; n > 0; --n)
            datagram[random.below(datagram.size())] = static_cast<char>(random.next());
        if (random.below(4) == 0)
            datagram.resize(random.below(datagram.size()));
        if (const auto report = decodeGossip(datagram))
            CHECK_FALSE(encodeGossip(*report).empty());
        if (const auto message = decodeAdmission(datagram))
            CHECK_FALSE(encodeAdmission(*message).empty());
    }
}
