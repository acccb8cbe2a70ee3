// Starts the programs of the deploy file by fork and exec.

#include "scene.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace review {

Ports Ports::free()
{
    Ports ports {};
    // Apart for cases that run one after the other, so that old connections do not hold a port.
    auto next = static_cast<std::uint16_t>(21000 + ::getpid() % 1500 * 10);
    for (std::uint16_t *it : {&ports.front, &ports.ready, &ports.store, &ports.peer, &ports.agent,
                              &ports.metrics, &ports.app}) {
        *it = freePort(next);
        next = static_cast<std::uint16_t>(*it + 1);
    }
    return ports;
}

Process::Process(std::string program, std::string settingsFile, std::string logFile)
    : m_program(std::move(program)), m_settingsFile(std::move(settingsFile)),
      m_logFile(std::move(logFile))
{ }

Process::~Process()
{
    kill();
}

void Process::start()
{
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the case itself is ended
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl(m_program.c_str(), m_program.c_str(), "--settings", m_settingsFile.c_str(), nullptr);
    ::_exit(127);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

Scene::Scene(SceneSettings settings, const std::string &recordFile)
    : m_settings(std::move(settings)), m_record(recordFile), m_ports(Ports::free())
{
    std::string pattern = "/tmp/review-XXXXXX";
    m_folder = ::mkdtemp(pattern.data());
    m_store = std::make_unique<Store>(Address {"127.0.0.1", m_ports.store});
}

Scene::~Scene()
{
    m_gateways.clear();
    m_agents.clear();
    m_runners.clear();
    m_store.reset();
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(m_folder);
    else
        m_record.line("folder " + m_folder);
}

std::string Scene::gatewayIp(std::size_t index)
{
    return "127.0.1." + std::to_string(index + 1);
}

std::string Scene::sideIp(std::size_t index)
{
    return "127.0.2." + std::to_string(index + 1);
}

Runner &Scene::addRunner(const std::string &service, Runner::Handler handler,
                         const std::string &version)
{
    const std::size_t index = m_nextSide++;
    return *m_runners.emplace_back(
            std::make_unique<Runner>(Runner::Settings {"runner" + std::to_string(index),
                                                       service,
                                                       "zone-a",
                                                       {sideIp(index), m_ports.app},
                                                       6,
                                                       version},
                                     *m_store, m_record, std::move(handler)));
}

bool Scene::start(const std::string &configuration)
{
    m_store->put("op", "config", configuration);
    for (std::size_t i = 0; i < m_settings.agents; ++i) {
        const std::string name = "agent-" + std::to_string(i);
        m_agents.push_back(std::make_unique<Process>(m_settings.program + "/cornelshed-admitd",
                                                     writeFile(name + ".toml", agentSettings(i)),
                                                     m_folder + "/" + name + ".log"));
        m_agents.back()->start();
    }
    for (std::size_t i = 0; i < m_settings.gateways; ++i)
        addGateway();
    return waitReady(8000);
}

void Scene::addGateway()
{
    const std::size_t machine = m_removedGateways + m_gateways.size();
    const std::string name = "gateway-" + std::to_string(machine);
    m_gateways.push_back(std::make_unique<Process>(
            m_settings.program + "/cornelshed-gatewayd",
            writeFile(name + ".toml", gatewaySettings(machine)), m_folder + "/" + name + ".log"));
    m_gateways.back()->start();
}

void Scene::removeOldestGateway()
{
    m_gateways.erase(m_gateways.begin());
    ++m_removedGateways;
}

bool Scene::waitReady(std::int64_t timeoutMs)
{
    const std::int64_t until = m_record.nowMs() + timeoutMs;
    for (std::size_t i = 0; i < m_gateways.size();) {
        const Message answer = call({front(i).ip, m_ports.ready},
                                    "GET /cornelshed/ready HTTP/1.1\r\nHost: x\r\n\r\n", 500);
        if (answer.status() == 200) {
            ++i;
            continue;
        }
        if (m_record.nowMs() > until)
            return false;
        sleepMs(50);
    }
    m_record.line("all gateways are ready");
    return true;
}

// What deploy/gatewayd.toml becomes on an edge machine of a small site.
std::string Scene::gatewaySettings(std::size_t index) const
{
    const std::string ip = gatewayIp(index);
    const auto port = [](std::uint16_t value) { return std::to_string(value); };
    return "[gateway]\nname = \"edge-a-" + std::to_string(index + 1)
            + "\"\navailability_zone = \"zone-a\"\nlisten = \"" + ip + ":" + port(m_ports.front)
            + "\"\nreadiness = \"" + ip + ":" + port(m_ports.ready)
            + "\"\nreadiness_path = \"/cornelshed/ready\"\npeer_address = \"" + ip
            + "\"\npeer_port = " + port(m_ports.peer) + "\nadmission_port = " + port(m_ports.agent)
            + "\nagent_port = " + port(m_ports.agent) + "\nmetrics_port = " + port(m_ports.metrics)
            + "\ncharts_directory = \"charts\"\nmemory_mb = " + std::to_string(m_settings.memoryMb)
            + "\nmax_fds = 4100\n[platform]\naddress = \"127.0.0.1:" + port(m_ports.store)
            + "\"\n[scheduling]\ninitial_slot_requests = 2\nslot_request_limit = 5\n"
              "yield_after_ms = 25\nserver_queue_share = 0.33\ncross_zone_cost_ms = 30\n"
              "[bounds]\nkey_revocation_ms = 5000\nrepeat_ratio = 0.2\nrepeat_constant = 54\n"
              "repeat_window_ms = 10000\nallowance_window_ms = 8000\nallowance_over = 0.1\n"
              "allowance_constant = 110000\nexposure_share = 0.1\nexposure_constant = 50\n"
              "cold_over = 1.5\ncold_constant = 5\nshutdown_timeout_ms = 8000\n";
}

// What deploy/admitd.toml becomes.
std::string Scene::agentSettings(std::size_t index) const
{
    return "[agent]\nname = \"side-a-" + std::to_string(index + 1) + "\"\naddress = \""
            + sideIp(index) + "\"\nport = " + std::to_string(m_ports.agent)
            + "\nmetrics_port = " + std::to_string(m_ports.metrics) + "\n";
}

std::string Scene::writeFile(const std::string &name, const std::string &text) const
{
    std::string path = m_folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

bool hasTrouble()
{
    return !isControl("0");
}

bool isControl(const std::string &name)
{
    const char *value = std::getenv("TROUBLE");
    return value != nullptr && value == name;
}

} // namespace review
