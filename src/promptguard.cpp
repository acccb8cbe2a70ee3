// Log lines and metrics of prompts that crash backend servers.

#include "promptguard.h"

#include "eventlog.h"
#include "metrics.h"

#include <utility>
#include <vector>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Quarantined prompts that are stored, and the least time between two writes.
constexpr std::size_t storedPromptLimit = 32;
constexpr Duration storeInterval = 500ms;
// A stored quarantine is applied until this time after its end.
constexpr Duration restoreTime = 10min;

// Logs because of which part the prompt of a request is refused.
void logRefusal(const PromptPartReport &part, const std::string &requestId)
{
    EventLog("prompt_refused", EventLevel::Warning)
            .field("request", requestId)
            .field("part", part.part)
            .field("kind", nameOf(part.kind))
            .field("quarantined_ms", part.quarantineAge.value_or(Duration {}) / 1ms);
}

const char *nameOf(CrashEvidence evidence)
{
    return evidence == CrashEvidence::List ? "list" : "connection_refused";
}

void logQuarantine(const PromptPartReport &part)
{
    std::string crashes;
    for (const PromptCrashReport &it : part.crashes)
        crashes.append(crashes.empty() ? "" : ",")
                .append(std::to_string(it.backend))
                .append("@-")
                .append(std::to_string(it.crashAge / 1ms));
    EventLog("prompt_quarantined", EventLevel::Warning)
            .field("part", part.part)
            .field("kind", nameOf(part.kind))
            .field("length_ms", part.quarantine / 1ms)
            .field("crashes", crashes);
}

std::vector<std::pair<std::uint64_t, Duration>> keysOf(const std::vector<PromptPartReport> &parts)
{
    std::vector<std::pair<std::uint64_t, Duration>> keys;
    keys.reserve(parts.size());
    for (const PromptPartReport &it : parts)
        keys.emplace_back(it.part, it.quarantine);
    return keys;
}

} // namespace

PromptGuard::PromptGuard(Metrics &metrics)
{
    metrics.gauge("cornelshed_gateway_prompt_parts_remembered",
                  "Parts of prompts, and whole ones, in the table of suspects",
                  [this] { return static_cast<double>(m_quarantine.remembered()); });
    metrics.gauge("cornelshed_gateway_prompt_parts_quarantined",
                  "Parts of prompts, and whole ones, that are kept from backend servers",
                  [this] { return static_cast<double>(m_quarantine.quarantined()); });
    metrics.gauge("cornelshed_gateway_cut_requests_pending",
                  "Cut requests of which it is not known whether their backend server crashed",
                  [this] { return static_cast<double>(m_cutRequests.pending()); });
}

std::optional<Duration> PromptGuard::refusal(const PromptIdentity &prompt,
                                             const std::string &requestId, Instant now) const
{
    const auto untilTrial = m_quarantine.refusal(prompt, now);
    if (const auto part = untilTrial ? m_quarantine.refusedPart(prompt, now) : std::nullopt)
        logRefusal(*part, requestId);
    return untilTrial;
}

std::optional<Duration> PromptGuard::refusalAtStart(const PromptIdentity &prompt,
                                                    const std::string &requestId, Instant now)
{
    if (const auto untilTrial = refusal(prompt, requestId, now))
        return untilTrial;
    return m_quarantine.refusalAtStart(prompt, now);
}

std::optional<Duration> PromptGuard::probationWait(const PromptIdentity &prompt,
                                                   const std::string &requestId, Instant now) const
{
    const auto wait = m_quarantine.probationWait(prompt, now);
    if (wait)
        EventLog("prompt_on_probation", EventLevel::Warning)
                .field("request", requestId)
                .field("part", prompt.content.value_or(0))
                .field("turn_in_ms", *wait / 1ms);
    return wait;
}

void PromptGuard::recordCut(const CutRequest &request, AnswerPhase phase)
{
    if (phase == AnswerPhase::Begun) {
        m_quarantine.recordCrash(request.prompt, request.backendDigest, request.sentAt,
                                 request.cutAt);
        return;
    }
    // Connections are also lost in these phases for other reasons than a crash.
    CutRequest unconfirmed = request;
    if (phase == AnswerPhase::Later)
        unconfirmed.prompt = request.prompt.wholeOnly();
    m_cutRequests.add(std::move(unconfirmed));
}

void PromptGuard::recordBackendEnd(const std::string &backend, CrashEvidence evidence, Instant now)
{
    const std::vector<CutRequest> confirmed = m_cutRequests.confirm(backend, now);
    if (confirmed.empty())
        return;
    EventLog("crash_confirmed", EventLevel::Warning)
            .field("backend", backend)
            .field("crash", confirmed.front().backendDigest)
            .field("evidence", nameOf(evidence))
            .field("requests", confirmed.size())
            .field("after_ms", (now - confirmed.front().cutAt) / 1ms);
    for (const CutRequest &it : confirmed)
        m_quarantine.recordConfirmedCrash(it.prompt, it.backendDigest, it.sentAt, it.cutAt, now);
}

std::optional<Instant> PromptGuard::firstCutAt(const std::string &backend) const
{
    return m_cutRequests.firstCutAt(backend);
}

void PromptGuard::recordCompletion(const PromptIdentity &prompt, Instant now)
{
    m_cutRequests.answered(prompt);
    m_quarantine.recordCompletion(prompt, now);
}

bool PromptGuard::takeNewlyQuarantined(Instant now)
{
    const std::vector<std::uint64_t> parts = m_quarantine.takeNewlyQuarantined();
    for (const std::uint64_t it : parts) {
        if (const auto part = m_quarantine.describe(it, now))
            logQuarantine(*part);
    }
    return !parts.empty();
}

void PromptGuard::restore(const std::vector<QuarantineAge> &stored, Duration sinceRead, Instant now)
{
    std::vector<PromptPartReport> reports;
    for (const QuarantineAge &it : stored) {
        PromptPartReport report;
        report.part = it.digest;
        report.kind = PromptPartKind::Whole;
        report.quarantineAge = it.age + sinceRead;
        report.quarantine = it.length;
        if (*report.quarantineAge < it.length + restoreTime)
            reports.push_back(report);
    }
    m_quarantine.merge(reports, now);
    m_stored = keysOf(m_quarantine.wholeQuarantines(storedPromptLimit, now));
}

std::optional<std::vector<QuarantineAge>> PromptGuard::takeChangedQuarantine(Instant now)
{
    const auto parts = m_quarantine.wholeQuarantines(storedPromptLimit, now);
    auto keys = keysOf(parts);
    if (keys == m_stored || now < m_storedAt + storeInterval)
        return std::nullopt;
    m_stored = std::move(keys);
    m_storedAt = now;
    std::vector<QuarantineAge> ages;
    ages.reserve(parts.size());
    for (const PromptPartReport &it : parts)
        ages.push_back({it.part, *it.quarantineAge, it.quarantine});
    return ages;
}

} // namespace cornelshed
