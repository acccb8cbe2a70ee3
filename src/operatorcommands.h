// The subcommands of the operator's program. Each prints its result and returns the exit status.

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
    WrongInput = 1,  // a file is wrong or cannot be read or written; nothing was changed
    Usage = 2,       // wrong command line
    NotAccepted = 3, // another change was accepted; nothing was changed
    Unavailable = 4, // the platform cannot be reached; nothing was changed
    Unknown = 5,     // the change may have been accepted; the printed command settles it
    NotInForce = 6,  // accepted, but not in force everywhere within the time to wait
    Different = 7    // diff: the configurations differ
};

struct PlatformEndpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const PlatformEndpoint &) const = default;
};

// HOST:PORT with an IP address; an IPv6 address is in brackets.
std::optional<PlatformEndpoint> parseEndpoint(const std::string &text);

struct AcceptOptions
{
    std::string configurationPath;
    PlatformEndpoint platform;
    std::string operatorName;
    std::optional<std::uint64_t> seenVersion;
    std::string changeId;            // empty: a new one is drawn
    std::optional<Duration> waitFor; // until in force everywhere
};

class OperatorCommands
{
public:
    OperatorCommands(std::ostream &output, std::ostream &errors)
        : m_output(output), m_errors(errors)
    { }

    ExitStatus questionnaire(const std::string &outputPath); // empty: standard output
    ExitStatus check(const std::string &answersPath);
    ExitStatus generate(const std::string &answersPath, const std::string &outputPath);
    ExitStatus diff(const std::string &configurationPath, const PlatformEndpoint &platform);
    ExitStatus accept(const AcceptOptions &options);
    ExitStatus status(const PlatformEndpoint &platform);

    // htmlPath: empty for none. objective: share of requests that have to be good, in [0, 1).
    ExitStatus burn(const PlatformEndpoint &platform, double objective,
                    const std::string &htmlPath);

    // Account of a request from logs; without paths, or for "-", from the given input.
    ExitStatus explain(const std::string &requestId, const std::vector<std::string> &logPaths,
                       std::istream &input);

private:
    // Nothing if the file cannot be read; the reason is printed.
    std::optional<std::string> readFile(const std::string &path);
    ExitStatus writeFile(const std::string &path, const std::string &text);
    std::optional<std::string> readConfiguration(const std::string &path);

    ExitStatus reportRefusal(PlatformSession &session, const NotAccepted &refused,
                             const std::string &text);
    ExitStatus waitInForce(PlatformSession &session, std::uint64_t version, Duration most);
    void printEntryVersions(PlatformSession &session);
    bool printRows(PlatformSession &session, const std::string &prefix);

    std::ostream &m_output;
    std::ostream &m_errors;
};

} // namespace cornelshed

#endif // CORNELSHED_OPERATORCOMMANDS_H
