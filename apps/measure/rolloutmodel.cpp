// Simulates in steps of 100 ms. Requests are answered within the step in which they arrive, which
// is short compared with every time constant of a rollout.

#include "rolloutmodel.h"

#include "rollout.h"
#include "versiondraw.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

namespace cornelshed {

namespace {

constexpr Duration step = std::chrono::milliseconds(100);
constexpr Duration tickInterval = std::chrono::milliseconds(200);
constexpr Duration peerInterval = std::chrono::seconds(1);
constexpr Duration announceDelay = std::chrono::milliseconds(300); // of an announced rollback
// FailsLater begins after this time, TurnsCold after a quarter of it.
constexpr Duration failureDelay = std::chrono::minutes(4);
constexpr Duration coldPeriod = std::chrono::seconds(40);
constexpr Duration coldDuration = std::chrono::seconds(12);
constexpr Duration outageStart = std::chrono::seconds(60);
constexpr std::array<const char *, 3> routes {"/v1/completions", "/v1/chat/completions",
                                              "/v1/quote"};
constexpr double badFailureShare = 0.3;
constexpr double slowFactor = 2.0;
constexpr double coldFactor = 6.0;

// Standard normal variate by the Box-Muller transform.
double normal(SeededRandom &random)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
    return radius * std::cos(6.283185307179586 * random.unit());
}

struct Daemon
{
    std::unique_ptr<RolloutController> controller;
    Instant rollBackSeenAt = instantNever;
    VersionDraws draws;
};

class SimulatedRollout
{
public:
    SimulatedRollout(const StateChart &chart, const RolloutModelSettings &settings)
        : m_settings(settings), m_random(settings.seed)
    {
        RolloutPlan plan;
        plan.settings = {"r1", "writers", "v1", "v2", {routes.begin(), routes.end()}, 0, 0.05};
        plan.deadline = m_start + settings.deadline;
        for (int n = 0; n < settings.daemons; ++n) {
            Daemon daemon;
            daemon.controller = std::make_unique<RolloutController>(chart, RolloutPolicy {},
                                                                    "entry-" + std::to_string(n));
            daemon.controller->setPlans({plan}, m_start);
            m_daemons.push_back(std::move(daemon));
        }
    }

    RolloutModelResult run()
    {
        const Instant end = m_start + m_settings.deadline + std::chrono::minutes(3);
        for (m_now = m_start; m_now < end; m_now += step) {
            for (std::size_t n = 0; n < m_daemons.size(); ++n)
                serve(n);
            if (m_settings.driver == RolloutDriver::Sequential)
                runControllers();
            else
                followSchedule();
            if (m_rolledBackAt != instantNever && m_now > m_rolledBackAt + std::chrono::seconds(10))
                break;
        }
        m_result.rolledBack = m_rolledBackAt != instantNever;
        m_result.done = !m_result.rolledBack && m_completed
                && m_result.completedAfter <= m_settings.deadline;
        m_result.badRequestShare = m_requests == 0
                ? 0
                : static_cast<double>(m_badRequests) / static_cast<double>(m_requests);
        return m_result;
    }

private:
    double share(std::size_t daemon) const
    {
        if (m_settings.driver == RolloutDriver::FixedSchedule)
            return m_rolledBackAt != instantNever ? 0 : m_scheduledShare;
        return m_daemons[daemon].controller->shares().front().share;
    }

    bool coldNow() const
    {
        const Duration since = (m_now - m_start) % coldPeriod;
        return m_settings.behaviour == VersionBehaviour::TurnsCold && since < coldDuration
                && m_now - m_start >= failureDelay / 4;
    }

    bool isBad(const std::string &route, double share) const
    {
        switch (m_settings.behaviour) {
        case VersionBehaviour::Good:
            return false;
        case VersionBehaviour::FailsAtOnce:
        case VersionBehaviour::SlowAtOnce:
            return true;
        case VersionBehaviour::FailsLater:
            return m_now >= m_start + failureDelay;
        case VersionBehaviour::FailsUnderLoad:
            return share > 0.5;
        case VersionBehaviour::FailsOneRoute:
            return route == routes[2];
        case VersionBehaviour::TurnsCold:
            return coldNow();
        }
        return false;
    }

    void serve(std::size_t n)
    {
        const double currentShare = share(n);
        const double mean = m_settings.requestsPerSecond / m_settings.daemons
                * std::chrono::duration<double>(step).count();
        auto count = static_cast<int>(mean);
        if (m_random.unit() < mean - count)
            ++count;
        for (int i = 0; i < count; ++i)
            serveOne(n, currentShare);
        if (currentShare >= 1 && !m_completed) {
            m_completed = true;
            m_result.completedAfter = m_now - m_start;
        }
    }

    void serveOne(std::size_t n, double currentShare)
    {
        const std::string route = routes[m_random.below(routes.size())];
        const bool isNew = m_daemons[n].draws.next(route) < currentShare;
        const bool bad = isNew && isBad(route, currentShare);
        const bool slow = m_settings.behaviour == VersionBehaviour::SlowAtOnce
                || m_settings.behaviour == VersionBehaviour::TurnsCold;
        if (m_rolledBackAt == instantNever) {
            ++m_requests;
            m_badRequests += bad ? 1 : 0;
        } else if (isNew && m_now >= m_rolledBackAt + std::chrono::seconds(2)) {
            ++m_result.requestsAfterRollback;
        }
        ReportOutcome outcome;
        outcome.version = isNew ? "v2" : "v1";
        outcome.route = route;
        const double failure = bad && !slow ? badFailureShare : m_settings.baseFailureShare;
        outcome.failed = m_random.unit() < failure;
        outcome.usage.promptTokens = 50 + m_random.below(1500);
        outcome.usage.outputTokens = 10 + m_random.below(500);
        const bool cold = m_settings.behaviour == VersionBehaviour::TurnsCold;
        const double factor = bad && slow ? (cold ? coldFactor : slowFactor) : 1;
        const double tokens = static_cast<double>(outcome.usage.promptTokens) / 16.0
                + static_cast<double>(outcome.usage.outputTokens);
        const double micros = tokens * 15000.0 * factor * std::exp(0.25 * normal(m_random));
        outcome.usage.totalTime = Duration(static_cast<Duration::rep>(micros));
        m_daemons[n].controller->recordOutcome(outcome);
        if (isNew) {
            ++m_newAnswers;
            m_newFailures += outcome.failed ? 1 : 0;
        }
    }

    bool tableUp() const
    {
        const Instant down = m_start + outageStart;
        return m_now < down || m_now >= down + m_settings.tableOutage;
    }

    void runControllers()
    {
        if ((m_now - m_start) % peerInterval == Duration {})
            exchangeEvidence();
        const bool ticks = (m_now - m_start) % tickInterval == Duration {};
        for (std::size_t n = 0; n < m_daemons.size() && ticks; ++n) {
            const bool leaseHeld = n == 0 && tableUp();
            for (const RolloutAction &it : m_daemons[n].controller->tick(m_now, leaseHeld, 1))
                carryOut(it);
        }
        for (Daemon &it : m_daemons) {
            if (it.rollBackSeenAt <= m_now)
                it.controller->mergeProgress("r1", m_tableRow, m_now);
        }
        if ((m_now - m_start) % peerInterval == Duration {}) {
            for (Daemon &it : m_daemons)
                it.controller->mergeProgress("r1", m_tableRow, m_now);
        }
    }

    void exchangeEvidence()
    {
        for (const Daemon &from : m_daemons) {
            const Evidence evidence = from.controller->localEvidence();
            for (Daemon &to : m_daemons) {
                if (m_random.unit() >= m_settings.peerMessageLoss)
                    to.controller->mergeEvidence(evidence);
            }
        }
    }

    void carryOut(const RolloutAction &action)
    {
        if (const auto *write = std::get_if<WriteProgress>(&action)) {
            m_tableRow.merge(write->progress);
            if (write->progress.end == RolloutEnd::RolledBack)
                recordRollBack();
        } else if (const auto *announce = std::get_if<AnnounceProgress>(&action)) {
            m_tableRow.merge(announce->progress);
            recordRollBack();
        }
    }

    void recordRollBack()
    {
        m_rolledBackAt = std::min(m_rolledBackAt, m_now);
        for (Daemon &it : m_daemons)
            it.rollBackSeenAt = std::min(it.rollBackSeenAt, m_now + announceDelay);
    }

    // Baseline: 10, 50 and 100% at fixed times, and rollback when more than 5% of at least 20
    // answers of the new version failed.
    void followSchedule()
    {
        const double part = std::chrono::duration<double>(m_now - m_start)
                / std::chrono::duration<double>(m_settings.deadline);
        m_scheduledShare = part < 0.3 ? 0.1 : (part < 0.6 ? 0.5 : 1.0);
        if (m_newAnswers >= 20 && m_newFailures * 20 > m_newAnswers)
            m_rolledBackAt = std::min(m_rolledBackAt, m_now);
    }

    RolloutModelSettings m_settings;
    SeededRandom m_random;
    std::vector<Daemon> m_daemons;
    Instant m_start {std::chrono::hours(1)};
    Instant m_now = m_start;
    RolloutProgress m_tableRow; // row of the platform's table, read by each daemon once a second
    Instant m_rolledBackAt = instantNever;
    double m_scheduledShare = 0;
    std::uint64_t m_requests = 0; // this and m_badRequests: until the rollback
    std::uint64_t m_badRequests = 0;
    std::uint64_t m_newAnswers = 0;
    std::uint64_t m_newFailures = 0;
    bool m_completed = false;
    RolloutModelResult m_result;
};

} // namespace

RolloutModelResult runRolloutModel(const StateChart &chart, const RolloutModelSettings &settings)
{
    return SimulatedRollout(chart, settings).run();
}

} // namespace cornelshed
