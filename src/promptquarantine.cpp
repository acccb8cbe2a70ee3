// Collects crashes by prompt part, convicts and clears parts, and merges what peers know.

#include "promptquarantine.h"

#include "promptsuspect.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cornelshed {

using detail::PromptCrash;
using detail::PromptSuspect;

namespace {

using namespace std::chrono_literals;

// Reports convert times to ages and back, and take some time to arrive. Times that differ by less
// belong to the same event.
constexpr Duration timeTolerance = 1s;
constexpr Duration clearedTolerance = 200ms;
// A change is in every report for this time, so that it also reaches peers in a large fleet.
constexpr Duration announceTime = 3s;
// Otherwise, a report with all that is known is sent at this interval, for gateways that start.
constexpr Duration completeReportInterval = 500ms;
// After a peer has started, every report is complete for this time.
constexpr Duration peerStartAnnounceTime = 2s;
constexpr std::size_t reportLimit = 32; // parts in a report
// Crashes in a report, or it may not fit into a datagram.
constexpr std::size_t reportCrashLimit = 320;
// After the end of a quarantine, gateways take turns of this length; only in the first half of its
// turn may a gateway send the trial, as the others see the turns at slightly different times.
constexpr Duration trialTurn = 4s;
// Gateways take shorter turns with prompts on probation, as these are not known to crash servers.
// In a large fleet several gateways have the same turn, or a sound prompt would wait too long.
constexpr Duration probationTurn = 400ms;
constexpr std::uint32_t probationGroups = 8;

// Adds a part to a report. Returns false if the report is full.
bool addToReport(std::vector<PromptPartReport> &reports, PromptPartReport part)
{
    std::size_t crashes = part.crashes.size();
    for (const PromptPartReport &it : reports)
        crashes += it.crashes.size();
    if (reports.size() >= reportLimit || crashes > reportCrashLimit)
        return false;
    reports.push_back(std::move(part));
    return true;
}

} // namespace

class PromptQuarantine::Private
{
public:
    // Crashes under quarantined parts, by backend server.
    using ExplainedCrashes = std::multimap<std::uint64_t, std::pair<PromptPartKind, PromptCrash>>;

    explicit Private(const PromptQuarantineSettings &given) : settings(given) { }

    PromptSuspect *find(std::uint64_t part)
    {
        const auto it = suspects.find(part);
        return it == suspects.end() ? nullptr : &it->second;
    }

    const PromptSuspect *find(std::uint64_t part) const
    {
        const auto it = suspects.find(part);
        return it == suspects.end() ? nullptr : &it->second;
    }

    bool hasQuarantined(const PromptIdentity &prompt) const
    {
        bool found = false;
        prompt.forEachPart([&](const PromptPart &it) {
            const PromptSuspect *suspect = find(it.id);
            found = found || (suspect != nullptr && suspect->isQuarantined());
        });
        return found;
    }

    ExplainedCrashes explainedCrashes() const
    {
        ExplainedCrashes crashes;
        for (const auto &[id, suspect] : suspects) {
            for (const PromptCrash &it : suspect.crashes()) {
                if (suspect.isQuarantined() && !it.explained)
                    crashes.emplace(it.backend, std::pair(suspect.kind(), it));
            }
        }
        return crashes;
    }

    static bool isExplained(const ExplainedCrashes &explained, PromptPartKind part,
                            const PromptCrash &crash)
    {
        const auto [begin, end] = explained.equal_range(crash.backend);
        return std::any_of(begin, end, [&](const auto &it) {
            return PromptSuspect::explains(it.second.first, it.second.second, part, crash);
        });
    }

    // Adds the crash unless it is known or cannot be due to the part.
    void addCrash(const PromptPart &part, const PromptCrash &crash, Instant now)
    {
        PromptSuspect &suspect = remember(part.id, part.kind, part.position, now);
        if (suspect.addCrash(crash, now) && suspect.isQuarantined())
            explainOthers(part.id, suspect, now);
    }

    // The crash ended a request with the prompt.
    void recordCrash(const PromptIdentity &prompt, PromptCrash crash, Instant now)
    {
        const bool isAnswerAwaited = crash.answerAwaited;
        // Under a quarantined part, the crash says nothing about the others.
        const bool hasQuarantinedPart = hasQuarantined(prompt);
        const ExplainedCrashes explained = explainedCrashes();
        prompt.forEachPart([&](const PromptPart &it) {
            const PromptSuspect *suspect = find(it.id);
            if (hasQuarantinedPart && (suspect == nullptr || !suspect->isQuarantined()))
                return;
            crash.variant = it.variant;
            crash.answerAwaited = isAnswerAwaited && it.kind != PromptPartKind::Whole;
            crash.explained = isExplained(explained, it.kind, crash);
            if (!crash.explained || it.kind == PromptPartKind::Whole)
                addCrash(it, crash, now);
        });
        convict(now);
    }

    PromptSuspect &remember(std::uint64_t id, PromptPartKind kind, std::uint32_t position,
                            Instant now)
    {
        if (PromptSuspect *known = find(id))
            return *known;
        makeRoom(now);
        return suspects.emplace(id, PromptSuspect(kind, position, now)).first->second;
    }

    void explainOthers(std::uint64_t id, const PromptSuspect &quarantined, Instant now)
    {
        for (auto &[other, it] : suspects) {
            if (other != id)
                it.removeExplained(quarantined, now);
        }
    }

    // Drops what is out of date, and if the table is still full, the part with the least evidence:
    // callers choose the ids of parts, and must not displace one that is known to crash servers.
    void makeRoom(Instant now)
    {
        expire(now);
        if (suspects.size() < settings.partLimit)
            return;
        suspects.erase(std::min_element(suspects.begin(), suspects.end(),
                                        [](const auto &a, const auto &b) {
                                            return a.second.weight() < b.second.weight();
                                        }));
    }

    void expire(Instant now)
    {
        std::erase_if(suspects, [&](const auto &it) { return it.second.isExpired(settings, now); });
    }

    bool isConvicted(std::uint64_t id, const PromptSuspect &suspect, Instant now) const
    {
        if (suspect.isQuarantined() || suspect.crashes().size() < settings.crashes)
            return false;
        std::vector<const PromptSuspect *> rivals;
        for (const auto &[other, it] : suspects) {
            if (other != id && isRival(it))
                rivals.push_back(&it);
        }
        // Peers may have seen that a rival was in the last crash.
        if (suspect.kind() == PromptPartKind::Whole && !rivals.empty()
            && now < suspect.evidenceAt() + settings.rivalSettleTime)
            return false;
        const auto isShared = [&](const PromptCrash &crash) {
            return std::any_of(rivals.begin(), rivals.end(), [&](const PromptSuspect *rival) {
                return std::any_of(rival->crashes().begin(), rival->crashes().end(),
                                   [&](const PromptCrash &other) { return other.isSameAs(crash); });
            });
        };
        return suspect.isConvicted(settings, isShared, now);
    }

    // Whether crashes under another whole prompt may be due to this one: it was in several, and is
    // not kept from backend servers.
    static bool isRival(const PromptSuspect &suspect)
    {
        return suspect.kind() == PromptPartKind::Whole && !suspect.isQuarantined()
                && suspect.crashes().size() > 1;
    }

    // Quarantines the convicted parts, one after the other. Of parts with the same evidence the
    // more specific one comes first: fewer requests share it.
    void convict(Instant now)
    {
        for (;;) {
            auto worst = suspects.end();
            for (auto it = suspects.begin(); it != suspects.end(); ++it) {
                if (isConvicted(it->first, it->second, now)
                    && (worst == suspects.end()
                        || it->second.guilt(settings, now) > worst->second.guilt(settings, now)))
                    worst = it;
            }
            if (worst == suspects.end())
                return;
            quarantine(worst->first, worst->second, now, settings.firstQuarantine, now);
        }
    }

    void quarantine(std::uint64_t id, PromptSuspect &suspect, Instant since, Duration length,
                    Instant now)
    {
        if (!suspect.isQuarantined())
            newlyQuarantined.push_back(id);
        suspect.quarantine(since, length, now);
        explainOthers(id, suspect, now);
    }

    void clear(const PromptPart &part, Instant now)
    {
        if (PromptSuspect *suspect = find(part.id))
            suspect->clear(settings, now, now);
    }

    // Time until this gateway's next turn to send the trial, by the time since the quarantine
    // ended; nothing if it may be sent now.
    std::optional<Duration> timeUntilTurn(std::uint64_t part, Duration sinceEnd) const
    {
        const auto turn = static_cast<std::uint64_t>(sinceEnd / trialTurn);
        const Duration sinceTurn = sinceEnd % trialTurn;
        const std::uint64_t turnsLeft = (rankAmongHeard + heard - (part + turn) % heard) % heard;
        if (turnsLeft == 0 && (heard == 1 || sinceTurn < trialTurn / 2))
            return std::nullopt;
        return trialTurn * static_cast<Duration::rep>(turnsLeft == 0 ? heard : turnsLeft)
                - sinceTurn;
    }

    // Time until a request of the organisation with the part may be sent by this gateway; nothing
    // if it may be now.
    std::optional<Duration> timeUntilTrial(std::uint64_t id, std::uint64_t organisation,
                                           Instant now) const
    {
        const PromptSuspect *suspect = find(id);
        if (suspect == nullptr || !suspect->isQuarantined() || !suspect->appliesTo(organisation))
            return std::nullopt;
        const Instant until = *suspect->quarantinedUntil();
        if (now < until)
            return until - now;
        return timeUntilTurn(id, now - until);
    }

    // The part of the prompt that may be tried last, and the time until then.
    std::optional<std::pair<Duration, std::uint64_t>> refusal(const PromptIdentity &prompt,
                                                              Instant now) const
    {
        std::optional<std::pair<Duration, std::uint64_t>> longest;
        if (suspects.empty())
            return longest;
        prompt.forEachPart([&](const PromptPart &it) {
            const auto time = timeUntilTrial(it.id, prompt.organisation, now);
            if (time && (!longest || *time > longest->first))
                longest.emplace(*time, it.id);
        });
        return longest;
    }

    const PromptSuspect *findOnProbation(const PromptIdentity &prompt) const
    {
        const PromptSuspect *suspect = prompt.content ? find(*prompt.content) : nullptr;
        return suspect != nullptr && suspect->isOnProbation(settings) ? suspect : nullptr;
    }

    // Time until this gateway's next turn to try a prompt on probation; nothing if it may be now.
    // Gateways count the turns from the oldest crash that they know of under such a prompt.
    std::optional<Duration> timeUntilProbationTurn(Instant now) const
    {
        Instant oldestCrash = now;
        for (const auto &[id, it] : suspects) {
            if (it.isOnProbation(settings))
                oldestCrash = std::min(oldestCrash, it.crashes().front().crashedAt);
        }
        const std::uint64_t groups = std::min(heard, probationGroups);
        const auto turn = static_cast<std::uint64_t>((now - oldestCrash) / probationTurn);
        const Duration sinceTurn = (now - oldestCrash) % probationTurn;
        const std::uint64_t turnsLeft = (rankAmongHeard % groups + groups - turn % groups) % groups;
        const bool isFree = groups == 1 || sinceTurn < probationTurn / 2;
        if (turnsLeft == 0 && isFree && probationTriedAt + probationTurn <= now)
            return std::nullopt;
        return probationTurn * static_cast<Duration::rep>(turnsLeft == 0 ? groups : turnsLeft)
                - sinceTurn;
    }

    void merge(const PromptPartReport &report, const ExplainedCrashes &explained, Instant now)
    {
        const PromptPart part {report.part, report.kind, report.position, 0};
        for (const PromptCrashReport &it : report.crashes) {
            PromptCrash crash {it.backend,       it.variant,        it.organisation,
                               now - it.sentAge, now - it.crashAge, it.answerAwaited};
            crash.explained = isExplained(explained, part.kind, crash);
            if (!crash.explained || part.kind == PromptPartKind::Whole)
                addCrash(part, crash, now);
        }
        // One that was only cleared is of no interest to a gateway that has forgotten it, or the
        // gateways would remind each other of it for ever.
        if (report.quarantineAge)
            remember(part.id, part.kind, part.position, now);
        PromptSuspect *suspect = find(report.part);
        if (suspect == nullptr)
            return;
        if (report.clearedAge)
            mergeCleared(*suspect, now - *report.clearedAge, now);
        if (report.quarantineAge)
            mergeQuarantine(report.part, *suspect, now - *report.quarantineAge,
                            std::min(report.quarantine, settings.longestQuarantine), now);
    }

    void mergeCleared(PromptSuspect &suspect, Instant clearedAt, Instant now)
    {
        if (!suspect.clearedAt() || clearedAt > *suspect.clearedAt() + clearedTolerance)
            suspect.clear(settings, clearedAt, now);
    }

    void mergeQuarantine(std::uint64_t id, PromptSuspect &suspect, Instant since, Duration length,
                         Instant now)
    {
        const bool known =
                suspect.quarantinedAt() && since <= *suspect.quarantinedAt() + timeTolerance;
        if (!known && !suspect.isContradicted(settings, since))
            quarantine(id, suspect, since, length, now);
    }

    // What changed recently. If there is more than fits, callers with many made-up parts must not
    // delay what is known of those with the most evidence.
    std::vector<PromptPartReport> changedReports(Instant now) const
    {
        std::vector<std::pair<std::uint64_t, const PromptSuspect *>> changed;
        for (const auto &[id, it] : suspects) {
            if (now - it.changedAt() < announceTime)
                changed.emplace_back(id, &it);
        }
        const std::size_t count = std::min(changed.size(), reportLimit);
        const auto end = changed.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(changed.begin(), end, changed.end(), [](const auto &a, const auto &b) {
            return a.second->weight() > b.second->weight();
        });
        std::vector<PromptPartReport> result;
        for (auto it = changed.begin(); it != end; ++it) {
            if (!addToReport(result, it->second->report(it->first, now)))
                break;
        }
        return result;
    }

    PromptQuarantineSettings settings;
    std::map<std::uint64_t, PromptSuspect> suspects; // by digest of the part
    std::vector<std::uint64_t> newlyQuarantined;
    std::uint32_t heard = 1;
    std::uint32_t rankAmongHeard = 0;
    Instant probationTriedAt {}; // when this gateway last sent a prompt on probation
    Instant completeReportAt = Instant::min();
    Instant completeReportsUntil = Instant::min();
    std::uint64_t lastReported = 0; // digest at which the last complete report ended
};

PromptQuarantine::PromptQuarantine(const PromptQuarantineSettings &settings)
    : d(std::make_unique<Private>(settings))
{ }

PromptQuarantine::~PromptQuarantine() = default;

void PromptQuarantine::setGateways(std::uint32_t heard, std::uint32_t rankAmongHeard)
{
    d->heard = std::max(heard, 1U);
    d->rankAmongHeard = rankAmongHeard;
}

void PromptQuarantine::recordCrash(const PromptIdentity &prompt, std::uint64_t backend,
                                   Instant sentAt, Instant now)
{
    d->recordCrash(prompt, {backend, 0, prompt.organisation, sentAt, now, false}, now);
}

void PromptQuarantine::recordConfirmedCrash(const PromptIdentity &prompt, std::uint64_t backend,
                                            Instant sentAt, Instant crashedAt, Instant now)
{
    d->recordCrash(prompt, {backend, 0, prompt.organisation, sentAt, crashedAt, true}, now);
}

void PromptQuarantine::recordAnswer(const PromptIdentity &prompt, Instant now)
{
    if (d->suspects.empty())
        return;
    prompt.forEachPart([&](const PromptPart &it) {
        if (it.kind != PromptPartKind::Whole)
            d->clear(it, now);
    });
}

void PromptQuarantine::recordCompletion(const PromptIdentity &prompt, Instant now)
{
    if (!d->suspects.empty())
        prompt.forEachPart([&](const PromptPart &it) { d->clear(it, now); });
}

std::optional<Duration> PromptQuarantine::refusal(const PromptIdentity &prompt, Instant now) const
{
    const auto refusal = d->refusal(prompt, now);
    return refusal ? std::optional(refusal->first) : std::nullopt;
}

std::optional<Duration> PromptQuarantine::probationWait(const PromptIdentity &prompt,
                                                        Instant now) const
{
    return d->findOnProbation(prompt) != nullptr ? d->timeUntilProbationTurn(now) : std::nullopt;
}

void PromptQuarantine::recordProbationTrial(const PromptIdentity &prompt, Instant now)
{
    if (d->findOnProbation(prompt) != nullptr)
        d->probationTriedAt = now;
}

std::optional<Duration> PromptQuarantine::refusalAtStart(const PromptIdentity &prompt, Instant now)
{
    if (const auto time = refusal(prompt, now))
        return time;
    if (d->suspects.empty())
        return std::nullopt;
    prompt.forEachPart([&](const PromptPart &it) {
        PromptSuspect *suspect = d->find(it.id);
        if (suspect == nullptr || !suspect->isQuarantined()
            || !suspect->appliesTo(prompt.organisation))
            return;
        const Duration next =
                std::min(suspect->quarantineLength() * 2, d->settings.longestQuarantine);
        d->quarantine(it.id, *suspect, now, next, now);
    });
    return std::nullopt;
}

std::optional<PromptPartReport> PromptQuarantine::refusedPart(const PromptIdentity &prompt,
                                                              Instant now) const
{
    const auto refusal = d->refusal(prompt, now);
    return refusal ? describe(refusal->second, now) : std::nullopt;
}

bool PromptQuarantine::isSuspect(const PromptIdentity &prompt) const
{
    bool found = false;
    prompt.forEachPart([&](const PromptPart &it) {
        const PromptSuspect *suspect = d->find(it.id);
        found = found
                || (suspect != nullptr
                    && (suspect->isQuarantined() || suspect->unexplainedDirect() > 1));
    });
    return found;
}

std::vector<PromptPartReport> PromptQuarantine::wholeQuarantines(std::size_t limit,
                                                                 Instant now) const
{
    std::vector<PromptPartReport> result;
    for (const auto &[id, it] : d->suspects) {
        if (it.kind() != PromptPartKind::Whole || !it.isQuarantined())
            continue;
        result.push_back(it.report(id, now));
        result.back().crashes.clear();
    }
    std::sort(result.begin(), result.end(), [](const auto &a, const auto &b) {
        return std::pair(*a.quarantineAge, a.part) < std::pair(*b.quarantineAge, b.part);
    });
    result.resize(std::min(result.size(), limit));
    return result;
}

std::vector<std::uint64_t> PromptQuarantine::takeNewlyQuarantined()
{
    return std::exchange(d->newlyQuarantined, {});
}

std::optional<PromptPartReport> PromptQuarantine::describe(std::uint64_t part, Instant now) const
{
    const PromptSuspect *suspect = d->find(part);
    return suspect == nullptr ? std::nullopt : std::optional(suspect->report(part, now));
}

void PromptQuarantine::peerStarted(Instant now)
{
    d->completeReportsUntil = now + peerStartAnnounceTime;
}

std::vector<PromptPartReport> PromptQuarantine::reports(Instant now)
{
    if (d->suspects.empty())
        return {};
    d->expire(now);
    std::vector<PromptPartReport> result = d->changedReports(now);
    const bool isDue = d->completeReportAt == Instant::min()
            || now - d->completeReportAt >= completeReportInterval;
    if (!isDue && now >= d->completeReportsUntil)
        return result;
    d->completeReportAt = now;
    // Continues where the last complete report ended, if there are more parts than fit into one.
    auto it = d->suspects.upper_bound(d->lastReported);
    for (std::size_t n = 0; n < d->suspects.size() && result.size() < reportLimit; ++n, ++it) {
        if (it == d->suspects.end())
            it = d->suspects.begin();
        if (now - it->second.changedAt() >= announceTime
            && !addToReport(result, it->second.report(it->first, now)))
            break;
        d->lastReported = it->first;
    }
    return result;
}

void PromptQuarantine::merge(const std::vector<PromptPartReport> &reports, Instant now)
{
    const Private::ExplainedCrashes explained = d->explainedCrashes();
    for (const PromptPartReport &it : reports)
        d->merge(it, explained, now);
    // Only now: the evidence against the parts of one prompt must be compared as a whole.
    d->convict(now);
}

void PromptQuarantine::advance(Instant now)
{
    d->convict(now);
}

std::size_t PromptQuarantine::remembered() const
{
    return d->suspects.size();
}

std::size_t PromptQuarantine::quarantined() const
{
    return static_cast<std::size_t>(
            std::count_if(d->suspects.begin(), d->suspects.end(),
                          [](const auto &it) { return it.second.isQuarantined(); }));
}

} // namespace cornelshed
