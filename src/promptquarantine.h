// Finds prompts, and parts of prompts, that crash backend servers and keeps requests with them from
// reaching further ones. Each gateway has one PromptQuarantine; they share what they know in their
// reports, as no gateway sees more than a few of the crashes.
//
// A crash ends all requests on its backend server. Those whose answer had just begun are suspected
// first, as an engine crashes when it begins to write: all shared parts of such a prompt, its last
// part, and the prompt as a whole. Those whose answer was still awaited are suspected in the same
// way once the crash is confirmed, but their parts only after more crashes: all requests that the
// server had not begun to answer are among them. Of an answer that had gone on only the whole
// prompt is suspected, again when the crash is confirmed. An answer to any prompt with a part that
// goes on clears the part; only a complete answer clears a whole prompt.
//
// A part is quarantined after crashes of several backend servers under different prompts with it,
// at least one of them sent after the first crash, without an answer in between: a failure of many
// servers at the same moment thus convicts no part. For a whole prompt there are no different ones
// to wait for, and a server that crashes again under it counts again. Of several parts that the
// same crashes convict, the most specific one is to blame, and they no longer count against the
// others. Only those under a whole prompt still count against its shared parts, of which one may be
// to blame for other prompts too. A whole prompt that was in as many crashes is tried alone: two of
// them that crash the same servers would otherwise excuse each other.
//
// When the quarantine of a part ends, one gateway sends one request with it as a trial. If that
// crashes too, the next trial follows after twice the time.

#ifndef CORNELSHED_PROMPTQUARANTINE_H
#define CORNELSHED_PROMPTQUARANTINE_H

#include "promptidentity.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornelshed {

struct PromptQuarantineSettings
{
    std::uint32_t crashes = 3; // of backend servers, before a part is quarantined
    // The same for a part of prompts, counting also crashes before the answer had begun.
    std::uint32_t crashesWithAwaited = 5;
    std::uint32_t variants = 2; // different prompts among them, except for a whole prompt
    // From the first of the crashes, except for a whole prompt: answers that clear a part, and what
    // peers know of the same crashes, may take this time to arrive.
    Duration settleTime = std::chrono::milliseconds(500);
    // From each crash before the answer had begun: it is confirmed at different times under the
    // prompts that were on the server.
    Duration awaitedSettleTime = std::chrono::milliseconds(500);
    // The same for a whole prompt, from the last of its crashes, while there are others that may be
    // to blame.
    Duration rivalSettleTime = std::chrono::milliseconds(200);
    // A part is quarantined only if no answer to a prompt with it went on for this time.
    Duration answerFreeTime = std::chrono::seconds(2);
    Duration firstQuarantine = std::chrono::minutes(1); // doubles with each failed trial
    Duration longestQuarantine = std::chrono::hours(1);
    // What is known of a part is dropped when nothing new was learnt for this time.
    Duration retention = std::chrono::minutes(10);
    std::size_t partLimit = 512; // number of parts that are remembered

    bool operator==(const PromptQuarantineSettings &) const = default;
};

// A crash of a backend server under a request. Times are ages: they count back from the report.
struct PromptCrashReport
{
    std::uint64_t backend = 0; // digest of its id and start
    std::uint64_t variant = 0; // of the prompts with the part, see PromptPart
    std::uint64_t organisation = 0;
    Duration sentAge {};
    Duration crashAge {};
    bool answerAwaited = false; // nothing of the answer had arrived; never set for a whole prompt

    auto operator<=>(const PromptCrashReport &) const = default;
};

// What a gateway knows of one part, for its peers.
struct PromptPartReport
{
    std::uint64_t part = 0;
    PromptPartKind kind = PromptPartKind::Shared;
    std::uint32_t position = 0; // in the prompt, from 0
    std::vector<PromptCrashReport> crashes;
    std::optional<Duration> quarantineAge;
    Duration quarantine {}; // its length, from its start
    std::optional<Duration> clearedAge;

    bool operator==(const PromptPartReport &) const = default;
};

class PromptQuarantine
{
public:
    explicit PromptQuarantine(const PromptQuarantineSettings &settings = {});
    ~PromptQuarantine();
    PromptQuarantine(const PromptQuarantine &) = delete;
    PromptQuarantine &operator=(const PromptQuarantine &) = delete;

    // heard: number of gateways whose reports arrive, including this one. rankAmongHeard: rank of
    // this one among them; it decides who sends the trial of a part.
    void setGateways(std::uint32_t heard, std::uint32_t rankAmongHeard);

    // The connection to a backend server was lost when the answer had just begun.
    void recordCrash(const PromptIdentity &prompt, std::uint64_t backend, Instant sentAt,
                     Instant now);
    // A backend server is known to have crashed, at an earlier time, while the answer was awaited,
    // or, for a whole prompt, at any point of the answer.
    void recordConfirmedCrash(const PromptIdentity &prompt, std::uint64_t backend, Instant sentAt,
                              Instant crashedAt, Instant now);

    // The answer to the prompt went on beyond its beginning.
    void recordAnswer(const PromptIdentity &prompt, Instant now);
    // The answer to the prompt is complete.
    void recordCompletion(const PromptIdentity &prompt, Instant now);

    // If the prompt has a quarantined part: the time until it may be tried again. Nothing if a
    // request with it may be queued.
    std::optional<Duration> refusal(const PromptIdentity &prompt, Instant now) const;

    // The same for a request that is about to be sent. Returns nothing for one request when the
    // quarantine has ended, which begins the next one: that request is the trial.
    std::optional<Duration> refusalAtStart(const PromptIdentity &prompt, Instant now);

    // A whole prompt that ran whenever several servers crashed is on probation, also if others are
    // to blame for these crashes: the gateways take turns with it, one request at a time, until it
    // is answered or crashes one more server. Returns the time until this gateway's turn, if the
    // prompt is on probation and may not be sent now.
    std::optional<Duration> probationWait(const PromptIdentity &prompt, Instant now) const;
    // The prompt is sent; uses up the turn if it is on probation.
    void recordProbationTrial(const PromptIdentity &prompt, Instant now);

    // What is known of the part because of which the prompt is refused, if it is.
    std::optional<PromptPartReport> refusedPart(const PromptIdentity &prompt, Instant now) const;

    // Whether a part of the prompt is quarantined or has been seen in more than one crash, so that
    // a request that was cut is not to be sent a second time.
    bool isSuspect(const PromptIdentity &prompt) const;

    // Quarantines the parts whose crashes have settled. To be called several times a second.
    void advance(Instant now);

    // The quarantined whole prompts, for a gateway that starts when all others have ended. Those
    // that were tried again last come first, up to the limit.
    std::vector<PromptPartReport> wholeQuarantines(std::size_t limit, Instant now) const;

    // Returns the parts that were quarantined since the last call, here or by a peer.
    std::vector<std::uint64_t> takeNewlyQuarantined();
    // What is known of a part.
    std::optional<PromptPartReport> describe(std::uint64_t part, Instant now) const;

    // A peer has started and does not know yet what this gateway knows.
    void peerStarted(Instant now);

    // The part of a report for the peers: what changed recently, and from time to time everything.
    std::vector<PromptPartReport> reports(Instant now);
    // Applies a peer's report.
    void merge(const std::vector<PromptPartReport> &reports, Instant now);

    std::size_t remembered() const;
    std::size_t quarantined() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_PROMPTQUARANTINE_H
