// Guards against requests that fall between two owners: queued by the scheduler, granted by an
// agent, running or refused, while backend servers, versions, zones and agents come and go. Each
// request must be ended exactly once, and none may stay after its time.

#include "directscheduler.h"
#include "requestaudit.h"
#include "stabledigest.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
const std::vector<std::string> services {"writer", "reader", "without-servers"};
const std::vector<std::string> backendIds {"a", "b", "c", "d", "e"};

template<typename T> T element(const std::vector<T> &values)
{
    return values[*rc::gen::inRange<std::size_t>(0, values.size())];
}

bool oneIn(int n)
{
    return *rc::gen::inRange(0, n) == 0;
}

BackendRecord backendRecord(const std::string &id)
{
    BackendRecord record;
    record.id = id;
    record.service = services[stableDigest(id) % 2];
    record.address = "10.0.0.1";
    record.port = 80;
    record.availabilityZone = oneIn(2) ? "a" : "b";
    record.version = oneIn(2) ? "v1" : "v2";
    record.slots = *rc::gen::inRange(1, 4);
    record.draining = oneIn(6);
    record.startedAtMs = *rc::gen::inRange(0, 2);
    record.coldRemaining = oneIn(4) ? Duration(1s) : Duration(0s);
    return record;
}

// A gateway's requests in front of backend servers and agents that do anything at any time.
class Model
{
public:
    Model() : m_scheduler({"a", 38000, 1.5, 5, true}) { setBackends(); }

    void step()
    {
        switch (*rc::gen::inRange(0, 16)) {
        case 0:
        case 1:
        case 2:
        case 3:
            addRequest();
            break;
        case 4:
            setBackends();
            break;
        case 5:
            m_scheduler.setWithdrawnZones(oneIn(2) ? std::set<std::string> {"b"}
                                                   : std::set<std::string> {});
            break;
        case 6:
        case 7:
            grant();
            break;
        case 8:
            if (!m_slotRequests.empty()) {
                const auto [id, backend] = element(m_slotRequests);
                m_scheduler.slotRequestQueued(id, backend, *rc::gen::inRange(0, 3), m_now,
                                              *rc::gen::inRange(0, 4) == 0);
            }
            break;
        case 9:
            m_scheduler.agentResponded(element(backendIds), m_now);
            break;
        case 10:
        case 11:
            endAttempt(element(std::vector {AttemptOutcome::Answered, AttemptOutcome::Failed,
                                            AttemptOutcome::Broken, AttemptOutcome::TimedOut,
                                            AttemptOutcome::NotRun, AttemptOutcome::Misdirected,
                                            AttemptOutcome::Abandoned, AttemptOutcome::NeverSent}));
            break;
        case 12:
            removeRequest();
            break;
        case 13:
            reportOfPeer();
            break;
        default:
            m_now += *rc::gen::inRange(0, 60) * 1ms;
        }
        advance();
        checkOwners();
    }

    // After the last step: the queue must empty by itself, and all slots be given back.
    void finish()
    {
        for (int i = 0; i < 200; ++i) {
            m_now += 10ms;
            advance();
            checkOwners();
        }
        RC_ASSERT(m_queued.empty());
        RC_ASSERT(m_scheduler.waiting() == 0U);
        while (!m_started.empty())
            endAttempt(AttemptOutcome::Answered);
        advance();
        checkOwners();
        RC_ASSERT(m_scheduler.running() == 0U);
        for (const PeerLoad &it : m_scheduler.ownLoads(m_now))
            RC_ASSERT(it.running == 0U && it.promptTokens == 0U);
    }

private:
    void addRequest()
    {
        DirectRequest request;
        request.id = {1, ++m_lastSequence};
        request.service = element(services);
        request.order = *rc::gen::inRange(0, 4);
        request.reservedSlots = *rc::gen::inRange(0, 2);
        request.arrivedAt = m_now;
        request.waitUntil = m_now + *rc::gen::inRange(0, 500) * 1ms;
        request.deadline = request.waitUntil + *rc::gen::inRange(0, 500) * 1ms;
        request.promptTokens = *rc::gen::inRange(0, 2000);
        for (const std::string &it : backendIds) {
            if (oneIn(4))
                request.excluded.insert(it);
        }
        request.version = element(std::vector<VersionConstraint> {
                {}, {"v1", false}, {"v1", true}, {"v9", false}, {"v9", true}});
        request.isRetry = oneIn(3);
        m_queued.emplace(request.id, request);
        m_scheduler.add(request);
    }

    void setBackends()
    {
        std::vector<BackendRecord> records;
        for (const std::string &it : backendIds) {
            if (!oneIn(4))
                records.push_back(backendRecord(it));
        }
        m_scheduler.setBackends(records, {{"writer", oneIn(2) ? 8 : 0}}, m_now);
    }

    // A grant in time, a late or a repeated one, or one that nobody asked for.
    void grant()
    {
        if (m_lastSequence == 0)
            return;
        std::pair<RequestId, std::string> slot {
                {1, *rc::gen::inRange<std::uint64_t>(1, m_lastSequence + 1)}, element(backendIds)};
        if (!m_slotRequests.empty() && !oneIn(4))
            slot = element(m_slotRequests);
        const auto running = m_started.find(slot.first);
        const bool isHeld = running != m_started.end() && running->second == slot.second;
        m_scheduler.slotGranted(slot.first, slot.second, m_now);
        // It must be used or given back at once.
        const auto actions = advance();
        const bool isUsed = std::any_of(actions.begin(), actions.end(), [&](const auto &it) {
            const auto *started = std::get_if<StartAction>(&it);
            const auto *released = std::get_if<ReleaseSlotAction>(&it);
            return (started && started->request == slot.first && started->backend == slot.second)
                    || (released && released->request == slot.first
                        && released->backend == slot.second);
        });
        RC_ASSERT(isUsed || isHeld);
    }

    void endAttempt(AttemptOutcome outcome)
    {
        if (m_started.empty())
            return;
        auto it = m_started.begin();
        std::advance(it, *rc::gen::inRange<std::size_t>(0, m_started.size()));
        if (outcome != AttemptOutcome::NeverSent && oneIn(2))
            m_scheduler.firstEvent(it->first, m_now);
        m_scheduler.ended(it->first, {outcome, 100ms, {}}, m_now);
        m_started.erase(it);
    }

    void removeRequest()
    {
        if (m_queued.empty())
            return;
        auto it = m_queued.begin();
        std::advance(it, *rc::gen::inRange<std::size_t>(0, m_queued.size()));
        m_scheduler.remove(it->first);
        m_queued.erase(it);
    }

    void reportOfPeer()
    {
        m_scheduler.setGateways(*rc::gen::inRange(1, 4), 0);
        m_scheduler.peerReport(
                *rc::gen::inRange(1, 3),
                {{stableDigest(element(backendIds)), *rc::gen::inRange<std::uint32_t>(0, 3), 500,
                  element(std::vector {ReportedLiveness::None, ReportedLiveness::Responsive,
                                       ReportedLiveness::Unresponsive})}},
                m_now);
    }

    std::vector<DirectAction> advance()
    {
        auto actions = m_scheduler.advance(m_now);
        for (const DirectAction &it : actions) {
            if (const auto *action = std::get_if<StartAction>(&it)) {
                RC_ASSERT(m_queued.contains(action->request));
                const DirectRequest &request = m_queued.at(action->request);
                RC_ASSERT(request.deadline > m_now);
                RC_ASSERT(!request.excluded.contains(action->backend));
                m_queued.erase(action->request);
                m_started.emplace(action->request, action->backend);
            } else if (const auto *refusal = std::get_if<RefuseAction>(&it)) {
                RC_ASSERT(m_queued.erase(refusal->request) == 1U);
            } else if (const auto *slotRequest = std::get_if<RequestSlotAction>(&it)) {
                m_slotRequests.emplace_back(slotRequest->request.id, slotRequest->backend.id);
            }
        }
        return actions;
    }

    void checkOwners()
    {
        std::vector<OpenRequest> open;
        for (const auto &[id, request] : m_queued) {
            RC_ASSERT(request.waitUntil > m_now);
            open.push_back({id, id});
        }
        for (const auto &[id, backend] : m_started)
            open.push_back({id, std::nullopt, id});
        const RequestAudit audit = auditRequests(open, m_scheduler);
        RC_ASSERT(audit.faults() == 0U);
        RC_ASSERT(audit.queued == m_queued.size());
        RC_ASSERT(audit.running == m_started.size());
    }

    DirectScheduler m_scheduler;
    Instant m_now = start;
    std::uint64_t m_lastSequence = 0;
    std::map<RequestId, DirectRequest> m_queued;
    std::map<RequestId, std::string> m_started;                    // the backend server of each
    std::vector<std::pair<RequestId, std::string>> m_slotRequests; // all that were sent
};

DirectRequest queuedRequest(std::uint64_t sequence)
{
    DirectRequest request;
    request.id = {1, sequence};
    request.service = "writer";
    request.arrivedAt = start;
    request.waitUntil = start + 500ms;
    return request;
}

} // namespace

// Guards against a request that the scheduler forgets, starts twice, starts after it was refused,
// or keeps beyond its time, and against slots that are granted and never given back.
TEST_CASE("property: each queued request is started, refused or removed exactly once and in time")
{
    CHECK(rc::check([] {
        Model model;
        const int steps = *rc::gen::inRange(1, 150);
        for (int i = 0; i < steps; ++i)
            model.step();
        model.finish();
    }));
}

// Guards against an audit that does not see a lost request.
TEST_CASE("an audit finds requests that nothing would end, and entries whose request has ended")
{
    DirectScheduler scheduler({"a", 38000, 1.5, 5});
    BackendRecord record;
    record.id = "a";
    record.service = "writer";
    record.availabilityZone = "a";
    record.slots = 2;
    scheduler.setBackends({record}, {}, start);
    for (std::uint64_t n = 1; n <= 4; ++n)
        scheduler.add(queuedRequest(n));
    REQUIRE(scheduler.advance(start).size() >= 2); // starts 1 and 2
    const RequestId first {1, 1};
    const RequestId second {1, 2};
    const RequestId third {1, 3};
    const RequestId fourth {1, 4};
    const RequestId none {1, 9};
    const RequestAudit sound = auditRequests(
            {{first, third, first}, {second, {}, second}, {fourth, fourth}, {none, {}, {}, true}},
            scheduler);
    CHECK(sound.faults() == 0);
    CHECK(sound.searching == 1);
    CHECK(sound.running == 1);
    CHECK(sound.queued == 1);
    CHECK(sound.waiting == 1);
    const RequestAudit faulty =
            auditRequests({{first, none, first}, {second, {}, none}, {fourth}}, scheduler);
    CHECK(faulty.unowned
          == std::vector<RequestAudit::UnownedRequest> {{first, RequestState::NotQueued},
                                                        {second, RequestState::NotStarted},
                                                        {fourth, RequestState::Nowhere}});
    CHECK(faulty.strayQueued.size() == 2);
    CHECK(faulty.strayStarted == std::vector<RequestId> {second});
}
