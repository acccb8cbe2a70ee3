// Implementation of the subcommands: those that read and write files, and those that call the
// platform.

#include "operatorcommands.h"

#include "acceptance.h"
#include "answers.h"
#include "burnreport.h"
#include "configurationdiff.h"
#include "configurationfile.h"
#include "configurationhead.h"
#include "deploymentversions.h"
#include "platformsession.h"
#include "requestreport.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

namespace cornelshed {

namespace {

constexpr Duration entryCallTimeout = std::chrono::seconds(1); // for one call to an entry daemon

PlatformSettings platformSettings(const PlatformEndpoint &endpoint)
{
    PlatformSettings settings;
    settings.address = endpoint.address;
    settings.port = endpoint.port;
    return settings;
}

// Returns 64 random bits in hexadecimal, as two changes must never share an id.
std::string generateChangeId()
{
    std::random_device device;
    std::array<char, 17> buf {};
    std::snprintf(buf.data(), buf.size(), "%08x%08x", device(), device());
    return buf.data();
}

std::string headSummary(const ConfigurationHead &head)
{
    return "version " + std::to_string(head.version) + " by " + head.operatorName + " (change "
            + head.changeId + ", digest " + head.digest + ")";
}

// Returns the accepted configuration's text, which is empty if none was accepted.
Result<std::string, TableError> readAcceptedText(BlockingTable &table,
                                                 const VersionedHead &acceptedHead)
{
    if (acceptedHead.rowVersion == 0)
        return std::string();
    return table.getObject(configurationObjectKey(acceptedHead.head.digest));
}

std::string retryCommand(const AcceptOptions &options, const AcceptanceRequest &request,
                         std::uint64_t expectedVersion)
{
    return "cornelshed accept --configuration " + options.configurationPath + " --platform "
            + options.platform.address + ":" + std::to_string(options.platform.port)
            + " --operator " + options.operatorName + " --change " + request.changeId + " --seen "
            + std::to_string(expectedVersion);
}

} // namespace

std::optional<PlatformEndpoint> parseEndpoint(const std::string &text)
{
    const auto at = text.rfind(':');
    if (at == std::string::npos || at == 0)
        return std::nullopt;
    PlatformEndpoint endpoint {text.substr(0, at), 0};
    if (endpoint.address.front() == '[' && endpoint.address.back() == ']')
        endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + at + 1, end, endpoint.port);
    if (result.ec != std::errc() || result.ptr != end || endpoint.port == 0)
        return std::nullopt;
    return endpoint;
}

std::optional<std::string> OperatorCommands::readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (!file || !text) {
        m_errors << path << ": cannot be read\n";
        return std::nullopt;
    }
    return text.str();
}

// Writes a temporary file and renames it, so that no reader sees a partly written file.
ExitStatus OperatorCommands::writeFile(const std::string &path, const std::string &text)
{
    const std::string partial = path + ".partial";
    std::ofstream file(partial, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file || std::rename(partial.c_str(), path.c_str()) != 0) {
        std::remove(partial.c_str());
        m_errors << path << ": cannot be written\n";
        return ExitStatus::InvalidInput;
    }
    return ExitStatus::Success;
}

std::optional<std::string> OperatorCommands::readConfiguration(const std::string &path)
{
    const auto text = readFile(path);
    if (!text.has_value())
        return std::nullopt;
    const auto parsed = parseConfiguration(*text, path);
    if (const auto *problems = std::get_if<TomlProblems>(&parsed)) {
        for (const TomlProblem &it : *problems)
            m_errors << it.toString() << "\n";
        return std::nullopt;
    }
    // Formatting drops the file's comments, which are not part of an accepted configuration.
    return formatConfiguration(std::get<Configuration>(parsed));
}

ExitStatus OperatorCommands::questionnaire(const std::string &outputPath)
{
    if (!outputPath.empty())
        return writeFile(outputPath, questionnaireText());
    m_output << questionnaireText();
    return ExitStatus::Success;
}

ExitStatus OperatorCommands::check(const std::string &answersPath)
{
    return generate(answersPath, "");
}

ExitStatus OperatorCommands::generate(const std::string &answersPath, const std::string &outputPath)
{
    const auto text = readFile(answersPath);
    if (!text.has_value())
        return ExitStatus::InvalidInput;
    const auto answers = parseAnswers(*text, answersPath);
    if (const auto *problems = std::get_if<TomlProblems>(&answers)) {
        for (const TomlProblem &it : *problems)
            m_errors << it.toString() << "\n";
        m_errors << answersPath << ": " << problems->size() << " problems; nothing was written\n";
        return ExitStatus::InvalidInput;
    }
    const std::string configuration =
            formatConfiguration(generateConfiguration(std::get<Answers>(answers)));
    if (outputPath.empty()) {
        m_output << answersPath << ": correct\n";
        return ExitStatus::Success;
    }
    return writeFile(outputPath, configuration);
}

ExitStatus OperatorCommands::diff(const std::string &configurationPath,
                                  const PlatformEndpoint &platform)
{
    const auto text = readConfiguration(configurationPath);
    if (!text.has_value())
        return ExitStatus::InvalidInput;
    PlatformSession session(platformSettings(platform));
    const auto headOrError = readHead(session.table());
    if (const auto *error = std::get_if<TableError>(&headOrError)) {
        m_errors << error->message << "\n";
        return ExitStatus::Unavailable;
    }
    const auto accepted = readAcceptedText(session.table(), std::get<VersionedHead>(headOrError));
    if (const auto *error = std::get_if<TableError>(&accepted)) {
        m_errors << error->message << "\n";
        return ExitStatus::Unavailable;
    }
    m_output << "accepted: " << headSummary(std::get<VersionedHead>(headOrError).head) << "\n";
    const auto lines = diffConfigurations(std::get<std::string>(accepted), *text);
    for (const std::string &it : lines)
        m_output << it << "\n";
    return lines.empty() ? ExitStatus::Success : ExitStatus::Different;
}

ExitStatus OperatorCommands::accept(const AcceptOptions &options)
{
    const auto text = readConfiguration(options.configurationPath);
    if (!text.has_value())
        return ExitStatus::InvalidInput;
    PlatformSession session(platformSettings(options.platform));
    AcceptanceRequest request {*text, options.operatorName, options.changeId,
                               options.expectedVersion};
    request.isRetry = !options.changeId.empty();
    if (request.changeId.empty())
        request.changeId = generateChangeId();
    const AcceptanceOutcome outcome = acceptConfiguration(session.table(), request);
    if (const auto *accepted = std::get_if<Accepted>(&outcome)) {
        m_output << "accepted: version " << accepted->version << " (change " << request.changeId
                 << ")\n";
        return options.waitTimeout.has_value()
                ? waitUntilInForce(session, accepted->version, *options.waitTimeout)
                : ExitStatus::Success;
    }
    if (const auto *unknown = std::get_if<AcceptanceUnknown>(&outcome)) {
        m_errors << "unknown whether the change was accepted: " << unknown->reason
                 << "\nthis command retries the change safely and prints the outcome:\n  "
                 << retryCommand(options, request, unknown->expectedVersion) << "\n";
        return ExitStatus::Unknown;
    }
    return reportNotAccepted(session, std::get<NotAccepted>(outcome), *text);
}

ExitStatus OperatorCommands::reportNotAccepted(PlatformSession &session,
                                               const NotAccepted &notAccepted,
                                               const std::string &text)
{
    m_errors << "not accepted: " << notAccepted.reason << "\n";
    if (!notAccepted.conflictingHead.has_value())
        return ExitStatus::Unavailable;
    m_errors << "accepted instead: " << headSummary(notAccepted.conflictingHead->head)
             << "; differences from it to this file:\n";
    const auto conflictingText = readAcceptedText(session.table(), *notAccepted.conflictingHead);
    if (const auto *error = std::get_if<TableError>(&conflictingText)) {
        m_errors << "(cannot be read: " << error->message << ")\n";
        return ExitStatus::NotAccepted;
    }
    for (const std::string &it : diffConfigurations(std::get<std::string>(conflictingText), text))
        m_errors << it << "\n";
    return ExitStatus::NotAccepted;
}

// Polls until all entry daemons have the version. One that does not answer counts as not having it,
// because it may be slow rather than down.
ExitStatus OperatorCommands::waitUntilInForce(PlatformSession &session, std::uint64_t version,
                                              Duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::vector<std::string> pending;
    do {
        const auto hosts = session.hosts();
        pending = {"(host list unavailable)"};
        if (const auto *list = std::get_if<std::vector<PlatformHost>>(&hosts)) {
            pending.clear();
            for (const EntryVersion &it : readEntryVersions(*list, entryCallTimeout)) {
                if (it.version.value_or(0) < version)
                    pending.push_back(it.name);
            }
        }
        if (pending.empty()) {
            m_output << "in force: version " << version << " in every entry daemon\n";
            return ExitStatus::Success;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    } while (std::chrono::steady_clock::now() < end);
    m_errors << "not in force yet:";
    for (const std::string &it : pending)
        m_errors << " " << it;
    m_errors << "\n";
    return ExitStatus::NotInForce;
}

ExitStatus OperatorCommands::status(const PlatformEndpoint &platform)
{
    PlatformSession session(platformSettings(platform));
    const auto headOrError = readHead(session.table());
    if (const auto *error = std::get_if<TableError>(&headOrError)) {
        m_errors << error->message << "\n";
        return ExitStatus::Unavailable;
    }
    const VersionedHead &head = std::get<VersionedHead>(headOrError);
    m_output << "configuration: "
             << (head.rowVersion == 0 ? std::string("none accepted") : headSummary(head.head))
             << "\n";
    printEntryVersions(session);
    for (const char *prefix : {"event/", "lease/"}) {
        if (!printRows(session, prefix))
            return ExitStatus::Unavailable;
    }
    return ExitStatus::Success;
}

void OperatorCommands::printEntryVersions(PlatformSession &session)
{
    const auto hosts = session.hosts();
    if (const auto *error = std::get_if<TableError>(&hosts)) {
        m_errors << "host list: " << error->message << "\n";
        return;
    }
    for (const EntryVersion &it :
         readEntryVersions(std::get<std::vector<PlatformHost>>(hosts), entryCallTimeout)) {
        m_output << "entry " << it.name << ": "
                 << (it.version.has_value() ? "version " + std::to_string(*it.version)
                                            : std::string("no answer"))
                 << "\n";
    }
}

bool OperatorCommands::printRows(PlatformSession &session, const std::string &prefix)
{
    const auto rows = session.table().scan(prefix);
    if (const auto *error = std::get_if<TableError>(&rows)) {
        m_errors << error->message << "\n";
        return false;
    }
    for (const auto &[key, row] : std::get<TableRows>(rows))
        m_output << key << ": " << row.value << "\n";
    return true;
}

ExitStatus OperatorCommands::burn(const PlatformEndpoint &platform, double objective,
                                  const std::string &htmlPath)
{
    PlatformSession session(platformSettings(platform));
    const auto rows = session.table().scan("burn/");
    if (const auto *error = std::get_if<TableError>(&rows)) {
        m_errors << error->message << "\n";
        return ExitStatus::Unavailable;
    }
    std::vector<BurnLine> lines;
    for (const auto &[key, row] : std::get<TableRows>(rows)) {
        const auto parsed = parseBurnRow(row.value);
        if (parsed.has_value())
            lines.insert(lines.end(), parsed->begin(), parsed->end());
        else
            m_errors << key << ": malformed row skipped\n";
    }
    lines = sumBurn(lines);
    m_output << burnTable(lines, objective);
    return htmlPath.empty() ? ExitStatus::Success : writeFile(htmlPath, burnHtml(lines, objective));
}

ExitStatus OperatorCommands::explain(const std::string &requestId,
                                     const std::vector<std::string> &logPaths, std::istream &input)
{
    RequestReport account(requestId);
    const auto read = [&](const std::string &source, std::istream &lines) {
        std::string line;
        while (std::getline(lines, line))
            account.addLine(source, line);
    };
    if (logPaths.empty())
        read("standard input", input);
    for (const std::string &path : logPaths) {
        if (path == "-") {
            read("standard input", input);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            m_errors << path << ": cannot be read\n";
            return ExitStatus::InvalidInput;
        }
        read(path, file);
    }
    if (!account.found()) {
        m_errors
                << "no log line mentions request " << requestId
                << "; log lines of answered requests are sampled, and some may have been dropped\n";
        return ExitStatus::InvalidInput;
    }
    m_output << account.text();
    return ExitStatus::Success;
}

} // namespace cornelshed
