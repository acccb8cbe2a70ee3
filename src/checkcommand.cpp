// Reads a configuration from a file, the platform or the store, checks it and compares it with the
// one in force.

#include "checkcommand.h"

#include "acceptance.h"
#include "configurationdiff.h"
#include "configurationfile.h"
#include "configurationhead.h"
#include "configurationtext.h"
#include "platformsession.h"
#include "routetabletext.h"

#include <algorithm>
#include <ostream>

namespace cornelshed {

namespace {

// The configuration that the platform or the store has, with the facts beside it.
struct InForce
{
    std::string text; // empty: none
    std::string name;
    DeploymentFacts facts;
};

Result<InForce, std::string> readAccepted(const PlatformEndpoint &platform)
{
    PlatformSettings settings;
    settings.address = platform.address;
    settings.port = platform.port;
    settings.responseLimitBytes = configurationTextLimit;
    PlatformSession session(settings);
    const auto head = readHead(session.table());
    if (const auto *error = std::get_if<TableError>(&head))
        return error->message;
    InForce result;
    result.name = "no version in force";
    if (const auto &accepted = std::get<VersionedHead>(head); accepted.rowVersion != 0) {
        result.name = "version " + std::to_string(accepted.head.version) + " in force";
        auto text = session.table().getObject(configurationObjectKey(accepted.head.digest));
        if (const auto *error = std::get_if<TableError>(&text))
            return error->message;
        result.text = std::get<std::string>(std::move(text));
    }
    const auto hosts = session.hosts();
    if (const auto *error = std::get_if<TableError>(&hosts))
        return error->message;
    result.facts.servers.emplace();
    for (const PlatformHost &it : std::get<std::vector<PlatformHost>>(hosts)) {
        if (it.role == "agent")
            result.facts.servers->push_back({it.pool, it.availabilityZone, it.state == "leaving"});
    }
    return result;
}

Result<InForce, std::string> readStored(GatewayConfigurations &gateways,
                                        const PlatformEndpoint &store)
{
    auto stored = gateways.read(store.address, store.port);
    if (const auto *reason = std::get_if<std::string>(&stored))
        return *reason;
    auto &configuration = std::get<StoredConfiguration>(stored);
    InForce result {std::move(configuration.text), "no configuration in the store",
                    std::move(configuration.facts)};
    if (!result.text.empty())
        result.name = "the configuration in the store";
    return result;
}

class Checker
{
public:
    Checker(const CheckOptions &options, GatewayConfigurations &gateways)
        : m_options(options), m_gateways(gateways)
    { }

    // Findings are in no particular order.
    CheckReport check()
    {
        const bool hasFile = !m_options.configurationPath.empty();
        m_report.source = m_options.configurationPath;
        if (hasFile && !readFile())
            return m_report;
        readInForce();
        if (!hasFile) {
            m_report.source = m_inForce.has_value() ? m_inForce->name : "configuration in force";
            m_text = m_inForce.has_value() ? m_inForce->text : std::string();
            if (!m_report.unavailable.empty())
                return m_report;
            if (m_text.empty()) {
                addFinding("none_in_force", 0, "there is nothing to check");
                return m_report;
            }
        }
        if (const auto problem = screenConfigurationText(m_text))
            addFinding("unreadable", problem->line, problem->reason);
        else if (isJsonText(m_text))
            checkGatewayText(hasFile);
        else
            checkText(hasFile);
        return m_report;
    }

private:
    void addFinding(const char *rule, std::uint32_t line, std::string text, std::string path = {})
    {
        m_report.findings.push_back(
                {FindingSeverity::Error, rule, line, std::move(path), std::move(text)});
    }

    bool readFile()
    {
        auto text = readConfigurationText(m_options.configurationPath);
        if (const auto *problem = std::get_if<TextProblem>(&text)) {
            addFinding("unreadable", problem->line, problem->reason);
            return false;
        }
        m_text = std::get<std::string>(std::move(text));
        return true;
    }

    void readInForce()
    {
        if (!m_options.platform.has_value() && !m_options.store.has_value())
            return;
        auto result = m_options.platform.has_value() ? readAccepted(*m_options.platform)
                                                     : readStored(m_gateways, *m_options.store);
        if (const auto *reason = std::get_if<std::string>(&result))
            m_report.unavailable = *reason;
        else
            m_inForce = std::get<InForce>(std::move(result));
    }

    DeploymentFacts facts() const
    {
        DeploymentFacts facts = m_inForce.has_value() ? m_inForce->facts : DeploymentFacts {};
        facts.nowEpochSeconds = m_options.nowEpochSeconds;
        facts.requestsPerServerSecond = m_options.requestsPerServerSecond;
        facts.tokensPerServerSecond = m_options.tokensPerServerSecond;
        return facts;
    }

    // --- the configuration of entry daemons ---

    void checkText(bool hasFile)
    {
        if (m_options.store.has_value()) {
            addFinding("wrong_kind", 0,
                       "a configuration of entry daemons, which --platform has; --store has that "
                       "of gateways");
            return;
        }
        const auto parsed = parseConfiguration(m_text, m_report.source);
        if (const auto *problems = std::get_if<TomlProblems>(&parsed)) {
            addTomlProblems(*problems);
            return;
        }
        const auto &configuration = std::get<Configuration>(parsed);
        DeploymentFacts known = facts();
        if (hasFile && m_inForce.has_value()) {
            const auto accepted = parseConfiguration(m_inForce->text, m_inForce->name);
            if (const auto *old = std::get_if<Configuration>(&accepted)) {
                for (const RolloutSettings &it : old->rollouts)
                    known.rolloutsInForce.push_back(it.name);
            }
            compare(m_inForce->text, formatConfiguration(configuration));
        }
        if (!hasFile) {
            for (const RolloutSettings &it : configuration.rollouts)
                known.rolloutsInForce.push_back(it.name);
        }
        addFindings(checkConfiguration(configuration, known), false);
        if (!known.servers.has_value())
            m_report.notChecked.emplace_back("servers of zones and pools (needs --platform)");
    }

    // A missing key is shown at its entry.
    void addTomlProblems(const TomlProblems &problems)
    {
        std::vector<std::string> paths;
        paths.reserve(problems.size());
        for (const TomlProblem &it : problems)
            paths.push_back(it.key);
        const auto lines = findTomlLines(m_text, paths);
        for (std::size_t i = 0; i < problems.size(); ++i) {
            const TomlProblem &it = problems[i];
            addFinding("invalid", it.line > 0 ? it.line : lines[i],
                       it.key + ": found " + it.found + ", allowed: " + it.allowed, it.key);
        }
    }

    // --- the configuration of gateways ---

    void checkGatewayText(bool hasFile)
    {
        if (m_options.platform.has_value()) {
            addFinding("wrong_kind", 0,
                       "a configuration of gateways, which --store has; --platform has that of "
                       "entry daemons");
            return;
        }
        const DecodedConfiguration decoded = m_gateways.decode(m_text);
        addProblems(decoded.problems);
        if (!decoded.content.has_value())
            return;
        const DeploymentFacts known = facts();
        addFindings(checkRouteTable(*decoded.content, known), true);
        if (!known.servers.has_value())
            m_report.notChecked.emplace_back("servers of zones and services (needs --store)");
        if (!known.servers.has_value()
            || (!known.requestsPerServerSecond.has_value()
                && !known.tokensPerServerSecond.has_value()))
            m_report.notChecked.emplace_back(
                    "allowances against what all servers carry (needs --store, and "
                    "--server-requests or --server-tokens)");
        if (hasFile && m_inForce.has_value())
            compareGatewayTexts(*decoded.content);
    }

    void compareGatewayTexts(const RouteTableContent &content)
    {
        std::string before;
        if (!m_inForce->text.empty()) {
            const auto problem = screenConfigurationText(m_inForce->text);
            const auto old = problem.has_value() || !isJsonText(m_inForce->text)
                    ? DecodedConfiguration {}
                    : m_gateways.decode(m_inForce->text);
            if (!old.content.has_value()) {
                m_report.unavailable = m_inForce->name + " cannot be read by gateways";
                return;
            }
            before = formatRouteTable(*old.content);
        }
        compare(before, formatRouteTable(content));
    }

    // --- both ---

    void compare(const std::string &before, const std::string &after)
    {
        m_report.inForce = m_inForce->name;
        m_report.differences = describeDifferences(diffConfigurations(before, after));
    }

    void addProblems(const std::vector<DecodingProblem> &problems)
    {
        std::vector<std::string> paths;
        paths.reserve(problems.size());
        for (const DecodingProblem &it : problems)
            paths.push_back(it.path);
        const auto lines = findJsonLines(m_text, paths);
        for (std::size_t i = 0; i < problems.size(); ++i) {
            const DecodingProblem &it = problems[i];
            const bool isError = it.severity == FindingSeverity::Error;
            m_report.findings.push_back({it.severity, isError ? "invalid" : "ignored_value",
                                         lines[i], it.path,
                                         (it.path.empty() ? "" : it.path + ": ") + it.reason});
        }
    }

    void addFindings(const ConfigurationFindings &findings, bool isGateways)
    {
        std::vector<std::string> paths;
        for (const ConfigurationFinding &it : findings)
            paths.push_back(isGateways ? m_gateways.pathOf(it.part, it.index)
                                       : configurationPath(it.part, it.index));
        const auto lines = isGateways ? findJsonLines(m_text, paths) : findTomlLines(m_text, paths);
        for (std::size_t i = 0; i < findings.size(); ++i)
            m_report.findings.push_back(
                    {findings[i].severity, findings[i].rule, lines[i], paths[i], findings[i].text});
    }

    static std::string configurationPath(ConfigurationPart part, std::size_t index)
    {
        const std::string element = "[" + std::to_string(index) + "]";
        switch (part) {
        case ConfigurationPart::Tiers:
            return "tiers" + element;
        case ConfigurationPart::Organisations:
            return "organisations" + element;
        case ConfigurationPart::AvailabilityZones:
            return "availability_zones" + element;
        case ConfigurationPart::Pools:
            return "pools" + element;
        case ConfigurationPart::Routes:
            return "routes" + element;
        case ConfigurationPart::Rollouts:
            return "rollouts" + element;
        default:
            return "";
        }
    }

    const CheckOptions &m_options;
    GatewayConfigurations &m_gateways;
    std::string m_text;
    std::optional<InForce> m_inForce;
    CheckReport m_report;
};

} // namespace

ExitStatus CheckCommand::run(const CheckOptions &options)
{
    CheckReport report = Checker(options, m_gateways).check();
    std::stable_sort(report.findings.begin(), report.findings.end(),
                     [](const auto &a, const auto &b) { return a.line < b.line; });
    m_output << (options.json ? formatReportJson(report) : formatReportText(report));
    if (report.count(FindingSeverity::Error) > 0)
        return ExitStatus::InvalidInput;
    if (!report.unavailable.empty())
        return ExitStatus::Unavailable;
    return report.findings.empty() ? ExitStatus::Success : ExitStatus::Warnings;
}

} // namespace cornelshed
