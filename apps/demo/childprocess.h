// A child process with its output in a file. Ends the process, by its id, when destroyed.

#ifndef CORNELSHED_DEMO_CHILDPROCESS_H
#define CORNELSHED_DEMO_CHILDPROCESS_H

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed::demo {

class ChildProcess
{
public:
    // Standard output and error are appended to the log file. Throws std::runtime_error.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess &&) noexcept;
    ChildProcess &operator=(ChildProcess &&) noexcept;

    // Does nothing once the process has ended.
    void sendSignal(int signal);

    // Exit status, negative signal number if ended by a signal, or nothing after the time limit.
    std::optional<int> waitForExit(std::chrono::milliseconds timeLimit);
    [[nodiscard]] bool running();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Runs a program to its end; returns as waitForExit.
std::optional<int> runProgram(const std::string &program, const std::vector<std::string> &arguments,
                              const std::string &logFile, std::chrono::milliseconds timeLimit);

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_CHILDPROCESS_H
