// Property tests of the agent under doubled, late and crossed messages, lost sessions and server
// faults. They guard at-most-once starts, the truth of "not run", and the limit.

#include "agentdriver.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace {

struct LiveGrant
{
    SessionId session = 0;
    RequestId request;
    Instant at;
};

AgentLimits smallLimits()
{
    AgentLimits limits;
    limits.reservationLimit = 8;
    limits.maximumConcurrency = 4;
    return limits;
}

// A hostile network between two entry daemons and an agent, and an unreliable server.
class Chaos
{
public:
    Chaos() : m_agent(smallLimits(), agentIdentity(), threeTiers())
    {
        apply(m_agent.sessionOpened(m_first, {}, m_now));
        apply(m_agent.sessionOpened(m_second, {}, m_now));
    }

    void step()
    {
        const int kind = *rc::gen::inRange(0, 20);
        if (kind < 6)
            reserve();
        else if (kind < 10)
            dispatch();
        else if (kind == 10)
            decline();
        else if (kind == 11)
            cancel();
        else if (kind < 15)
            advance();
        else if (kind < 19)
            serverEvent();
        else
            loseSession();
    }

private:
    SessionId anySession() { return *rc::gen::element(m_first, m_second); }
    RequestId anyRequest() { return requestId(*rc::gen::inRange<std::uint64_t>(1, 12)); }

    void reserve()
    {
        Reserve message = reservation(1, *rc::gen::inRange<TierRank>(0, 3));
        message.request = anyRequest();
        apply(m_agent.handle(anySession(), message, m_now));
    }

    void dispatch()
    {
        if (m_seen.empty())
            return;
        const std::size_t index = *rc::gen::inRange<std::size_t>(0, m_seen.size());
        auto [grant, seen] = m_seen[index];
        m_lastDispatch.request = seen.request;
        m_lastDispatch.grant = grant;
        const int fault = *rc::gen::inRange(0, 12);
        if (fault == 0)
            m_lastDispatch.request = anyRequest();
        if (fault == 1)
            m_lastDispatch.grant.agentIncarnation -= 1;
        const SessionId from = fault == 2 ? anySession() : seen.session;
        apply(m_agent.handle(from, m_lastDispatch, m_now));
    }

    void decline()
    {
        if (m_seen.empty())
            return;
        const std::size_t index = *rc::gen::inRange<std::size_t>(0, m_seen.size());
        const auto [grant, seen] = m_seen[index];
        if (m_closed.count(seen.session) == 0)
            m_live.erase(grant);
        apply(m_agent.handle(seen.session, Decline {seen.request, grant}, m_now));
    }

    void cancel()
    {
        const SessionId session = anySession();
        const RequestId request = anyRequest();
        std::erase_if(m_live, [&](const auto &it) {
            return it.second.session == session && it.second.request == request;
        });
        apply(m_agent.handle(session, Cancel {request}, m_now));
    }

    void advance()
    {
        m_now += Duration(*rc::gen::inRange(1, 80000));
        std::erase_if(m_live, [&](const auto &it) {
            return it.second.at + smallLimits().grantHold <= m_now;
        });
        apply(m_agent.tick(m_now));
    }

    void serverEvent()
    {
        if (m_running.empty())
            return;
        const auto index = *rc::gen::inRange<std::size_t>(0, m_running.size());
        const RequestId request = *std::next(m_running.begin(), static_cast<long>(index));
        const int kind = *rc::gen::inRange(0, 4);
        if (kind == 0) {
            m_reached.insert(request);
            apply(m_agent.firstToken(request, m_now));
            return;
        }
        m_running.erase(request);
        if (kind == 1) {
            const bool unreached = m_reached.count(request) == 0;
            if (unreached)
                m_started.erase(request); // reported as not run, may be offered again
            const FailReason reason = FailReason::EngineUnreachable;
            apply(m_agent.serverFailed(request, reason, unreached, m_now));
            return;
        }
        apply(m_agent.serverFinished(request, {100, 50}, m_now));
    }

    void loseSession()
    {
        const SessionId lost = anySession();
        m_closed.insert(lost);
        std::erase_if(m_live, [&](const auto &it) { return it.second.session == lost; });
        apply(m_agent.sessionClosed(lost, m_now));
        SessionId &slot = lost == m_first ? m_first : m_second;
        slot = m_nextSession++;
        apply(m_agent.sessionOpened(slot, {}, m_now));
    }

    void apply(const AgentActions &actions)
    {
        for (const AgentAction &it : actions) {
            if (const auto *start = std::get_if<StartOnServer>(&it))
                checkStart(start->dispatch);
            if (const auto *sent = std::get_if<SendToEntry>(&it))
                checkSent(*sent);
        }
    }

    void checkStart(const Dispatch &dispatch)
    {
        RC_ASSERT(m_started.insert(dispatch.request).second); // at most one start
        RC_ASSERT(m_reported.count(dispatch.grant) == 0U);    // "not run" stays true
        RC_ASSERT(m_live.erase(dispatch.grant) == 1U);        // only against a live grant
        m_used.insert(dispatch.grant);
        m_running.insert(dispatch.request);
        m_reached.erase(dispatch.request);
    }

    void checkSent(const SendToEntry &sent)
    {
        RC_ASSERT(m_closed.count(sent.session) == 0U);
        if (const auto *grant = std::get_if<Grant>(&sent.message))
            checkGrant(sent.session, *grant);
        const auto *failed = std::get_if<Failed>(&sent.message);
        if (failed != nullptr && failed->reason == FailReason::GrantExpired && failed->notRun)
            checkNotRun(*failed);
    }

    void checkGrant(SessionId session, const Grant &grant)
    {
        const LiveGrant live {session, grant.request, m_now};
        m_seen.emplace_back(grant.grant, live);
        m_live[grant.grant] = live;
        const std::size_t limit = m_agent.load().concurrencyLimit;
        RC_ASSERT(limit <= 4U);
        RC_ASSERT(m_live.size() + m_running.size() <= limit); // never over the limit
    }

    void checkNotRun(const Failed &failed)
    {
        RC_ASSERT(failed.request == m_lastDispatch.request);
        RC_ASSERT(m_started.count(failed.request) == 0U); // neither running nor run
        RC_ASSERT(m_used.count(m_lastDispatch.grant) == 0U);
        // A second report for one dispatch would be taken for the request's next dispatch.
        RC_ASSERT(m_reported.insert(m_lastDispatch.grant).second);
    }

    AgentScheduler m_agent;
    Instant m_now {std::chrono::seconds(1)};
    SessionId m_first = 1;
    SessionId m_second = 2;
    SessionId m_nextSession = 3;
    Dispatch m_lastDispatch;
    std::vector<std::pair<GrantId, LiveGrant>> m_seen; // all grants ever sent
    std::map<GrantId, LiveGrant> m_live;
    std::set<GrantId> m_used;
    std::set<GrantId> m_reported;  // a dispatch against it was reported as not run
    std::set<RequestId> m_started; // and not reported back as unreached
    std::set<RequestId> m_running;
    std::set<RequestId> m_reached; // the server has produced a token
    std::set<SessionId> m_closed;
};

// A server with a warm time per token that silently turns cold under a random load.
class ColdTurn
{
public:
    explicit ColdTurn(std::uint64_t seed)
        : m_random(seed), m_agent({}, agentIdentity(), threeTiers())
    {
        m_agent.sessionOpened(1, {}, m_now);
        for (std::uint64_t n = 0; n < 3000; ++n)
            apply(m_agent.handle(1, reserveNext(), m_now));
    }

    void run(int steps, Duration perToken)
    {
        m_perToken = perToken;
        for (int n = 0; n < steps; ++n) {
            m_now += m_perToken;
            apply(m_agent.tick(m_now));
            const std::map<RequestId, std::uint64_t> running = m_left;
            for (const auto &[request, left] : running)
                produce(request, left);
        }
    }

    std::size_t running() const { return m_left.size(); }
    std::size_t startsWhileFull() const { return m_startsWhileFull; }
    void countStarts() { m_counting = true; }

private:
    Reserve reserveNext()
    {
        Reserve reserve = reservation(++m_sequence);
        reserve.outputTokens = 5 + m_random.below(55);
        m_length[reserve.request] = reserve.outputTokens;
        reserve.remaining = std::chrono::hours(1);
        return reserve;
    }

    void produce(RequestId request, std::uint64_t left)
    {
        apply(m_agent.tokens(request, 1, m_now));
        if (left > 1) {
            m_left[request] = left - 1;
            return;
        }
        m_left.erase(request);
        apply(m_agent.serverFinished(request, {100, m_length.at(request)}, m_now));
        apply(m_agent.handle(1, reserveNext(), m_now));
    }

    void apply(const AgentActions &actions)
    {
        for (const AgentAction &it : actions) {
            const auto *sent = std::get_if<SendToEntry>(&it);
            const auto *grant = sent == nullptr ? nullptr : std::get_if<Grant>(&sent->message);
            if (grant != nullptr)
                start(*grant);
        }
    }

    void start(const Grant &grant)
    {
        if (m_counting && !m_left.empty())
            ++m_startsWhileFull; // a cold server bears one request
        m_left[grant.request] = m_length.at(grant.request);
        apply(m_agent.handle(1, AgentDriver::dispatchFor(grant), m_now));
    }

    SeededRandom m_random;
    AgentScheduler m_agent;
    Instant m_now {std::chrono::seconds(1)};
    Duration m_perToken {};
    std::uint64_t m_sequence = 0;
    std::map<RequestId, std::uint64_t> m_left; // tokens to come
    std::map<RequestId, std::uint64_t> m_length;
    std::size_t m_startsWhileFull = 0;
    bool m_counting = false;
};

} // namespace

TEST_CASE("under doubled, late and crossed messages no request starts twice, not run is true, and "
          "the limit holds")
{
    CHECK(rc::check([] {
        Chaos chaos;
        const int steps = *rc::gen::inRange(1, 150);
        for (int n = 0; n < steps; ++n)
            chaos.step();
    }));
}

TEST_CASE("a server that silently turned cold gets at most three more requests than it bears")
{
    CHECK(rc::check([] {
        ColdTurn server(*rc::gen::arbitrary<std::uint64_t>());
        server.run(*rc::gen::inRange(800, 1200), std::chrono::milliseconds(10));
        RC_ASSERT(server.running() >= 8U);
        server.countStarts();
        server.run(60, std::chrono::milliseconds(*rc::gen::inRange(60, 200)));
        RC_ASSERT(server.startsWhileFull() <= 3U);
    }));
}
