// A child process whose output goes to a log file.

#ifndef CORNELSHED_DEMO_CHILDPROCESS_H
#define CORNELSHED_DEMO_CHILDPROCESS_H

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed::demo {

// Kills the process, by its id, when destroyed while the process still runs.
class ChildProcess
{
public:
    // Starts the program; its standard output and error are appended to the log file. Throws
    // std::runtime_error when the log file cannot be written or the program cannot be started.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess &&) noexcept;
    ChildProcess &operator=(ChildProcess &&) noexcept;

    [[nodiscard]] int id() const;

    // Does nothing if the process has ended.
    void sendSignal(int signal);

    // Returns the exit status, the negated signal number if a signal ended the process, or nothing
    // if the process still runs at the time limit.
    std::optional<int> waitForExit(std::chrono::milliseconds timeLimit);

    // Also reaps the process once it has ended.
    [[nodiscard]] bool running();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Runs a program to its end and returns the result of waitForExit(). Kills the program when it
// still runs at the time limit.
std::optional<int> runProgram(const std::string &program, const std::vector<std::string> &arguments,
                              const std::string &logFile, std::chrono::milliseconds timeLimit);

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_CHILDPROCESS_H
