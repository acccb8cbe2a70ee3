// Runs an entry daemon, an agent and a scripted backend server inside the test process and measures
// the processor time of the two daemons. Other processes on the machine can only increase the
// measured time, so benchmarks repeat the measurement up to benchmarkAttempts times and take the
// lowest value.

#ifndef CORNELSHED_TEST_PROXYPATH_H
#define CORNELSHED_TEST_PROXYPATH_H

#include "agentrunner.h"
#include "entryrunner.h"
#include "loopback.h"

#include <pthread.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>

namespace cornelshed::testing {

inline constexpr int benchmarkAttempts = 3;
inline constexpr const char *daemonThreadName = "daemons";

// Creates an object whose threads are named daemonThreadName: a new thread inherits the name of the
// thread that creates it. daemonCpuMicros() finds the daemons' threads by this name.
template<typename Create> auto createWithThreadName(Create create)
{
    pthread_setname_np(pthread_self(), daemonThreadName);
    auto created = create();
    pthread_setname_np(pthread_self(), "bench");
    return created;
}

// Processor time of the daemons' live threads since they started, in microseconds (first field of
// /proc/self/task/*/schedstat, in nanoseconds).
inline double daemonCpuMicros()
{
    double nanoseconds = 0;
    for (const auto &it : std::filesystem::directory_iterator("/proc/self/task")) {
        std::string name;
        std::ifstream(it.path() / "comm") >> name;
        double used = 0;
        std::ifstream(it.path() / "schedstat") >> used;
        if (name == daemonThreadName)
            nanoseconds += used;
    }
    return nanoseconds / 1000;
}

// The path caller - entry daemon - agent - backend server; the constructor waits until the entry
// daemon has connected to the agent, for at most 10 s.
class ProxyPath
{
public:
    ProxyPath(PoolKind kind, BackendStub::Handler handler)
        : m_backend(std::move(handler)), m_agent(createWithThreadName([&] {
              return std::make_unique<AgentRunner>(agentSettings(m_backend.port(), kind));
          })),
          m_entry(createWithThreadName([] { return std::make_unique<EntryRunner>(settings()); }))
    {
        m_entry->configure(smallDeployment(),
                           {{"a1", "127.0.0.1", m_agent->daemon().entryPort(), "z1"}});
        m_entry->waitForAgents(1);
    }

    static EntrySettings settings()
    {
        EntrySettings settings = entrySettings();
        settings.trafficThreads = 2;
        return settings;
    }

    // Port of the backend server itself, for a comparison without the daemons.
    std::uint16_t directPort() const { return m_backend.port(); }
    std::uint16_t port() const { return m_entry->port(); }

private:
    BackendStub m_backend;
    std::unique_ptr<AgentRunner> m_agent;
    std::unique_ptr<EntryRunner> m_entry;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_PROXYPATH_H
