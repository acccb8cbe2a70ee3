// Starts the project's daemons as separate processes, and ends them.

#include "daemons.h"

#include "net.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review {

using namespace std::chrono_literals;

namespace {

constexpr auto restartDelay = 500ms;
constexpr auto checkInterval = 5ms;

} // namespace

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr)
        m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    if (!m_path.empty())
        std::filesystem::remove_all(m_path, ignored);
}

Daemon::Daemon(std::string name, std::string program, std::string settingsFile, std::string logFile,
               Record &record, std::uint64_t memoryLimitKb)
    : m_name(std::move(name)), m_program(std::move(program)),
      m_settingsFile(std::move(settingsFile)), m_logFile(std::move(logFile)), m_record(record),
      m_memoryLimitKb(memoryLimitKb)
{
    m_thread = std::thread([this] { supervise(); });
}

Daemon::~Daemon()
{
    m_stopped = true;
    m_thread.join();
}

void Daemon::terminate()
{
    m_isTerminating = true;
    m_record.add("platform sends SIGTERM to " + m_name);
    ::kill(m_process, SIGTERM);
}

bool Daemon::start()
{
    const pid_t parent = ::getpid();
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(2);
        const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(m_program.c_str(), m_program.c_str(), "--settings", m_settingsFile.c_str(),
                static_cast<char *>(nullptr));
        ::_exit(2);
    }
    m_record.add("platform starts " + m_name);
    return m_process > 0;
}

void Daemon::supervise()
{
    start();
    while (!m_stopped) {
        std::this_thread::sleep_for(checkInterval);
        checkMemory();
        int status = 0;
        if (::waitpid(m_process, &status, WNOHANG) != m_process)
            continue;
        const bool isPlanned = m_isTerminating.exchange(false);
        m_ownEnds += isPlanned ? 0 : 1;
        m_record.add("process of " + m_name + (isPlanned ? " stopped: " : " ended by itself: ")
                     + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                            : "status " + std::to_string(WEXITSTATUS(status))));
        std::this_thread::sleep_for(restartDelay);
        if (!m_stopped)
            start();
        else
            m_process = -1;
    }
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

// The platform kills a process that exceeds its memory.
void Daemon::checkMemory()
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::uint64_t residentKb = 0;
    for (std::string line; std::getline(status, line);) {
        // Until it runs its program, the process has this program's memory and name.
        if (line.starts_with("Name:") && line.find("cornelshed") == std::string::npos)
            return;
        if (line.starts_with("VmRSS:"))
            residentKb = std::strtoull(line.c_str() + 6, nullptr, 10);
    }
    m_peakMemoryKb = std::max<std::uint64_t>(m_peakMemoryKb, residentKb);
    if (m_memoryLimitKb == 0 || residentKb <= m_memoryLimitKb)
        return;
    m_record.add(m_name + " uses " + std::to_string(residentKb) + " KiB, beyond its "
                 + std::to_string(m_memoryLimitKb) + " KiB: killed");
    ::kill(m_process, SIGKILL);
}

void writeGatewaySettings(const std::string &file, const GatewayPlaces &places)
{
    const auto endpoint = [&](std::uint16_t port) {
        return "\"" + places.address + ":" + std::to_string(port) + "\"\n";
    };
    std::ofstream out(file);
    out << "[gateway]\nname = \"" << places.name
        << "\"\navailability_zone = \"z-a\"\nlisten = " << endpoint(places.frontPort)
        << "readiness = " << endpoint(places.readyPort)
        << "readiness_path = \"/cornelshed/ready\"\npeer_address = \"" << places.address
        << "\"\npeer_port = " << places.peerPort << "\nadmission_port = " << places.agentPort
        << "\nagent_port = " << places.agentPort << "\nmetrics_port = " << places.metricsPort
        << "\ncharts_directory = \"charts\"\n\n[platform]\naddress = \"127.0.0.1:"
        << places.storePort << "\"\n\n"
        << "[bounds]\nkey_revocation_ms = 5000\nrepeat_ratio = 0.2\nrepeat_constant = 54\n"
           "repeat_window_ms = 10000\nallowance_window_ms = 8000\nallowance_over = 0.1\n"
           "allowance_constant = 110000\nexposure_share = 0.1\nexposure_constant = 50\n"
           "cold_over = 1.5\ncold_constant = 5\nshutdown_timeout_ms = 8000\n";
}

void writeAgentSettings(const std::string &file, const std::string &name,
                        const std::string &address, std::uint16_t port)
{
    std::ofstream out(file);
    out << "[agent]\nname = \"" << name << "\"\naddress = \"" << address << "\"\nport = " << port
        << "\nmetrics_port = 0\n";
}

bool waitUntilReady(const GatewayPlaces &places, std::chrono::milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        Connection connection(connectTo(places.address, places.readyPort));
        if (connection.isOpen()) {
            connection.setReadLimit(1s);
            connection.send("GET /cornelshed/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            if (readAnswer(connection).status == 200)
                return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace review
