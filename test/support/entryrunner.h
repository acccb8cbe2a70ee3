// Runs the traffic side of an entry daemon inside the test process. The control side is replaced by
// an in-memory link, and tests supply the configuration and the agents' addresses directly.

#ifndef CORNELSHED_TEST_ENTRYRUNNER_H
#define CORNELSHED_TEST_ENTRYRUNNER_H

#include "controllink.h"
#include "entryservice.h"

#include <chrono>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cornelshed::testing {

// Keeps idempotency claims in memory, by the same rules as the claims in the platform's table.
// setAvailable(false) simulates a table that cannot be reached.
class InMemoryControlLink final : public ControlLink
{
public:
    void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
               ControlThread::ClaimCallback callback) override
    {
        callback(tryClaim(key, request, bodyDigest));
    }

    void finishClaim(const ClaimKey &key, RequestId /*request*/, StoredResponse answer) override
    {
        const std::lock_guard lock(m_mutex);
        m_rows[key].result = {ClaimVerdict::Finished, std::move(answer)};
    }

    void releaseClaim(const ClaimKey &key, RequestId /*request*/) override
    {
        const std::lock_guard lock(m_mutex);
        m_rows.erase(key);
        ++m_releaseCount;
    }

    void recordOutcome(const ReportOutcome & /*outcome*/) override { }
    void recordEndedRequest(const EndedRequest & /*ending*/) override { }

    void setAvailable(bool available)
    {
        const std::lock_guard lock(m_mutex);
        m_available = available;
    }

    int releaseCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_releaseCount;
    }

private:
    struct ClaimRow
    {
        std::uint64_t bodyDigest = 0;
        ClaimResult result {ClaimVerdict::Open, {}};
    };

    ClaimResult tryClaim(const ClaimKey &key, RequestId /*request*/, std::uint64_t bodyDigest)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_available)
            return {ClaimVerdict::Unavailable, {}};
        const auto [it, isNew] = m_rows.try_emplace(key, ClaimRow {bodyDigest, {}});
        if (isNew)
            it->second.result.verdict = ClaimVerdict::Open;
        if (isNew)
            return {ClaimVerdict::Claimed, {}};
        if (it->second.bodyDigest != bodyDigest)
            return {ClaimVerdict::BodyMismatch, {}};
        return it->second.result;
    }

    mutable std::mutex m_mutex; // guards all members below
    std::map<ClaimKey, ClaimRow> m_rows;
    bool m_available = true;
    int m_releaseCount = 0;
};

inline Configuration smallDeployment()
{
    Configuration configuration;
    configuration.version = 1;
    configuration.deployment = "test";
    configuration.tiers = {{"high", 0, 0.0}, {"low", 1, 0.1}};
    configuration.organisations = {{"acme", "high", 1}, {"budget", "low", 1}};
    configuration.availabilityZones = {{"z1", "r", AvailabilityZoneState::Serving}};
    configuration.pools = {{"engines", PoolKind::Engine, "g1", {"writer"}, false, 64},
                           {"services", PoolKind::Service, "g1", {}, false, 64}};
    configuration.routes = {{"/v1/completions", {"engines"}, true, 20000, 30000},
                            {"/v1/chat/completions", {"engines"}, true, 20000, 30000},
                            {"/status", {"services"}, true, 20000, 30000},
                            {"/orders", {"services"}, false, 20000, 30000}};
    return configuration;
}

inline EntrySettings entrySettings()
{
    EntrySettings settings;
    settings.name = "e1";
    settings.availabilityZone = "z1";
    settings.listenAddress = "127.0.0.1";
    settings.headerLimitBytes = 2048;
    settings.bodyLimitBytes = 65536;
    settings.headerTimeoutMs = 2000;
    return settings;
}

class EntryRunner
{
public:
    explicit EntryRunner(const EntrySettings &settings) : m_service(settings, 77, m_control)
    {
        if (const auto problem = m_service.start())
            throw std::runtime_error(*problem);
    }

    // text: what agents are sent. replacesText: another one was in force with the same version.
    void configure(const Configuration &configuration, std::vector<AgentAddress> agents,
                   const std::string &text = {}, bool replacesText = false)
    {
        auto routing = std::make_shared<RoutingView>();
        routing->configuration = std::make_shared<const Configuration>(configuration);
        auto view = std::make_shared<ControlView>();
        view->routing = std::move(routing);
        view->configurationText = std::make_shared<const std::string>(text);
        view->configurationReplacesText = replacesText;
        view->agents = std::move(agents);
        m_service.setView(std::move(view));
    }

    // Returns false if fewer agents than count are connected after 10 s.
    bool waitForAgents(std::size_t count)
    {
        for (int attempt = 0; attempt < 2000 && m_service.connectedAgentCount() < count; ++attempt)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return m_service.connectedAgentCount() >= count;
    }

    EntryService &service() { return m_service; }
    InMemoryControlLink &control() { return m_control; }
    std::uint16_t port() const { return m_service.callerPort(); }

private:
    InMemoryControlLink m_control;
    EntryService m_service;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_ENTRYRUNNER_H
