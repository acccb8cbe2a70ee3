// Gateways in virtual time, to which one prompt comes that crashes its backend servers, and sound
// requests beside it. Reports are sent as in a deployment: to five peers every 50 ms.

#ifndef CORNELSHED_TEST_PROMPTFLEET_H
#define CORNELSHED_TEST_PROMPTFLEET_H

#include "promptquarantine.h"
#include "types.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cornelshed::testing {

struct PromptTraffic
{
    Duration deadlyInterval = std::chrono::seconds(1); // between two deadly requests
    std::uint32_t soundPerStep = 2;                    // sound requests every 50 ms
    std::uint32_t lossPercent = 0;                     // of reports
};

class PromptFleet
{
public:
    static constexpr Duration step = std::chrono::milliseconds(50);
    static constexpr std::size_t peersPerStep = 5;

    PromptFleet(std::size_t gatewayCount, const PromptTraffic &traffic, std::uint64_t seed)
        : m_random(seed), m_traffic(traffic)
    {
        for (std::size_t n = 0; n < gatewayCount; ++n) {
            m_gateways.push_back(std::make_unique<PromptQuarantine>());
            m_gateways.back()->setGateways(static_cast<std::uint32_t>(gatewayCount),
                                           static_cast<std::uint32_t>(n));
        }
    }

    void run(Duration length)
    {
        const Instant end = m_now + length;
        for (Instant nextDeadly = m_now; m_now < end; m_now += step) {
            for (; nextDeadly <= m_now; nextDeadly += m_traffic.deadlyInterval)
                arrive(deadlyPrompt(), true);
            for (std::uint32_t n = 0; n < m_traffic.soundPerStep; ++n)
                arrive(soundPrompt(), false);
            endRequests();
            exchangeReports();
            for (auto &it : m_gateways)
                it->advance(m_now);
            takeBack();
        }
    }

    // Called with each report that a gateway sends.
    std::function<void(const std::vector<PromptPartReport> &)> onReport;

    // Of all requests with the deadly prompt, also of those that were sent again by their gateway.
    std::size_t crashes() const { return m_crashedServers; }
    std::size_t soundHeldBack() const { return m_soundHeldBack; }
    std::size_t quarantinedGateways() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_gateways.begin(), m_gateways.end(), [&](const auto &it) {
                    return it->refusal(deadlyPrompt(), m_now).has_value();
                }));
    }

private:
    struct Running
    {
        std::size_t gateway = 0;
        PromptIdentity prompt;
        bool deadly = false;
        bool again = false; // sent a second time by its gateway
        Instant sentAt {};
        Instant beginsAt {};
    };

    static PromptIdentity deadlyPrompt() { return {{11, 13}, 17, 19, 23}; }

    // Shares all but the content with the deadly one, or less.
    PromptIdentity soundPrompt()
    {
        PromptIdentity prompt = deadlyPrompt();
        prompt.content = 1000 + m_random.below(1000000);
        if (m_random.below(2) == 0)
            prompt.session = 1000 + m_random.below(1000000);
        if (m_random.below(2) == 0)
            prompt.sharedParts = {11};
        return prompt;
    }

    void arrive(const PromptIdentity &prompt, bool deadly)
    {
        send({m_random.below(m_gateways.size()), prompt, deadly, false, {}, {}});
    }

    void send(Running request)
    {
        if (m_gateways[request.gateway]->refusalAtStart(request.prompt, m_now)) {
            m_soundHeldBack += request.deadly ? 0 : 1;
            return;
        }
        request.sentAt = m_now;
        // As measured on the day of the incident.
        request.beginsAt = m_now + std::chrono::milliseconds(240 + m_random.below(450));
        m_running.push_back(request);
    }

    void endRequests()
    {
        for (std::size_t i = 0; i < m_running.size();) {
            const Running it = m_running[i];
            if (it.beginsAt > m_now) {
                ++i;
                continue;
            }
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
            PromptQuarantine &gateway = *m_gateways[it.gateway];
            if (!it.deadly) {
                gateway.recordAnswer(it.prompt, m_now);
                gateway.recordCompletion(it.prompt, m_now);
                continue;
            }
            gateway.recordCrash(it.prompt, ++m_crashedServers, it.sentAt, m_now);
            cutBeside();
            if (!it.again && !gateway.isSuspect(it.prompt))
                send({it.gateway, it.prompt, true, true, {}, {}});
        }
    }

    // A sound request was on the server that crashed, and its answer had just begun, too.
    void cutBeside()
    {
        if (m_running.empty() || m_random.below(3) != 0)
            return;
        const std::size_t beside = m_random.below(m_running.size());
        const Running other = m_running[beside];
        if (other.deadly)
            return;
        m_gateways[other.gateway]->recordCrash(other.prompt, m_crashedServers, other.sentAt, m_now);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(beside));
    }

    void exchangeReports()
    {
        for (auto &from : m_gateways) {
            const auto reports = from->reports(m_now);
            if (onReport)
                onReport(reports);
            for (std::size_t n = 0; n < peersPerStep && !reports.empty(); ++n) {
                auto &to = m_gateways[m_random.below(m_gateways.size())];
                if (to != from && m_random.below(100) >= m_traffic.lossPercent)
                    to->merge(reports, m_now);
            }
        }
    }

    void takeBack()
    {
        for (std::size_t n = 0; n < m_gateways.size(); ++n) {
            if (m_gateways[n]->takeNewlyQuarantined().empty())
                continue;
            std::erase_if(m_running, [&](const Running &it) {
                return it.gateway == n && m_gateways[n]->refusal(it.prompt, m_now);
            });
        }
    }

    SeededRandom m_random;
    PromptTraffic m_traffic;
    Instant m_now {std::chrono::hours(1)};
    std::vector<std::unique_ptr<PromptQuarantine>> m_gateways;
    std::vector<Running> m_running;
    std::size_t m_crashedServers = 0;
    std::size_t m_soundHeldBack = 0;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_PROMPTFLEET_H
