// Guards against messages that encoding and decoding change, and against malformed messages that
// throw, crash, or decode as valid ones.

#include "wirecodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace cornelshed;

namespace {

template<typename Value> Value any()
{
    return *rc::gen::arbitrary<Value>();
}

// Text is length-delimited on the wire, so it must not be truncated at a zero byte either.
std::string anyText()
{
    return any<std::string>();
}

RequestId anyRequest()
{
    return {any<std::uint64_t>(), any<std::uint64_t>()};
}

GrantId anyGrant()
{
    return {any<std::uint64_t>(), any<std::uint64_t>()};
}

Duration anyDuration()
{
    return Duration(any<std::int64_t>());
}

LoadReport anyLoad()
{
    return {any<std::uint32_t>(),
            any<std::uint32_t>(),
            any<std::uint64_t>(),
            static_cast<double>(any<std::uint32_t>()),
            0.25,
            any<std::uint32_t>()};
}

Headers anyHeaders()
{
    Headers headers;
    for (int n = *rc::gen::inRange(0, 5); n > 0; --n)
        headers.emplace_back(anyText(), anyText());
    return headers;
}

Usage anyUsage()
{
    return {any<std::uint64_t>(), any<std::uint64_t>(), any<std::uint64_t>(),
            anyDuration(),        anyDuration(),        anyDuration()};
}

EntryMessage anyEntryMessage()
{
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return Hello {anyText(), any<std::uint64_t>(), any<std::uint64_t>()};
    case 1:
        return Reserve {anyRequest(),
                        any<std::uint32_t>(),
                        anyText(),
                        any<std::uint32_t>(),
                        anyText(),
                        anyText(),
                        any<std::uint64_t>(),
                        any<std::uint64_t>(),
                        anyDuration(),
                        any<std::vector<std::uint64_t>>()};
    case 2:
        return Withdraw {anyRequest()};
    case 3:
        return Dispatch {anyRequest(), anyGrant(), anyText(),    anyText(),
                         anyHeaders(), anyText(),  anyDuration()};
    case 4:
        return Decline {anyRequest(), anyGrant()};
    case 5:
        return Cancel {anyRequest()};
    default:
        return ConfigurationNotice {any<std::uint64_t>(), anyText(), any<bool>()};
    }
}

AgentMessage anyAgentMessage()
{
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return Welcome {{anyText(), any<std::uint64_t>()},
                        anyText(),
                        anyText(),
                        anyText(),
                        {anyText(), anyText()},
                        any<std::uint64_t>(),
                        anyLoad()};
    case 1:
        return Grant {anyRequest(), anyGrant(), anyDuration(), anyDuration(), anyLoad()};
    case 2:
        return Reject {anyRequest(), static_cast<RejectReason>(*rc::gen::inRange(0, 6)), anyLoad()};
    case 3:
        return ResponseHead {anyRequest(), any<std::uint32_t>(), anyHeaders()};
    case 4:
        return Chunk {anyRequest(), anyText()};
    case 5:
        return Finished {anyRequest(), anyUsage(), anyLoad()};
    case 6:
        return Failed {anyRequest(), any<bool>(), static_cast<FailReason>(*rc::gen::inRange(0, 6)),
                       anyLoad()};
    case 7:
        return Load {anyLoad()};
    default:
        return Leaving {};
    }
}

std::string_view payloadOf(const std::string &frame)
{
    return std::string_view(frame).substr(frameHeaderBytes);
}

} // namespace

TEST_CASE("encoding and decoding leaves messages unchanged")
{
    const bool entryMessages = rc::check("entry daemon to agent", [] {
        const EntryMessage message = anyEntryMessage();
        const std::string frame = encodeFrame(message);
        RC_ASSERT(messageLength(frame) + frameHeaderBytes == frame.size());
        const auto decoded = decodeEntryMessage(payloadOf(frame), {});
        RC_ASSERT(std::get<EntryMessage>(decoded) == message);
    });
    const bool agentMessages = rc::check("agent to entry daemon", [] {
        const AgentMessage message = anyAgentMessage();
        const std::string frame = encodeFrame(message);
        RC_ASSERT(messageLength(frame) + frameHeaderBytes == frame.size());
        const auto decoded = decodeAgentMessage(payloadOf(frame), {});
        RC_ASSERT(std::get<AgentMessage>(decoded) == message);
    });
    CHECK(entryMessages);
    CHECK(agentMessages);
}

TEST_CASE("messages that are too long, truncated or of invalid length are errors")
{
    const std::string frame = encodeFrame(AgentMessage(Chunk {{1, 2}, std::string(5000, 'x')}));
    WireLimits limits;
    limits.frameLimitBytes = 1024;
    CHECK(std::holds_alternative<WireError>(decodeAgentMessage(payloadOf(frame), limits)));
    CHECK(std::holds_alternative<WireError>(decodeAgentMessage("", {})));
    CHECK(std::holds_alternative<WireError>(decodeAgentMessage("1234567", {})));
    for (std::size_t n = 0; n + 8 < frame.size() - frameHeaderBytes; n += 8)
        CHECK(std::holds_alternative<WireError>(
                decodeAgentMessage(payloadOf(frame).substr(0, n), {})));
}

TEST_CASE("enumerator values unknown to the schema are errors")
{
    const std::string valid = encodeFrame(AgentMessage(Reject {{1, 2}, RejectReason::Shed, {}}));
    bool rejected = false;
    for (std::size_t n = 0; n < payloadOf(valid).size(); ++n) {
        std::string body(payloadOf(valid));
        if (body[n] != static_cast<char>(RejectReason::Shed))
            continue;
        body[n] = 0x77;
        rejected = rejected || std::holds_alternative<WireError>(decodeAgentMessage(body, {}));
    }
    CHECK(rejected);
}
