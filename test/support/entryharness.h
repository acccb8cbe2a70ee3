// Randomised test harness of the entry scheduler. It applies a schedule of events under a virtual
// clock and simulates agents that answer at random, a network that loses, delays, duplicates and
// reorders their messages, lost sessions, agent restarts and changes of the routing view. Every
// action of the scheduler is checked against the invariants; violations are collected by kind.

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

// One event of a schedule; the meaning of a and b depends on the kind, see EntryHarness::step().
struct ScheduleStep
{
    std::uint8_t kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream &operator<<(std::ostream &out, const ScheduleStep &step);

enum class Violation {
    DispatchedTwice, // another dispatch while an earlier one may have run, or a grant used twice
    Endings,         // a request ended never or twice, or by a transition that its chart lacks
    FalseNotRun,     // reported to the caller as not run although a dispatch may have run
    ForbiddenServer, // dispatched to a server that must not receive new requests
    TierOrder,   // shed before a request of a lower tier, or one of its tier with a later deadline
    RetryBudget, // more repeated dispatches than the retry budget allows
    MixedUp,     // a request was ended with the answer to another one
    Timer        // a timer that is due was not handled by tick()
};

class EntryHarness
{
public:
    explicit EntryHarness(std::uint64_t seed);

    void run(const std::vector<ScheduleStep> &steps);

    // One description for each violation of this kind.
    const std::vector<std::string> &violations(Violation kind) { return m_violations[kind]; }
    std::size_t dispatchCount() const { return m_firstDispatches + m_repeatedDispatches; }

private:
    struct Attempt
    {
        BackendServerId server;
        bool notRunDelivered = false;
    };
    struct TrackedRequest
    {
        RequestArrival arrival;
        std::string state; // state of the request chart
        std::vector<Attempt> attempts;
        std::uint32_t endingCount = 0;
    };
    struct Server
    {
        Welcome welcome;
        bool connected = false;
        bool leavingDelivered = false; // the scheduler has received its Leaving message
    };
    // A message on its way from an agent to the scheduler.
    struct PendingMessage
    {
        BackendServerId from;
        AgentMessage message;
        std::size_t attempt = 0; // for Failed and Finished: index of the dispatch in attempts
    };

    void step(const ScheduleStep &step);
    void submit(const ScheduleStep &step);
    void deliver(std::size_t index, bool keepCopy);
    void recordNotRun(const PendingMessage &pending);
    void interruptSession(const ScheduleStep &step);
    void changeView(const ScheduleStep &step);
    void advance(Duration by);
    void drain();

    void check(const EntryActions &actions);
    void check(const SendToAgent &action);
    void check(const EndRequest &action);
    void check(const ReportOutcome &action);
    void checkDispatch(const SendToAgent &action, const Dispatch &dispatch);
    void checkShedOrder(const TrackedRequest &shed);
    void applyChartEvent(TrackedRequest &request, const std::string &event);
    bool mustNotReceiveWork(const BackendServerId &id) const;
    void simulateAgent(const BackendServerId &server, const EntryMessage &message);
    void enqueueMessage(const BackendServerId &server, AgentMessage message,
                        std::size_t attempt = 0);
    void recordViolation(Violation kind, const std::string &what, RequestId request);

    EntryLimits m_limits;
    SeededRandom m_random;
    SeededRandom m_schedulerRandom;
    StateChart m_chart;
    RoutingView m_view;
    std::unique_ptr<EntryScheduler> m_scheduler;
    Instant m_now {};
    std::vector<Server> m_servers;
    std::vector<PendingMessage> m_pending;
    std::map<std::uint64_t, TrackedRequest> m_requests; // by sequence number
    std::set<GrantId> m_usedGrants;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_nextGrant = 1;
    std::size_t m_firstDispatches = 0;
    std::size_t m_repeatedDispatches = 0;
    std::map<Violation, std::vector<std::string>> m_violations;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_ENTRYHARNESS_H
