// A small cluster for tests with hostile peers: one engine, one plain service, their agents and one
// entry daemon, all as processes on the loopback interface.

#ifndef CORNELSHED_TEST_HOSTILECLUSTER_H
#define CORNELSHED_TEST_HOSTILECLUSTER_H

#include "cluster.h"
#include "hostilecrowd.h"
#include "processusage.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace cornelshed::testing {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

// What a daemon may need besides what its limits name: its code, its own state and buffers, and the
// copies of the requests that its threads are working on.
constexpr std::size_t ownBytes = 24 * mebibyte;

inline constexpr const char *entryName = "entry-0";
inline constexpr const char *engineAgentName = "agent-engine-0";

class HostileCluster
{
public:
    HostileCluster(std::string entryLimits, std::string agentLimits)
        : m_cluster(options(std::move(entryLimits), std::move(agentLimits)))
    {
        m_cluster.start();
    }

    demo::Cluster &cluster() { return m_cluster; }
    std::uint16_t portOf(const std::string &name) { return m_cluster.endpointOf(name).port; }
    int processOf(const std::string &name) { return m_cluster.processId(name); }

    // Status of a small prompt, or 0 without an answer.
    unsigned prompt()
    {
        return post("/v1/completions", {},
                    R"({"model":"loom","prompt":"pattern of a mat","max_tokens":4})");
    }

    // Status of a call of the plain service, or 0 without an answer.
    unsigned order(const std::string &key, std::string body)
    {
        return post("/orders", key, std::move(body));
    }

    // Body of the last response.
    const std::string &lastBody() const { return m_lastBody; }

    // Repeats a small prompt, as an ordinary caller does after a refusal, until it is answered or
    // the time limit of the test has passed.
    bool isPromptAnswered()
    {
        const auto giveUpTime = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (std::chrono::steady_clock::now() < giveUpTime) {
            if (prompt() == 200)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }

private:
    static demo::ClusterOptions options(std::string entryLimits, std::string agentLimits)
    {
        demo::ClusterOptions options;
        options.binaryFolder = CORNELSHED_BINARY_DIR;
        options.sourceFolder = CORNELSHED_SOURCE_DIR;
        options.zoneCount = 1;
        options.enginesPerZone = 1;
        options.entryCount = 1;
        options.entryLimitsText = std::move(entryLimits);
        options.agentLimitsText = std::move(agentLimits);
        return options;
    }

    unsigned post(const std::string &path, const std::string &key, std::string body)
    {
        standins::HttpClientRequest request {
                "POST", path, {{"Cornelshed-Organisation", "large-1"}}, std::move(body)};
        if (!key.empty())
            request.headers.emplace_back("Idempotency-Key", key);
        const standins::HttpClientResponse response = standins::sendHttpRequestBlocking(
                m_cluster.endpointOf(entryName), request, std::chrono::seconds(15));
        m_lastBody = response.body;
        return response.status;
    }

    demo::Cluster m_cluster;
    std::string m_lastBody;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_HOSTILECLUSTER_H
