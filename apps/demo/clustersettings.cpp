// Formats the settings files and the answers file as TOML and the host list as JSON.

#include "clustersettings.h"

#include <boost/json.hpp>

#include <filesystem>
#include <sstream>

namespace cornelshed::demo {

namespace json = boost::json;

namespace {

std::string chartsFolder(const ClusterOptions &options)
{
    return std::filesystem::absolute(options.sourceFolder + "/charts").string();
}

bool isAgent(const ClusterMember &member)
{
    return member.kind == MemberKind::EngineAgent || member.kind == MemberKind::ServiceAgent;
}

json::object hostObject(const ClusterMember &member)
{
    return {{"name", member.name},
            {"address", "127.0.0.1"},
            {"port", member.port},
            {"peer_port", member.peerPort},
            {"availability_zone", member.zone},
            {"role", isAgent(member) ? "agent" : "entry"},
            {"pool", member.pool},
            {"state", "live"}};
}

std::string quotedEnginePoolNames()
{
    std::string names;
    for (const EngineSpeed &it : engineSpeeds)
        names += (names.empty() ? "\"" : ", \"") + std::string(it.pool) + '"';
    return names;
}

std::string quotedList(const std::vector<std::string> &names)
{
    std::string text = "[";
    for (const std::string &it : names)
        text += (text.size() > 1 ? ", \"" : "\"") + it + '"';
    return text + "]";
}

constexpr const char *tiersAndOrganisationsText = R"(
[[tiers]]
name = "gold"

[[tiers]]
name = "silver"
minimum_share = 0.1

[[tiers]]
name = "bronze"
minimum_share = 0.05

[[organisations]]
name = "large-1"
tier = "gold"
size = "large"

[[organisations]]
name = "large-2"
tier = "silver"
size = "large"

[[organisations]]
name = "small-1"
tier = "gold"
size = "small"

[[organisations]]
name = "small-2"
tier = "silver"
size = "small"

[[organisations]]
name = "small-3"
tier = "bronze"
size = "small"

)";

} // namespace

std::string zoneName(std::size_t number)
{
    return std::string("zone-") + static_cast<char>('a' + number);
}

std::string answersText(const ClusterOptions &options,
                        const std::vector<std::string> &withdrawnZones)
{
    std::ostringstream out;
    out << "deployment = \"loopback\"\nwithdrawn_zones = " << quotedList(withdrawnZones) << '\n'
        << tiersAndOrganisationsText;
    for (std::size_t i = 0; i < options.zoneCount; ++i)
        out << "[[availability_zones]]\nname = \"" << zoneName(i)
            << "\"\nregion = \"loopback\"\n\n";
    for (const EngineSpeed &it : engineSpeeds)
        out << "[[engines]]\nname = \"" << it.pool << "\"\ngeneration = \"" << it.pool
            << "\"\nmodels = [\"" << modelName << "\"]\nchecks_fencing = false\n"
            << "maximum_concurrency_count = 32\n\n";
    out << "[[services]]\nname = \"" << servicePool << "\"\nmaximum_concurrency_count = 32\n\n";
    for (const char *path : {"/v1/completions", "/v1/chat/completions"})
        out << "[[requests]]\npath = \"" << path << "\"\nserved_by = [" << quotedEnginePoolNames()
            << "]\nidempotent = true\nusual_deadline_ms = 10000\nlongest_deadline_ms = 60000\n\n";
    out << "[[requests]]\npath = \"/orders\"\nserved_by = [\"" << servicePool
        << "\"]\nidempotent = false\nusual_deadline_ms = 5000\nlongest_deadline_ms = 60000\n";
    return out.str();
}

std::string agentSettingsText(const ClusterOptions &options, const ClusterMember &agent,
                              const ClusterMember &server)
{
    const bool engine = server.kind == MemberKind::Engine;
    std::ostringstream out;
    out << "charts_directory = \"" << chartsFolder(options) << "\"\n\n[agent]\nname = \""
        << agent.name << "\"\npool = \"" << agent.pool << "\"\navailability_zone = \"" << agent.zone
        << "\"\nlisten_address = \"127.0.0.1\"\nentry_port = " << agent.port
        << "\nadmin_port = " << agent.adminPort << "\n\n[server]\nkind = \""
        << (engine ? "engine" : "service") << "\"\naddress = \"127.0.0.1\"\nport = " << server.port
        << "\nversion = \"v1\"\nmodels = "
        << quotedList(engine ? std::vector<std::string> {modelName} : std::vector<std::string>())
        << "\nchecks_fencing = false\n\n[limits]\nshutdown_timeout_ms = "
        << options.shutdownTimeoutMs << "\nmaximum_concurrency_count = 32\n"
        << options.agentLimitsText;
    return out.str();
}

std::string entrySettingsText(const ClusterOptions &options, const ClusterMember &entry,
                              const ClusterMember &platform)
{
    std::ostringstream out;
    out << "charts_directory = \"" << chartsFolder(options) << "\"\n\n[entry]\nname = \""
        << entry.name << "\"\navailability_zone = \"" << entry.zone
        << "\"\nlisten_address = \"127.0.0.1\"\ncaller_port = " << entry.port
        << "\nadmin_port = " << entry.adminPort << "\npeer_port = " << entry.peerPort
        << "\ntraffic_threads = 2\n\n[platform]\naddress = \"127.0.0.1\"\nport = " << platform.port
        << "\n\n[limits]\nshutdown_timeout_ms = " << options.shutdownTimeoutMs << '\n'
        << options.entryLimitsText;
    return out.str();
}

std::string hostListText(const std::vector<ClusterMember> &members)
{
    json::array hosts;
    for (const ClusterMember &it : members) {
        if (isAgent(it) || it.kind == MemberKind::Entry)
            hosts.push_back(hostObject(it));
    }
    return json::serialize(json::object {{"hosts", std::move(hosts)}});
}

} // namespace cornelshed::demo
