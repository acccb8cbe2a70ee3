// Drives an entry scheduler through a schedule of events under a virtual clock, with agents that
// answer at random, a network that loses, delays, repeats and reorders their messages, crashes and
// view changes. Every action is checked against the invariants; violations are collected by kind.

#ifndef CORNELSHED_TEST_ENTRYHARNESS_H
#define CORNELSHED_TEST_ENTRYHARNESS_H

#include "entryscheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace cornelshed::testing {

// One event of a schedule; what a and b mean depends on the kind.
struct ScheduleStep
{
    std::uint8_t kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream &operator<<(std::ostream &out, const ScheduleStep &step);

enum class Violation {
    DispatchedTwice,
    Endings, // not exactly one, or a transition that the request chart lacks
    FalseNotRun,
    ForbiddenServer,
    TierOrder,
    RetryBudget,
    MixedUp,
    Timer
};

class EntryHarness
{
public:
    explicit EntryHarness(std::uint64_t seed);

    void run(const std::vector<ScheduleStep> &steps);

    // Descriptions of what went wrong; empty if nothing did.
    const std::vector<std::string> &violations(Violation kind) { return m_violations[kind]; }
    std::size_t dispatchCount() const { return m_firstDispatches + m_repeatedDispatches; }

private:
    struct Attempt
    {
        BackendServerId server;
        bool notRunDelivered = false;
    };
    struct Tracked
    {
        RequestArrival arrival;
        std::string state; // of the chart
        std::vector<Attempt> attempts;
        std::uint32_t endings = 0;
    };
    struct Server
    {
        Welcome welcome;
        bool connected = false;
        bool saidLeaving = false;
    };
    struct Pending
    {
        BackendServerId from;
        AgentMessage message;
        std::size_t attempt = 0; // index of the dispatch that a Failed or Finished is about
    };

    void step(const ScheduleStep &step);
    void submit(const ScheduleStep &step);
    void deliver(std::size_t index, bool keep);
    void trackNotRun(const Pending &pending);
    void crash(const ScheduleStep &step);
    void changeView(const ScheduleStep &step);
    void advance(Duration by);
    void drain();

    void check(const EntryActions &actions);
    void check(const SendToAgent &action);
    void check(const EndRequest &action);
    void check(const ReportOutcome &action);
    void checkDispatch(const SendToAgent &action, const Dispatch &dispatch);
    void checkShedOrder(const Tracked &shed);
    void move(Tracked &request, const std::string &event);
    bool forbidden(const BackendServerId &id) const;
    void agentReceives(const BackendServerId &server, const EntryMessage &message);
    void answer(const BackendServerId &server, AgentMessage message, std::size_t attempt = 0);
    void violate(Violation kind, const std::string &what, RequestId request);

    EntryLimits m_limits;
    SeededRandom m_random;
    SeededRandom m_schedulerRandom;
    StateChart m_chart;
    RoutingView m_view;
    std::unique_ptr<EntryScheduler> m_scheduler;
    Instant m_now {};
    std::vector<Server> m_servers;
    std::vector<Pending> m_pending;
    std::map<std::uint64_t, Tracked> m_requests; // by sequence
    std::set<GrantId> m_usedGrants;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_nextGrant = 1;
    std::size_t m_firstDispatches = 0;
    std::size_t m_repeatedDispatches = 0;
    std::map<Violation, std::vector<std::string>> m_violations;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_ENTRYHARNESS_H
