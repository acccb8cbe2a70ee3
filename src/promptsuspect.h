// What one gateway knows of one part of prompts, or of one whole prompt: the crashes of backend
// servers under it, the last answer that cleared it, and its quarantine.

#ifndef CORNELSHED_PROMPTSUSPECT_H
#define CORNELSHED_PROMPTSUSPECT_H

#include "promptquarantine.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <tuple>
#include <vector>

namespace cornelshed::detail {

struct PromptCrash
{
    std::uint64_t backend = 0; // digest of its id and start
    std::uint64_t variant = 0; // of the prompts with the part
    std::uint64_t organisation = 0;
    Instant sentAt {};
    Instant crashedAt {};
    // Nothing of the answer had arrived, so that any request on the server may be to blame. Never
    // set for a whole prompt, against which every crash counts in full.
    bool answerAwaited = false;
    // A quarantined part explains it. It still shows that the server ended under this one, too.
    bool explained = false;

    bool operator==(const PromptCrash &) const = default;

    // Whether both are the same crash of one backend server, which may keep its digest when it
    // starts again.
    bool isSameAs(const PromptCrash &other) const;
};

class PromptSuspect
{
public:
    PromptSuspect(PromptPartKind kind, std::uint32_t position, Instant now)
        : m_kind(kind), m_position(position), m_evidenceAt(now), m_changedAt(now)
    { }

    PromptPartKind kind() const { return m_kind; }
    const std::vector<PromptCrash> &crashes() const { return m_crashes; }
    bool isQuarantined() const { return m_quarantinedAt.has_value(); }
    // The end of the quarantine, after which there may be a trial.
    std::optional<Instant> quarantinedUntil() const;
    Duration quarantineLength() const { return m_quarantine; }
    Instant evidenceAt() const { return m_evidenceAt; }
    Instant changedAt() const { return m_changedAt; } // as it concerns peers

    // Whether the crashes suffice to quarantine the part. isShared tells whether another suspected
    // whole prompt was in the crash as well.
    using IsShared = std::function<bool(const PromptCrash &)>;
    bool isConvicted(const PromptQuarantineSettings &settings, const IsShared &isShared,
                     Instant now) const;
    // Whether the part may only be tried by one gateway after the other: a whole prompt that ran
    // whenever enough servers crashed, although other prompts may be to blame.
    bool isOnProbation(const PromptQuarantineSettings &settings) const;
    // Number of crashes that no quarantined part explains.
    std::size_t unexplained() const;
    // The same without those before the answer had begun.
    std::size_t unexplainedDirect() const;
    // Whether an answer went on after the quarantine began at that time, or too shortly before it:
    // a part that crashes servers has no such answers.
    bool isContradicted(const PromptQuarantineSettings &settings, Instant quarantinedAt) const;
    // Whether the quarantine applies to requests of the organisation. Callers name the parts of
    // their prompts, so one organisation's crashes hold back another one only if the content is the
    // same.
    bool appliesTo(std::uint64_t organisation) const;
    bool isExpired(const PromptQuarantineSettings &settings, Instant now) const;

    // The suspects with the least weight are dropped first, those with the most reported first.
    auto weight() const { return std::make_tuple(isQuarantined(), unexplained(), m_changedAt); }
    using Guilt = std::tuple<std::size_t, std::size_t, PromptPartKind, std::uint32_t>;
    // Of those convicted at the same time, the one with the most guilt is to blame.
    Guilt guilt(const PromptQuarantineSettings &settings, Instant now) const;

    // Returns whether this adds evidence: the crash may be due to the part, and was not known or
    // was known only from requests whose answer was awaited.
    bool addCrash(const PromptCrash &crash, Instant now);
    // Whether the crash under a part that is quarantined explains the other one, under this part:
    // it does if it is the same crash, unless that is a shared part of the prompt which is
    // quarantined as a whole. It may be to blame for all prompts with it.
    static bool explains(PromptPartKind quarantined, const PromptCrash &crash, PromptPartKind part,
                         const PromptCrash &other)
    {
        return crash.isSameAs(other)
                && (quarantined != PromptPartKind::Whole || part != PromptPartKind::Shared
                    || crash.variant != other.variant);
    }
    // Removes the crashes that the quarantined part explains; a whole prompt keeps them.
    void removeExplained(const PromptSuspect &quarantined, Instant now);
    void quarantine(Instant since, Duration length, Instant now);
    // An answer to a prompt with the part went on at that time.
    void clear(const PromptQuarantineSettings &settings, Instant at, Instant now);
    std::optional<Instant> clearedAt() const { return m_clearedAt; }
    std::optional<Instant> quarantinedAt() const { return m_quarantinedAt; }

    PromptPartReport report(std::uint64_t id, Instant now) const;

private:
    // The same crash, if it is known.
    PromptCrash *findCrash(const PromptCrash &crash);
    // Number of unexplained crashes without those before the answer had begun which peers may still
    // confirm under other parts.
    std::size_t settled(const PromptQuarantineSettings &settings, Instant now) const;
    bool hasEnoughCrashes(const PromptQuarantineSettings &settings, Instant now) const;
    bool hasFailedProbation(const PromptQuarantineSettings &settings,
                            const IsShared &isShared) const;

    PromptPartKind m_kind;
    std::uint32_t m_position;
    // Oldest first. Of different backend servers, except for a whole prompt: a server that fails on
    // the same content again after a while has crashed again.
    std::vector<PromptCrash> m_crashes;
    std::optional<Instant> m_quarantinedAt;
    Duration m_quarantine {};
    std::optional<Instant> m_clearedAt; // the last answer that went on
    Instant m_evidenceAt;               // a crash or the quarantine was last recorded or cleared
    Instant m_changedAt;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_PROMPTSUSPECT_H
