// Drives one AgentScheduler under a virtual clock and records the actions that it returns.

#ifndef CORNELSHED_AGENTDRIVER_H
#define CORNELSHED_AGENTDRIVER_H

#include "agentscheduler.h"

#include <algorithm>
#include <vector>

namespace cornelshed::testing {

constexpr std::uint64_t agentIncarnation = 7;

inline std::vector<TierSettings> threeTiers()
{
    return {{"gold", 0, 0}, {"silver", 1, 0.1}, {"bronze", 2, 0.05}};
}

inline Welcome agentIdentity()
{
    Welcome identity;
    identity.backendServer = {"runner-1", agentIncarnation};
    identity.pool = "writers";
    identity.availabilityZone = "tas-south-a";
    identity.models = {"reed"};
    return identity;
}

inline RequestId requestId(std::uint64_t sequence)
{
    return {1, sequence};
}

inline Reserve reservation(std::uint64_t sequence, TierRank tier = 0,
                           const std::string &organisation = "weavers")
{
    Reserve reserve;
    reserve.request = requestId(sequence);
    reserve.tier = tier;
    reserve.organisation = organisation;
    reserve.model = "reed";
    reserve.promptTokens = 100;
    reserve.outputTokens = 50;
    reserve.remaining = std::chrono::seconds(30);
    return reserve;
}

// Every action of the scheduler is recorded until clearActions() clears the record. The sessions to
// entry daemons 1 to sessionCount are open from the start.
class AgentDriver
{
public:
    explicit AgentDriver(const AgentLimits &limits = {}, SessionId sessionCount = 1)
        : m_agent(limits, agentIdentity(), threeTiers())
    {
        for (SessionId session = 1; session <= sessionCount; ++session)
            recordActions(m_agent.sessionOpened(session, {"entry", session, 0}, m_now));
        m_actions.clear();
    }

    AgentScheduler &agent() { return m_agent; }
    Instant now() const { return m_now; }
    const AgentActions &actions() const { return m_actions; }
    void clearActions() { m_actions.clear(); }

    void advance(Duration elapsed)
    {
        m_now += elapsed;
        recordActions(m_agent.tick(m_now));
    }

    void send(const EntryMessage &message, SessionId session = 1)
    {
        recordActions(m_agent.handle(session, message, m_now));
    }

    void recordActions(const AgentActions &actions)
    {
        m_actions.insert(m_actions.end(), actions.begin(), actions.end());
    }

    // All messages of one type that were sent to entry daemons since the last clearActions().
    template<typename Message> std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const AgentAction &it : m_actions) {
            const auto *action = std::get_if<SendToEntry>(&it);
            if (action != nullptr && std::holds_alternative<Message>(action->message))
                found.push_back(std::get<Message>(action->message));
        }
        return found;
    }

    std::vector<RequestId> started() const
    {
        std::vector<RequestId> found;
        for (const AgentAction &it : m_actions) {
            if (const auto *action = std::get_if<StartOnServer>(&it))
                found.push_back(action->dispatch.request);
        }
        return found;
    }

    std::size_t cancelled() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_actions.begin(), m_actions.end(), [](const AgentAction &it) {
                    return std::holds_alternative<CancelOnServer>(it);
                }));
    }

    static Dispatch dispatchFor(const Grant &grant)
    {
        Dispatch dispatch;
        dispatch.request = grant.request;
        dispatch.grant = grant.grant;
        return dispatch;
    }

    // Simulates the backend server's answer to a started request: the first token after firstToken,
    // each later one after another perToken, then the end of the answer.
    void completeRequest(RequestId request, Duration firstToken, Duration perToken,
                         std::uint64_t count)
    {
        advance(firstToken);
        recordActions(m_agent.firstToken(request, m_now));
        for (std::uint64_t generated = 1; generated < count; ++generated) {
            advance(perToken);
            recordActions(m_agent.tokens(request, 1, m_now));
        }
        Usage usage;
        usage.promptTokens = 100;
        usage.outputTokens = count;
        recordActions(m_agent.serverFinished(request, usage, m_now));
    }

private:
    AgentScheduler m_agent;
    Instant m_now {std::chrono::seconds(1)};
    AgentActions m_actions;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_AGENTDRIVER_H
