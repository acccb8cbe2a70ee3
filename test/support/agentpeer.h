// The entry daemon's side of requests that an agent runs, for tests of the agent daemon.

#ifndef CORNELSHED_TEST_AGENTPEER_H
#define CORNELSHED_TEST_AGENTPEER_H

#include "loopback.h"

#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace cornelshed::testing {

inline RequestId agentRequest(std::uint64_t sequence)
{
    return {11, sequence};
}

// The id by which the server knows a request.
inline std::string serverRequestId(RequestId request)
{
    return "id-" + std::to_string(request.sequence);
}

// Opens the session for the first request, and repeats the reservation until it is granted, because
// the agent rejects all reservations until its first probe has reached the server.
inline std::optional<Grant> reserve(SessionPeer &peer, RequestId request, const std::string &path,
                                    const std::string &model)
{
    if (request.sequence == 1) {
        peer.send(Hello {"e1", 11, 0});
        if (!peer.receiveNext<Welcome>())
            return std::nullopt;
    }
    Reserve reserve;
    reserve.request = request;
    reserve.organisation = "o";
    reserve.route = path;
    reserve.model = model;
    reserve.promptTokens = 3;
    reserve.outputTokens = 3;
    reserve.remaining = std::chrono::seconds(20);
    for (int n = 0; n < 500; ++n) {
        peer.send(reserve);
        const std::optional<AgentMessage> answer = peer.receive();
        if (!answer)
            break;
        if (const auto *grant = std::get_if<Grant>(&*answer))
            return *grant;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return std::nullopt;
}

inline void dispatch(SessionPeer &peer, const Grant &grant, RequestId request,
                     const std::string &path)
{
    const Headers headers {{"X-Request-Id", serverRequestId(request)},
                           {"Idempotency-Key", "key-1"}};
    peer.send(
            Dispatch {request, grant.grant, "POST", path, headers, "{}", std::chrono::seconds(20)});
}

// Returns whether the reservation was granted.
inline bool reserveAndDispatch(SessionPeer &peer, const std::string &path, const std::string &model,
                               RequestId request = agentRequest(1))
{
    const auto grant = reserve(peer, request, path, model);
    if (grant)
        dispatch(peer, *grant, request, path);
    return grant.has_value();
}

// The response up to the end of the request, and the message that ended it.
struct Outcome
{
    std::uint32_t status = 0;
    std::string data;
    std::optional<Finished> finished;
    std::optional<Failed> failed;
};

inline Outcome receiveOutcome(SessionPeer &peer)
{
    Outcome outcome;
    while (const std::optional<AgentMessage> message = peer.receive()) {
        if (const auto *head = std::get_if<ResponseHead>(&*message)) {
            outcome.status = head->status;
        } else if (const auto *chunk = std::get_if<Chunk>(&*message)) {
            outcome.data += chunk->data;
        } else if (const auto *finished = std::get_if<Finished>(&*message)) {
            outcome.finished = *finished;
            break;
        } else if (const auto *failed = std::get_if<Failed>(&*message)) {
            outcome.failed = *failed;
            break;
        }
    }
    return outcome;
}

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_AGENTPEER_H
