// Starts, observes and stops the processes of a cluster.

#include "cluster.h"

#include "childprocess.h"
#include "clustersettings.h"
#include "freeports.h"
#include "temporaryfolder.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace cornelshed::demo {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using standins::HttpClientResponse;
using standins::HttpEndpoint;
using standins::HttpTransportResult;
using standins::sendHttpRequestBlocking;

namespace {

// Time limit of a single step, far above the duration of any step on a busy machine.
constexpr auto stepTimeLimit = 20s;
constexpr auto pollInterval = 5ms;
constexpr auto readyPollInterval = 20ms;

// Polls the condition until it holds. Throws std::runtime_error after stepTimeLimit.
void waitFor(const std::string &what, const std::function<bool()> &condition)
{
    const Clock::time_point giveUpTime = Clock::now() + stepTimeLimit;
    while (!condition()) {
        if (Clock::now() >= giveUpTime)
            throw std::runtime_error("timed out waiting for " + what);
        std::this_thread::sleep_for(pollInterval);
    }
}

bool isStandIn(MemberKind kind)
{
    return kind == MemberKind::Platform || kind == MemberKind::Engine
            || kind == MemberKind::Service;
}

const char *programName(MemberKind kind)
{
    switch (kind) {
    case MemberKind::Platform:
        return "standin-platform";
    case MemberKind::Engine:
        return "standin-engine";
    case MemberKind::Service:
        return "standin-service";
    case MemberKind::EngineAgent:
    case MemberKind::ServiceAgent:
        return "cornelshed-agentd";
    case MemberKind::Entry:
        return "cornelshed-entryd";
    }
    return "";
}

// Returns the value of an unlabelled metric in Prometheus text format, or -1 if it is absent.
double metricValue(const std::string &text, const std::string &name)
{
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(name + ' '))
            return std::stod(line.substr(name.size()));
    }
    return -1;
}

} // namespace

class Cluster::Private
{
public:
    explicit Private(ClusterOptions options) : m_options(std::move(options)) { }

    void addMembers();
    void addEngine(std::size_t number);
    void addAgent(const ClusterMember &server, MemberKind kind);
    void writeSettings();
    [[nodiscard]] const ClusterMember &member(const std::string &name) const;
    [[nodiscard]] std::vector<ClusterMember> membersOfKind(MemberKind kind) const;
    void startMember(const ClusterMember &member);
    void waitUntilListening(const ClusterMember &member);
    [[nodiscard]] std::vector<std::string> programArguments(const ClusterMember &member) const;
    [[nodiscard]] bool respondsOk(const ClusterMember &member, const std::string &path) const;
    void acceptConfiguration(const std::vector<std::string> &withdrawnZones);
    void runOperator(const std::vector<std::string> &arguments);
    std::vector<ClusterMember> runningMembers(const std::vector<MemberKind> &kinds);
    [[nodiscard]] bool isServing(const ClusterMember &member, const std::string &metricPrefix,
                                 const std::string &sessionMetric, std::size_t sessionCount) const;
    void waitUntilEntriesServe();
    void startReadyPolling();
    void stopReadyPolling();

    ClusterOptions m_options;
    TemporaryFolder m_folder;
    std::vector<ClusterMember> m_members; // in start order; stopAll() uses the reverse
    std::map<std::string, ChildProcess> m_children;
    std::uint64_t m_acceptedVersion = 0; // of the configuration; each acceptance adds 1
    std::vector<std::unique_ptr<std::atomic<bool>>> m_entryReady; // by index of the entry daemon
    std::atomic<bool> m_stopReadyPolling {false};
    std::thread m_readyPollThread;
};

void Cluster::Private::addMembers()
{
    m_members.push_back({"platform", MemberKind::Platform, "", "", "", takeFreePort(), 0, 0});
    const std::size_t engineCount = m_options.zoneCount * m_options.enginesPerZone;
    for (std::size_t i = 0; i < engineCount; ++i)
        addEngine(i);
    m_members.push_back(
            {"service", MemberKind::Service, zoneName(0), servicePool, "", takeFreePort(), 0, 0});
    for (const ClusterMember &it : membersOfKind(MemberKind::Engine))
        addAgent(it, MemberKind::EngineAgent);
    addAgent(member("service"), MemberKind::ServiceAgent);
    for (std::size_t i = 0; i < m_options.entryCount; ++i) {
        m_members.push_back({"entry-" + std::to_string(i), MemberKind::Entry,
                             zoneName(i % m_options.zoneCount), "", "", takeFreePort(),
                             takeFreePort(), takeFreePort()});
        m_entryReady.push_back(std::make_unique<std::atomic<bool>>(false));
    }
}

// Row r holds engine r of each zone. Each row shifts the speeds by one zone, so that every zone
// gets engines of different speeds.
void Cluster::Private::addEngine(std::size_t number)
{
    const std::size_t zone = number % m_options.zoneCount;
    const std::size_t row = number / m_options.zoneCount;
    const EngineSpeed &speed = engineSpeeds[(zone + row) % engineSpeeds.size()];
    m_members.push_back({"engine-" + std::to_string(number), MemberKind::Engine, zoneName(zone),
                         speed.pool, "", takeFreePort(), 0, 0});
}

void Cluster::Private::addAgent(const ClusterMember &server, MemberKind kind)
{
    const ClusterMember agent {
            "agent-" + server.name, kind, server.zone, server.pool, server.name, takeFreePort(),
            takeFreePort(),         0};
    m_members.push_back(agent);
}

void Cluster::Private::writeSettings()
{
    for (const ClusterMember &it : m_members) {
        if (it.kind == MemberKind::Entry)
            m_folder.write(it.name + ".toml", entrySettingsText(m_options, it, member("platform")));
        else if (!it.server.empty())
            m_folder.write(it.name + ".toml", agentSettingsText(m_options, it, member(it.server)));
    }
}

const ClusterMember &Cluster::Private::member(const std::string &name) const
{
    const auto it = std::find_if(m_members.begin(), m_members.end(),
                                 [&](const ClusterMember &other) { return other.name == name; });
    if (it == m_members.end())
        throw std::runtime_error("the cluster has no member named " + name);
    return *it;
}

std::vector<ClusterMember> Cluster::Private::membersOfKind(MemberKind kind) const
{
    std::vector<ClusterMember> found;
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(found),
                 [kind](const ClusterMember &it) { return it.kind == kind; });
    return found;
}

std::vector<std::string> Cluster::Private::programArguments(const ClusterMember &member) const
{
    if (!isStandIn(member.kind))
        return {"--settings", m_folder.file(member.name + ".toml")};
    std::vector<std::string> arguments {"--port", std::to_string(member.port)};
    const auto add = [&](const char *option, const std::string &value) {
        arguments.insert(arguments.end(), {option, value});
    };
    if (member.kind == MemberKind::Platform) {
        add("--host-lag-ms", std::to_string(m_options.hostLagMs));
        return arguments;
    }
    add("--ledger-file", m_folder.file(member.name + ".ledger"));
    if (member.kind == MemberKind::Service) {
        add("--delay-ms", std::to_string(m_options.serviceDelayMs));
        return arguments;
    }
    for (const EngineSpeed &it : engineSpeeds) {
        if (member.pool != it.pool)
            continue;
        add("--prefill-tokens-per-second", std::to_string(it.prefillTokensPerSecond));
        add("--decode-tokens-per-second", std::to_string(it.decodeTokensPerSecond));
    }
    return arguments;
}

void Cluster::Private::startMember(const ClusterMember &member)
{
    const std::string program = m_options.binaryFolder + '/' + programName(member.kind);
    m_children.insert_or_assign(
            member.name,
            ChildProcess(program, programArguments(member), m_folder.file(member.name + ".log")));
}

bool Cluster::Private::respondsOk(const ClusterMember &member, const std::string &path) const
{
    const std::uint16_t port = member.adminPort != 0 ? member.adminPort : member.port;
    const HttpClientResponse reply =
            sendHttpRequestBlocking({"127.0.0.1", port}, {"GET", path, {}, ""}, 2000ms);
    return reply.transport == HttpTransportResult::Complete && reply.status == 200;
}

void Cluster::Private::waitUntilListening(const ClusterMember &member)
{
    const std::string path = member.kind == MemberKind::Platform ? "/counts"
            : isStandIn(member.kind)                             ? "/ledger"
                                                                 : "/health";
    waitFor(member.name + " to listen", [&] {
        if (!m_children.at(member.name).running())
            throw std::runtime_error(member.name + " exited during startup:\n"
                                     + m_folder.read(member.name + ".log"));
        return respondsOk(member, path);
    });
}

void Cluster::Private::runOperator(const std::vector<std::string> &arguments)
{
    const auto status = runProgram(m_options.binaryFolder + "/cornelshed", arguments,
                                   m_folder.file("operator.log"), stepTimeLimit);
    if (status != 0)
        throw std::runtime_error("cornelshed " + arguments.front() + " failed:\n"
                                 + m_folder.read("operator.log"));
}

void Cluster::Private::acceptConfiguration(const std::vector<std::string> &withdrawnZones)
{
    m_folder.write("answers.toml", answersText(m_options, withdrawnZones));
    const std::string configuration = m_folder.file("configuration.toml");
    const std::string platform = "127.0.0.1:" + std::to_string(member("platform").port);
    runOperator(
            {"generate", "--answers", m_folder.file("answers.toml"), "--output", configuration});
    runOperator({"accept", "--configuration", configuration, "--platform", platform, "--operator",
                 "demo"});
    m_acceptedVersion += 1;
}

std::vector<ClusterMember> Cluster::Private::runningMembers(const std::vector<MemberKind> &kinds)
{
    std::vector<ClusterMember> running;
    for (const MemberKind kind : kinds) {
        for (const ClusterMember &it : membersOfKind(kind)) {
            if (m_children.at(it.name).running())
                running.push_back(it);
        }
    }
    return running;
}

// Returns whether a daemon is ready and its metrics report the accepted configuration and at least
// sessionCount sessions.
bool Cluster::Private::isServing(const ClusterMember &member, const std::string &metricPrefix,
                                 const std::string &sessionMetric, std::size_t sessionCount) const
{
    const HttpClientResponse reply = sendHttpRequestBlocking({"127.0.0.1", member.adminPort},
                                                             {"GET", "/metrics", {}, ""}, 2000ms);
    return metricValue(reply.body, metricPrefix + sessionMetric)
            >= static_cast<double>(sessionCount)
            && metricValue(reply.body, metricPrefix + "configuration_version")
            >= static_cast<double>(m_acceptedVersion)
            && respondsOk(member, "/ready");
}

void Cluster::Private::waitUntilEntriesServe()
{
    const std::size_t agentCount =
            runningMembers({MemberKind::EngineAgent, MemberKind::ServiceAgent}).size();
    for (const ClusterMember &it : runningMembers({MemberKind::Entry}))
        waitFor(it.name + " to serve",
                [&] { return isServing(it, "cornelshed_entry_", "agent_sessions", agentCount); });
}

void Cluster::Private::startReadyPolling()
{
    m_stopReadyPolling = false;
    m_readyPollThread = std::thread([this, entries = membersOfKind(MemberKind::Entry)] {
        while (!m_stopReadyPolling) {
            for (std::size_t i = 0; i < entries.size(); ++i)
                *m_entryReady[i] = respondsOk(entries[i], "/ready");
            std::this_thread::sleep_for(readyPollInterval);
        }
    });
}

void Cluster::Private::stopReadyPolling()
{
    m_stopReadyPolling = true;
    if (m_readyPollThread.joinable())
        m_readyPollThread.join();
}

Cluster::Cluster(ClusterOptions options) : d(std::make_unique<Private>(std::move(options)))
{
    d->addMembers();
    d->writeSettings();
}

Cluster::~Cluster()
{
    d->stopReadyPolling();
}

void Cluster::start()
{
    for (const ClusterMember &it : d->m_members) {
        if (it.kind != MemberKind::Entry)
            d->startMember(it);
    }
    for (const ClusterMember &it : d->m_members) {
        if (it.kind != MemberKind::Entry)
            d->waitUntilListening(it);
    }
    sendHttpRequestBlocking(endpointOf("platform"),
                            {"POST", "/hosts/set", {}, hostListText(d->m_members)}, stepTimeLimit);
    d->acceptConfiguration({});
    for (const ClusterMember &it : d->membersOfKind(MemberKind::Entry)) {
        d->startMember(it);
        d->waitUntilListening(it);
    }
    waitUntilServing();
    d->startReadyPolling();
    for (std::size_t i = 0; i < d->m_entryReady.size(); ++i)
        waitFor("all entry daemons to report ready to the load balancer",
                [&] { return entryReady(i); });
}

void Cluster::acceptWithdrawal(const std::vector<std::string> &withdrawnZones)
{
    d->acceptConfiguration(withdrawnZones);
    d->waitUntilEntriesServe();
}

std::vector<std::string> Cluster::memberNames(MemberKind kind) const
{
    std::vector<std::string> names;
    for (const ClusterMember &it : d->membersOfKind(kind))
        names.push_back(it.name);
    return names;
}

std::string Cluster::zoneOf(const std::string &name) const
{
    return d->member(name).zone;
}

HttpEndpoint Cluster::endpointOf(const std::string &name) const
{
    return {"127.0.0.1", d->member(name).port};
}

std::uint16_t Cluster::peerPortOf(const std::string &name) const
{
    return d->member(name).peerPort;
}

HttpEndpoint Cluster::adminEndpointOf(const std::string &name) const
{
    return {"127.0.0.1", d->member(name).adminPort};
}

int Cluster::processId(const std::string &name) const
{
    return d->m_children.at(name).id();
}

bool Cluster::isRunning(const std::string &name)
{
    return d->m_children.at(name).running();
}

void Cluster::kill(const std::string &name)
{
    ChildProcess &child = d->m_children.at(name);
    child.sendSignal(SIGKILL);
    if (!child.waitForExit(stepTimeLimit))
        throw std::runtime_error(name + " did not end after SIGKILL");
}

int Cluster::stop(const std::string &name)
{
    ChildProcess &child = d->m_children.at(name);
    child.sendSignal(SIGTERM);
    const auto status = child.waitForExit(stepTimeLimit);
    if (!status)
        throw std::runtime_error(name + " did not end after SIGTERM");
    return *status;
}

void Cluster::restart(const std::string &name)
{
    const ClusterMember &member = d->member(name);
    d->startMember(member);
    d->waitUntilListening(member);
}

void Cluster::waitUntilServing()
{
    d->waitUntilEntriesServe();
    const std::size_t entryCount = d->runningMembers({MemberKind::Entry}).size();
    for (const ClusterMember &it :
         d->runningMembers({MemberKind::EngineAgent, MemberKind::ServiceAgent}))
        waitFor(it.name + " to serve",
                [&] { return d->isServing(it, "cornelshed_agent_", "sessions", entryCount); });
}

bool Cluster::entryReady(std::size_t number) const
{
    return *d->m_entryReady.at(number);
}

std::map<std::string, int> Cluster::stopAll()
{
    d->stopReadyPolling();
    std::map<std::string, int> statuses;
    for (auto it = d->m_members.rbegin(); it != d->m_members.rend(); ++it) {
        if (d->m_children.at(it->name).running())
            statuses[it->name] = stop(it->name);
    }
    return statuses;
}

std::string Cluster::keepFiles()
{
    d->m_folder.keep();
    return d->m_folder.file("");
}

} // namespace cornelshed::demo
