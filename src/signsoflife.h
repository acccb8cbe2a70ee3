// Signs of life of one backend server and of the agent beside it. When the agent falls silent, the
// backend server may be frozen or cut off with it. It is then tried by one request at a time over
// all daemons: they take turns and tell each other what came of it, because a request that a frozen
// host takes in reaches its engine long after the caller has left.

#ifndef CORNELSHED_SIGNSOFLIFE_H
#define CORNELSHED_SIGNSOFLIFE_H

#include "types.h"

#include <cstdint>
#include <optional>

namespace cornelshed {

// What a daemon tells its peers about a backend server.
enum class BackendSign : std::uint8_t {
    None,  // nothing to tell: its agent is heard, or it has not been tried without
    Heard, // it answers without its agent
    Silent // a trial is under way, or nothing was heard from the last one
};

class SignsOfLife
{
public:
    void agentHeard(Instant now);
    void agentUnanswered(Instant now); // asks were repeated without an answer

    // Whether the agent is to be asked; one that never was heard is not there.
    bool hasAgent(Instant now) const;
    bool hadAgent() const;

    // Own requests on the backend server. Each one ends up heard (first event, or any answer) or
    // unheard; takenBack: because nothing was heard in time, not because its caller left or its
    // connection broke.
    void requestStarted();
    void requestNeverSent();
    void requestHeard(Instant now);
    void requestUnheard(bool takenBack, Instant now);
    void streamSilent(Instant now); // one that was heard before was taken back

    void peerReported(BackendSign sign, Instant now);
    BackendSign ownSign(Instant now) const;

    // Whether one more request may be sent without the agent. turnDelay: how long after the last
    // sign of silence this daemon's turn to try comes; peersSilent: of how many the last report
    // says Silent.
    bool mayBeSilent(Duration turnDelay, std::uint32_t peersSilent, Instant now) const;

private:
    bool agentLost(Instant now) const;
    void pause(Instant now);

    std::optional<Instant> m_agentHeardAt;
    bool m_agentSilent = false;                  // asks since m_agentHeardAt were not answered
    Instant m_agentSilentUntil = Instant::min(); // not asked until then
    Instant m_avoidUntil = Instant::min();       // nothing was heard from the backend server
    Instant m_lastSilence = Instant::min();      // of the agent, or of a trial
    bool m_answersAlone = false;         // it was heard since m_lastSilence, here or by a peer
    std::uint32_t m_unansweredCount = 0; // own requests that were not heard yet
};

} // namespace cornelshed

#endif // CORNELSHED_SIGNSOFLIFE_H
