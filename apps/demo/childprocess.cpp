// Implementation of ChildProcess with Boost.Process.

#include "childprocess.h"

#include <boost/process.hpp>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace cornelshed::demo {

namespace process = boost::process;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds pollInterval {2};
constexpr std::chrono::milliseconds killTimeLimit {2000};

} // namespace

class ChildProcess::Private
{
public:
    process::child m_child;
    bool m_reaped = false; // the process has ended and its process id may be reused
};

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &logFile)
    : d(std::make_unique<Private>())
{
    std::FILE *log = std::fopen(logFile.c_str(), "ae");
    if (log == nullptr)
        throw std::runtime_error(logFile + ": cannot be written");
    std::error_code ec;
    d->m_child = process::child(process::exe = program, process::args = arguments,
                                (process::std_out & process::std_err) > log,
                                process::std_in < process::null, ec);
    std::fclose(log);
    if (ec)
        throw std::runtime_error(program + ": " + ec.message());
}

ChildProcess::~ChildProcess()
{
    if (d == nullptr || !running())
        return;
    sendSignal(SIGKILL);
    waitForExit(killTimeLimit);
}

ChildProcess::ChildProcess(ChildProcess &&) noexcept = default;
ChildProcess &ChildProcess::operator=(ChildProcess &&) noexcept = default;

int ChildProcess::id() const
{
    return d->m_child.id();
}

void ChildProcess::sendSignal(int signal)
{
    if (running())
        ::kill(d->m_child.id(), signal);
}

bool ChildProcess::running()
{
    if (d->m_reaped)
        return false;
    std::error_code ec;
    // running() reaps a process that has ended. Until then the kernel does not reuse its process
    // id, so that sendSignal() cannot reach another process.
    d->m_reaped = !d->m_child.running(ec);
    return !d->m_reaped;
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeLimit)
{
    const Clock::time_point giveUpTime = Clock::now() + timeLimit;
    while (running()) {
        if (Clock::now() >= giveUpTime)
            return std::nullopt;
        std::this_thread::sleep_for(pollInterval);
    }
    const int status = d->m_child.native_exit_code();
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

std::optional<int> runProgram(const std::string &program, const std::vector<std::string> &arguments,
                              const std::string &logFile, std::chrono::milliseconds timeLimit)
{
    ChildProcess child(program, arguments, logFile);
    return child.waitForExit(timeLimit);
}

} // namespace cornelshed::demo
