// Evidence for and against one part of prompts.

#include "promptsuspect.h"

#include <algorithm>
#include <set>

namespace cornelshed::detail {

namespace {

using namespace std::chrono_literals;

// Half of them are the oldest ones, which must be enough to quarantine the part while the newest
// have not settled. A crash that a quarantined part has dropped, but another part of the same
// prompts has not, counts against that one: a limit of 10 convicted a sound shared part when 19
// servers crashed in 0.7 s.
constexpr std::size_t crashLimit = 32;
// More crashes do not make a part guiltier: a shared part is in all crashes of the more specific
// part that is to blame, and in some others.
constexpr std::size_t guiltLimit = 10;
// A crash under a whole prompt may be due to its backend server if there was no other one.
constexpr std::size_t minBackends = 2;
// Of a whole prompt on probation, in crashes that another one shares.
constexpr std::size_t sharedFailureLimit = 2;
// Reports convert times to ages and back, and take some time to arrive. Times that differ by less
// belong to the same crash.
constexpr Duration timeTolerance = 1s;
// A part without any evidence is remembered for this time after the last crash, so that peers learn
// that it was cleared.
constexpr Duration clearedRetention = 10s;
// Time between two announcements that a part without evidence still serves well.
constexpr Duration clearedAnnounceInterval = 500ms;

} // namespace

bool PromptCrash::isSameAs(const PromptCrash &other) const
{
    return backend == other.backend
            && std::chrono::abs(crashedAt - other.crashedAt) <= timeTolerance;
}

PromptSuspect::Guilt PromptSuspect::guilt(const PromptQuarantineSettings &settings,
                                          Instant now) const
{
    return {std::min(settled(settings, now), guiltLimit), std::min(unexplainedDirect(), guiltLimit),
            m_kind, m_position};
}

PromptCrash *PromptSuspect::findCrash(const PromptCrash &crash)
{
    const auto it = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const PromptCrash &known) {
        return m_kind == PromptPartKind::Whole ? known.isSameAs(crash)
                                               : known.backend == crash.backend;
    });
    return it == m_crashes.end() ? nullptr : &*it;
}

std::optional<Instant> PromptSuspect::quarantinedUntil() const
{
    return m_quarantinedAt ? std::optional(*m_quarantinedAt + m_quarantine) : std::nullopt;
}

bool PromptSuspect::isConvicted(const PromptQuarantineSettings &settings, const IsShared &isShared,
                                Instant now) const
{
    if (m_quarantinedAt || m_crashes.size() < settings.crashes || isContradicted(settings, now))
        return false;
    if (m_kind == PromptPartKind::Whole && hasFailedProbation(settings, isShared))
        return true;
    std::set<std::uint64_t> variants;
    std::set<std::uint64_t> backends;
    Instant firstCrash = Instant::max();
    Instant lastSent = Instant::min();
    bool allShared = true;
    for (const PromptCrash &it : m_crashes) {
        if (it.explained)
            continue;
        variants.insert(it.variant);
        backends.insert(it.backend);
        firstCrash = std::min(firstCrash, it.crashedAt);
        lastSent = std::max(lastSent, it.sentAt);
        allShared = allShared && m_kind == PromptPartKind::Whole && isShared(it);
    }
    if (!hasEnoughCrashes(settings, now) || lastSent <= firstCrash || allShared)
        return false;
    if (m_kind == PromptPartKind::Whole)
        return backends.size() >= minBackends;
    return variants.size() >= settings.variants && firstCrash + settings.settleTime <= now;
}

std::size_t PromptSuspect::settled(const PromptQuarantineSettings &settings, Instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_crashes.begin(), m_crashes.end(), [&](const PromptCrash &it) {
                const bool isSettled =
                        !it.answerAwaited || it.crashedAt + settings.awaitedSettleTime <= now;
                return !it.explained && isSettled;
            }));
}

bool PromptSuspect::hasEnoughCrashes(const PromptQuarantineSettings &settings, Instant now) const
{
    return unexplainedDirect() >= settings.crashes
            || settled(settings, now) >= settings.crashesWithAwaited;
}

bool PromptSuspect::isOnProbation(const PromptQuarantineSettings &settings) const
{
    return m_kind == PromptPartKind::Whole && !m_quarantinedAt
            && m_crashes.size() >= settings.crashes;
}

// Whether requests that were sent after enough crashes, and so were tried alone, crashed servers. A
// crash that is shared or explained does not show which of the prompts is to blame, unless it
// happens again.
bool PromptSuspect::hasFailedProbation(const PromptQuarantineSettings &settings,
                                       const IsShared &isShared) const
{
    if (m_crashes.size() <= settings.crashes)
        return false;
    const Instant probationBegan = m_crashes[settings.crashes - 1].crashedAt;
    std::size_t failures = 0;
    std::size_t sharedFailures = 0;
    for (const PromptCrash &it : m_crashes) {
        if (it.sentAt <= probationBegan)
            continue;
        ++(it.explained || isShared(it) ? sharedFailures : failures);
    }
    return failures > 0 || sharedFailures >= sharedFailureLimit;
}

std::size_t PromptSuspect::unexplained() const
{
    return static_cast<std::size_t>(
            std::count_if(m_crashes.begin(), m_crashes.end(),
                          [](const PromptCrash &it) { return !it.explained; }));
}

std::size_t PromptSuspect::unexplainedDirect() const
{
    return static_cast<std::size_t>(
            std::count_if(m_crashes.begin(), m_crashes.end(), [](const PromptCrash &it) {
                return !it.explained && !it.answerAwaited;
            }));
}

bool PromptSuspect::isContradicted(const PromptQuarantineSettings &settings,
                                   Instant quarantinedAt) const
{
    return m_clearedAt && *m_clearedAt + settings.answerFreeTime > quarantinedAt;
}

bool PromptSuspect::appliesTo(std::uint64_t organisation) const
{
    if (m_kind == PromptPartKind::Whole || m_crashes.empty())
        return true;
    const std::uint64_t first = m_crashes.front().organisation;
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const PromptCrash &it) {
        return it.organisation == organisation || it.organisation != first;
    });
}

bool PromptSuspect::isExpired(const PromptQuarantineSettings &settings, Instant now) const
{
    if (m_quarantinedAt)
        return m_evidenceAt + m_quarantine + settings.retention <= now;
    return m_evidenceAt + (m_crashes.empty() ? clearedRetention : settings.retention) <= now;
}

bool PromptSuspect::addCrash(const PromptCrash &crash, Instant now)
{
    const bool isOlderThanAnswer = m_clearedAt && crash.sentAt < *m_clearedAt;
    if (isOlderThanAnswer)
        return false;
    if (PromptCrash *known = findCrash(crash)) {
        if (!known->answerAwaited || crash.answerAwaited)
            return false;
        known->answerAwaited = false;
        m_evidenceAt = now;
        m_changedAt = now;
        return true;
    }
    m_crashes.insert(std::upper_bound(m_crashes.begin(), m_crashes.end(), crash,
                                      [](const PromptCrash &a, const PromptCrash &b) {
                                          return a.crashedAt < b.crashedAt;
                                      }),
                     crash);
    // The oldest crashes show how long a part has been suspect, the newest ones that it still is,
    // and what they explain.
    if (m_crashes.size() > crashLimit) {
        const auto middle = m_crashes.begin() + crashLimit / 2;
        const bool isNews = middle->backend != crash.backend;
        m_crashes.erase(middle);
        if (!isNews)
            return false;
    }
    m_evidenceAt = now;
    m_changedAt = now;
    return true;
}

void PromptSuspect::removeExplained(const PromptSuspect &quarantined, Instant now)
{
    const auto isExplained = [&](const PromptCrash &it) {
        return std::any_of(quarantined.m_crashes.begin(), quarantined.m_crashes.end(),
                           [&](const PromptCrash &other) {
                               return !other.explained
                                       && explains(quarantined.m_kind, other, m_kind, it);
                           });
    };
    if (m_kind == PromptPartKind::Whole) {
        for (PromptCrash &it : m_crashes)
            it.explained = it.explained || isExplained(it);
        return;
    }
    const auto removed = std::erase_if(m_crashes, isExplained);
    if (removed > 0)
        m_changedAt = now;
}

void PromptSuspect::quarantine(Instant since, Duration length, Instant now)
{
    m_quarantinedAt = since;
    m_quarantine = length;
    m_evidenceAt = now;
    m_changedAt = now;
}

void PromptSuspect::clear(const PromptQuarantineSettings &settings, Instant at, Instant now)
{
    const bool isNews = !m_clearedAt || *m_clearedAt + clearedAnnounceInterval <= at;
    m_clearedAt = std::max(m_clearedAt.value_or(at), at);
    const auto removed =
            std::erase_if(m_crashes, [&](const PromptCrash &it) { return it.sentAt < at; });
    const bool released = m_quarantinedAt && isContradicted(settings, *m_quarantinedAt);
    if (released)
        m_quarantinedAt.reset();
    if (removed > 0 || released)
        m_evidenceAt = now;
    if (removed > 0 || released || isNews)
        m_changedAt = now;
}

PromptPartReport PromptSuspect::report(std::uint64_t id, Instant now) const
{
    PromptPartReport report {id, m_kind, m_position, {}, {}, m_quarantine, {}};
    for (const PromptCrash &it : m_crashes)
        report.crashes.push_back({it.backend, it.variant, it.organisation, now - it.sentAt,
                                  now - it.crashedAt, it.answerAwaited});
    if (m_quarantinedAt)
        report.quarantineAge = now - *m_quarantinedAt;
    if (m_clearedAt)
        report.clearedAge = now - *m_clearedAt;
    return report;
}

} // namespace cornelshed::detail
