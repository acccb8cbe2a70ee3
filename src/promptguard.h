// A gateway's part in finding prompts that crash backend servers: passes cut attempts and answers
// to the quarantine, and logs what it decides.

#ifndef CORNELSHED_PROMPTGUARD_H
#define CORNELSHED_PROMPTGUARD_H

#include "crashconfirmation.h"
#include "deploymentstate.h"
#include "promptquarantine.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed {

class Metrics;

// What shows that a backend server has ended.
enum class CrashEvidence : std::uint8_t {
    List,             // it is no longer listed, or listed with another start
    ConnectionRefused // nothing listens at its address
};

// How far the answer had come when its connection was lost.
enum class AnswerPhase : std::uint8_t {
    Awaited, // nothing of it had arrived
    Begun,   // it had just begun
    Later    // it had gone on, or was an error or a refusal
};

class PromptGuard
{
public:
    explicit PromptGuard(Metrics &metrics);

    PromptQuarantine &quarantine() { return m_quarantine; }
    const PromptQuarantine &quarantine() const { return m_quarantine; }

    // See PromptQuarantine; a refusal is logged.
    std::optional<Duration> refusal(const PromptIdentity &prompt, const std::string &requestId,
                                    Instant now) const;
    std::optional<Duration> refusalAtStart(const PromptIdentity &prompt,
                                           const std::string &requestId, Instant now);

    // The time until this gateway's turn with a prompt on probation; logged.
    std::optional<Duration> probationWait(const PromptIdentity &prompt,
                                          const std::string &requestId, Instant now) const;

    // A backend server broke the connection of the request.
    void recordCut(const CutRequest &request, AnswerPhase phase);
    // A backend server is no longer listed, or has started again.
    void recordBackendEnd(const std::string &backend, CrashEvidence evidence, Instant now);
    // Whether the backend server cut requests, and it is not known yet whether it has crashed; when
    // it cut the first of them.
    bool isUnconfirmed(const std::string &backend) const { return firstCutAt(backend).has_value(); }
    std::optional<Instant> firstCutAt(const std::string &backend) const;
    // The answer to the prompt is complete.
    void recordCompletion(const PromptIdentity &prompt, Instant now);

    // Logs what was quarantined since the last call; returns whether there was anything.
    bool takeNewlyQuarantined(Instant now);

    // Applies the whole prompts that were quarantined when they were read from the store, this time
    // ago.
    void restore(const std::vector<QuarantineAge> &stored, Duration sinceRead, Instant now);
    // Returns the quarantined whole prompts that are to be stored, if they have changed since the
    // last call that returned them or since restore().
    std::optional<std::vector<QuarantineAge>> takeChangedQuarantine(Instant now);

private:
    PromptQuarantine m_quarantine;
    CrashConfirmation m_cutRequests;
    std::vector<std::pair<std::uint64_t, Duration>> m_stored; // digests and lengths
    Instant m_storedAt {};
};

} // namespace cornelshed

#endif // CORNELSHED_PROMPTGUARD_H
