// Collects crashes by prompt part, convicts and clears parts, and merges what peers know.

#include "promptquarantine.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Further crashes under a part add nothing to what is known of it.
constexpr std::size_t crashLimit = 8;
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
// After the end of a quarantine, gateways take turns of this length; only in the first half of its
// turn may a gateway send the trial, as the others see the turns at slightly different times.
constexpr Duration trialTurn = 4s;
// A part without any evidence is remembered for this time after the last crash, so that peers learn
// that it was cleared.
constexpr Duration clearedRetention = 10s;
// Time between two announcements that a part without evidence still serves well.
constexpr Duration clearedAnnounceInterval = 500ms;

} // namespace

class PromptQuarantine::Private
{
public:
    struct Crash
    {
        std::uint64_t backend = 0;
        std::uint64_t session = 0;
        Instant sentAt {};
        Instant crashedAt {};
    };
    struct Part
    {
        std::uint32_t position = 0;
        std::vector<Crash> crashes; // of different backend servers, oldest first
        std::optional<Instant> quarantinedAt;
        Duration quarantine {};
        std::optional<Instant> clearedAt; // the last answer that went on
        Instant evidenceAt {};            // a crash or the quarantine was last recorded or cleared
        Instant changedAt {};             // as it concerns peers

        // Whether the crash is newer than the last answer.
        bool mayBeCausedBy(const Crash &crash) const
        {
            return !clearedAt || crash.sentAt >= *clearedAt;
        }
    };

    explicit Private(const PromptQuarantineSettings &given) : settings(given) { }

    Part *find(std::uint64_t part)
    {
        const auto it = parts.find(part);
        return it == parts.end() ? nullptr : &it->second;
    }

    const Part *find(std::uint64_t part) const
    {
        const auto it = parts.find(part);
        return it == parts.end() ? nullptr : &it->second;
    }

    bool hasQuarantined(const PromptIdentity &prompt) const
    {
        return std::any_of(prompt.sharedParts.begin(), prompt.sharedParts.end(), [&](auto it) {
            const Part *part = find(it);
            return part != nullptr && part->quarantinedAt;
        });
    }

    // Backend servers whose crashes a quarantined part explains.
    std::set<std::uint64_t> explainedBackends() const
    {
        std::set<std::uint64_t> backends;
        for (const auto &[id, part] : parts) {
            for (const Crash &it : part.crashes) {
                if (part.quarantinedAt)
                    backends.insert(it.backend);
            }
        }
        return backends;
    }

    static bool hasCrash(const Part &part, std::uint64_t backend)
    {
        return std::any_of(part.crashes.begin(), part.crashes.end(),
                           [&](const Crash &it) { return it.backend == backend; });
    }

    // Adds the crash unless it is known or cannot be due to the part.
    void addCrash(std::uint64_t id, std::uint32_t position, const Crash &crash, Instant now)
    {
        Part *part = find(id);
        if (part == nullptr) {
            makeRoom(now);
            part = &parts[id];
            part->position = position;
            part->evidenceAt = now;
            part->changedAt = now;
        }
        if (hasCrash(*part, crash.backend) || !part->mayBeCausedBy(crash))
            return;
        // The oldest crashes show how long a part has been suspect, the newest ones that it still
        // is, and what they explain.
        part->crashes.insert(std::upper_bound(part->crashes.begin(), part->crashes.end(), crash,
                                              [](const Crash &a, const Crash &b) {
                                                  return a.crashedAt < b.crashedAt;
                                              }),
                             crash);
        if (part->crashes.size() > crashLimit) {
            const auto middle = part->crashes.begin() + crashLimit / 2;
            const bool isNews = middle->backend != crash.backend;
            part->crashes.erase(middle);
            if (!isNews)
                return;
        }
        part->evidenceAt = now;
        part->changedAt = now;
        if (part->quarantinedAt)
            explainOthers(id, *part, now);
    }

    // The other parts of the prompts are not to blame for the crashes under a quarantined one.
    void explainOthers(std::uint64_t id, const Part &part, Instant now)
    {
        for (auto &[other, it] : parts) {
            if (other == id)
                continue;
            const auto removed = std::erase_if(
                    it.crashes, [&](const Crash &crash) { return hasCrash(part, crash.backend); });
            if (removed > 0)
                it.changedAt = now;
        }
    }

    // Drops what is out of date, and if the table is still full, the part with the least evidence:
    // callers choose the ids of parts, and must not displace one that is known to crash servers.
    void makeRoom(Instant now)
    {
        expire(now);
        if (parts.size() < settings.partLimit)
            return;
        const auto weight = [](const auto &it) {
            return std::make_tuple(it.second.quarantinedAt.has_value(), it.second.crashes.size(),
                                   it.second.changedAt);
        };
        parts.erase(std::min_element(parts.begin(), parts.end(), [&](const auto &a, const auto &b) {
            return weight(a) < weight(b);
        }));
    }

    void expire(Instant now)
    {
        std::erase_if(parts, [&](const auto &it) {
            const Part &part = it.second;
            if (part.quarantinedAt)
                return part.evidenceAt + part.quarantine + settings.retention <= now;
            return part.evidenceAt + (part.crashes.empty() ? clearedRetention : settings.retention)
                    <= now;
        });
    }

    // Whether an answer went on after the quarantine began at that time, or too shortly before it:
    // a part that crashes servers has no such answers.
    bool isContradicted(const Part &part, Instant quarantinedAt) const
    {
        return part.clearedAt && *part.clearedAt + settings.answerFreeTime > quarantinedAt;
    }

    bool isConvicted(const Part &part, Instant now) const
    {
        if (part.quarantinedAt || part.crashes.size() < settings.crashes)
            return false;
        std::set<std::uint64_t> sessions;
        Instant firstCrash = Instant::max();
        Instant lastSent = Instant::min();
        for (const Crash &it : part.crashes) {
            sessions.insert(it.session);
            firstCrash = std::min(firstCrash, it.crashedAt);
            lastSent = std::max(lastSent, it.sentAt);
        }
        return sessions.size() >= settings.sessions && lastSent > firstCrash
                && firstCrash + settings.settleTime <= now && !isContradicted(part, now);
    }

    // Quarantines the convicted parts, one after the other. Of parts with the same evidence the
    // later one in the prompt comes first: fewer requests share it.
    void convict(Instant now)
    {
        for (;;) {
            auto worst = parts.end();
            for (auto it = parts.begin(); it != parts.end(); ++it) {
                if (!isConvicted(it->second, now))
                    continue;
                const auto weight = [](const Part &part) {
                    return std::make_pair(part.crashes.size(), part.position);
                };
                if (worst == parts.end() || weight(it->second) > weight(worst->second))
                    worst = it;
            }
            if (worst == parts.end())
                return;
            quarantine(worst->first, worst->second, now, settings.firstQuarantine, now);
        }
    }

    void quarantine(std::uint64_t id, Part &part, Instant since, Duration length, Instant now)
    {
        if (!part.quarantinedAt)
            newlyQuarantined.push_back(id);
        part.quarantinedAt = since;
        part.quarantine = length;
        part.evidenceAt = now;
        part.changedAt = now;
        explainOthers(id, part, now);
    }

    // An answer to a prompt with the part went on at that time.
    void clear(Part &part, Instant at, Instant now)
    {
        const bool isNews = !part.clearedAt || *part.clearedAt + clearedAnnounceInterval <= at;
        part.clearedAt = std::max(part.clearedAt.value_or(at), at);
        const auto removed =
                std::erase_if(part.crashes, [&](const Crash &it) { return it.sentAt < at; });
        const bool released = part.quarantinedAt && isContradicted(part, *part.quarantinedAt);
        if (released)
            part.quarantinedAt.reset();
        if (removed > 0 || released)
            part.evidenceAt = now;
        if (removed > 0 || released || isNews)
            part.changedAt = now;
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

    // Time until a request with the part may be sent by this gateway; nothing if it may be now.
    std::optional<Duration> timeUntilTrial(std::uint64_t id, Instant now) const
    {
        const Part *part = find(id);
        if (part == nullptr || !part->quarantinedAt)
            return std::nullopt;
        const Instant until = *part->quarantinedAt + part->quarantine;
        if (now < until)
            return until - now;
        return timeUntilTurn(id, now - until);
    }

    PromptPartReport reportOf(std::uint64_t id, const Part &part, Instant now) const
    {
        PromptPartReport report {id, part.position, {}, {}, part.quarantine, {}};
        for (const Crash &it : part.crashes)
            report.crashes.push_back({it.backend, it.session, now - it.sentAt, now - it.crashedAt});
        if (part.quarantinedAt)
            report.quarantineAge = now - *part.quarantinedAt;
        if (part.clearedAt)
            report.clearedAge = now - *part.clearedAt;
        return report;
    }

    void merge(const PromptPartReport &report, const std::set<std::uint64_t> &explained,
               Instant now)
    {
        for (const PromptCrashReport &it : report.crashes) {
            if (!explained.contains(it.backend))
                addCrash(report.part, report.position,
                         {it.backend, it.session, now - it.sentAge, now - it.crashAge}, now);
        }
        const bool concluded = report.quarantineAge || report.clearedAge;
        if (concluded && find(report.part) == nullptr) {
            makeRoom(now);
            parts[report.part] = {report.position, {}, {}, {}, {}, now, now};
        }
        Part *part = find(report.part);
        if (part == nullptr)
            return;
        if (report.clearedAge)
            mergeCleared(*part, now - *report.clearedAge, now);
        if (report.quarantineAge)
            mergeQuarantine(report.part, *part, now - *report.quarantineAge,
                            std::min(report.quarantine, settings.longestQuarantine), now);
    }

    void mergeCleared(Part &part, Instant clearedAt, Instant now)
    {
        if (!part.clearedAt || clearedAt > *part.clearedAt + clearedTolerance)
            clear(part, clearedAt, now);
    }

    void mergeQuarantine(std::uint64_t id, Part &part, Instant since, Duration length, Instant now)
    {
        const bool known = part.quarantinedAt && since <= *part.quarantinedAt + timeTolerance;
        if (!known && !isContradicted(part, since))
            quarantine(id, part, since, length, now);
    }

    PromptQuarantineSettings settings;
    std::map<std::uint64_t, Part> parts; // by digest
    std::vector<std::uint64_t> newlyQuarantined;
    std::uint32_t heard = 1;
    std::uint32_t rankAmongHeard = 0;
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
    // Under a quarantined part, the crash says nothing about the others.
    const bool explained = d->hasQuarantined(prompt);
    for (std::uint32_t i = 0; i < prompt.sharedParts.size(); ++i) {
        const Private::Part *part = d->find(prompt.sharedParts[i]);
        if (!explained || (part != nullptr && part->quarantinedAt))
            d->addCrash(prompt.sharedParts[i], i, {backend, prompt.session, sentAt, now}, now);
    }
    d->convict(now);
}

void PromptQuarantine::recordAnswer(const PromptIdentity &prompt, Instant now)
{
    if (d->parts.empty())
        return;
    for (const std::uint64_t it : prompt.sharedParts) {
        if (Private::Part *part = d->find(it))
            d->clear(*part, now, now);
    }
}

std::optional<Duration> PromptQuarantine::refusal(const PromptIdentity &prompt, Instant now) const
{
    std::optional<Duration> longest;
    for (const std::uint64_t it : prompt.sharedParts) {
        const auto time = d->timeUntilTrial(it, now);
        if (time && (!longest || *time > *longest))
            longest = time;
    }
    return longest;
}

std::optional<Duration> PromptQuarantine::refusalAtStart(const PromptIdentity &prompt, Instant now)
{
    if (const auto time = refusal(prompt, now))
        return time;
    for (const std::uint64_t it : prompt.sharedParts) {
        Private::Part *part = d->find(it);
        if (part == nullptr || !part->quarantinedAt)
            continue;
        const Duration next = std::min(part->quarantine * 2, d->settings.longestQuarantine);
        d->quarantine(it, *part, now, next, now);
    }
    return std::nullopt;
}

bool PromptQuarantine::isSuspect(const PromptIdentity &prompt) const
{
    return std::any_of(prompt.sharedParts.begin(), prompt.sharedParts.end(), [&](auto it) {
        const Private::Part *part = d->find(it);
        return part != nullptr && (part->quarantinedAt || part->crashes.size() > 1);
    });
}

std::vector<std::uint64_t> PromptQuarantine::takeNewlyQuarantined()
{
    return std::exchange(d->newlyQuarantined, {});
}

void PromptQuarantine::peerStarted(Instant now)
{
    d->completeReportsUntil = now + peerStartAnnounceTime;
}

std::vector<PromptPartReport> PromptQuarantine::reports(Instant now)
{
    std::vector<PromptPartReport> result;
    if (d->parts.empty())
        return result;
    d->expire(now);
    for (const auto &[id, part] : d->parts) {
        if (now - part.changedAt < announceTime && result.size() < reportLimit)
            result.push_back(d->reportOf(id, part, now));
    }
    const bool isDue = d->completeReportAt == Instant::min()
            || now - d->completeReportAt >= completeReportInterval;
    if (!isDue && now >= d->completeReportsUntil)
        return result;
    d->completeReportAt = now;
    // Continues where the last complete report ended, if there are more parts than fit into one.
    auto it = d->parts.upper_bound(d->lastReported);
    for (std::size_t n = 0; n < d->parts.size() && result.size() < reportLimit; ++n, ++it) {
        if (it == d->parts.end())
            it = d->parts.begin();
        d->lastReported = it->first;
        if (now - it->second.changedAt >= announceTime)
            result.push_back(d->reportOf(it->first, it->second, now));
    }
    return result;
}

void PromptQuarantine::merge(const std::vector<PromptPartReport> &reports, Instant now)
{
    const std::set<std::uint64_t> explained = d->explainedBackends();
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
    return d->parts.size();
}

std::size_t PromptQuarantine::quarantined() const
{
    return static_cast<std::size_t>(
            std::count_if(d->parts.begin(), d->parts.end(),
                          [](const auto &it) { return it.second.quarantinedAt.has_value(); }));
}

} // namespace cornelshed
