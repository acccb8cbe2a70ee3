// Subcommands of the operator's command-line program. Each prints its result and returns the exit
// status of the process.

#ifndef CORNELSHED_OPERATORCOMMANDS_H
#define CORNELSHED_OPERATORCOMMANDS_H

#include "types.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

class PlatformSession;
struct NotAccepted;

enum class ExitStatus : int {
    Success = 0,
    InvalidInput = 1, // a file is invalid or cannot be read or written; nothing was changed
    Usage = 2,        // invalid command line
    NotAccepted = 3,  // another change was accepted; nothing was changed
    Unavailable = 4,  // the platform cannot be reached or refused the call; nothing was changed
    Unknown = 5,      // the change may have been accepted; the printed command determines it
    NotInForce = 6,   // accepted, but not in force in every entry daemon before the timeout
    Different = 7,    // diff: the configurations differ
    Warnings = 8      // check: valid, with warnings but without errors
};

struct PlatformEndpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const PlatformEndpoint &) const = default;
};

// Parses HOST:PORT, where HOST is an IP address (IPv6 in brackets). Returns nullopt if malformed.
std::optional<PlatformEndpoint> parseEndpoint(const std::string &text);

struct AcceptOptions
{
    std::string configurationPath;
    PlatformEndpoint platform;
    std::string operatorName;
    std::optional<std::uint64_t> expectedVersion;
    std::string changeId; // that of an earlier run, to retry it; empty: generate one
    // Time to wait until the change is in force in every entry daemon. nullopt: do not wait.
    std::optional<Duration> waitTimeout;
};

class OperatorCommands
{
public:
    OperatorCommands(std::ostream &output, std::ostream &errors)
        : m_output(output), m_errors(errors)
    { }

    ExitStatus questionnaire(const std::string &outputPath); // empty path: standard output
    ExitStatus check(const std::string &answersPath);
    ExitStatus generate(const std::string &answersPath, const std::string &outputPath);
    ExitStatus diff(const std::string &configurationPath, const PlatformEndpoint &platform);
    ExitStatus accept(const AcceptOptions &options);
    ExitStatus status(const PlatformEndpoint &platform);

    // Prints the error budget burn; also writes it as HTML unless htmlPath is empty. objective, in
    // [0, 1), is the share of requests that must be good.
    ExitStatus burn(const PlatformEndpoint &platform, double objective,
                    const std::string &htmlPath);

    // Prints what the log lines tell about a request. Reads input for the path "-" or without
    // paths.
    ExitStatus explain(const std::string &requestId, const std::vector<std::string> &logPaths,
                       std::istream &input);

private:
    // Prints the reason and returns nullopt if the file cannot be read.
    std::optional<std::string> readFile(const std::string &path);
    ExitStatus writeFile(const std::string &path, const std::string &text);

    // Returns the configuration in its canonical format. Prints the problems and returns nullopt if
    // the file cannot be read or is invalid.
    std::optional<std::string> readConfiguration(const std::string &path);

    ExitStatus reportNotAccepted(PlatformSession &session, const NotAccepted &notAccepted,
                                 const std::string &text);
    ExitStatus waitUntilInForce(PlatformSession &session, std::uint64_t version, Duration timeout);
    void printEntryVersions(PlatformSession &session);
    bool printRows(PlatformSession &session, const std::string &prefix);

    std::ostream &m_output;
    std::ostream &m_errors;
};

} // namespace cornelshed

#endif // CORNELSHED_OPERATORCOMMANDS_H
