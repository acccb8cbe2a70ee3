// Parser and formatter for the configuration file. All values are written, including those that
// equal the default, so that changing a default does not change what an accepted text means.

#include "configurationfile.h"

#include "configurationsections.h"

#include <array>
#include <charconv>
#include <set>

namespace cornelshed {

namespace {

constexpr std::int64_t maximumRank = 63;
constexpr std::int64_t maximumWeight = 1000000;
constexpr detail::RouteKeys routeKeys {"path", "pools", "default_deadline_ms",
                                       "maximum_deadline_ms"};

class ConfigurationReader
{
public:
    explicit ConfigurationReader(TomlSection root) : m_root(std::move(root)) { }

    Configuration read()
    {
        m_configuration.deployment = detail::readName(m_root, "deployment");
        readTiers();
        readOrganisations();
        readAvailabilityZones();
        readPools();
        readRoutes();
        readRollouts();
        return m_configuration;
    }

private:
    void readTiers()
    {
        for (TomlSection &it : m_root.tables("tiers")) {
            TierSettings tier;
            tier.name = detail::readName(it, "name");
            tier.rank = static_cast<TierRank>(it.integer("rank", 0, maximumRank));
            tier.minimumShare = it.number("minimum_share", 0, 1, 0.0);
            m_tierNames.add(it, "name", tier.name);
            if (!m_configuration.tiers.empty() && m_configuration.tiers.back().rank >= tier.rank)
                it.reject("rank", "a rank greater than that of the previous tier");
            m_configuration.tiers.push_back(std::move(tier));
        }
        if (m_configuration.tiers.empty())
            m_root.reject("tiers", "at least one tier");
        detail::checkMinimumShares(m_root, m_configuration.tiers);
    }

    void readOrganisations()
    {
        for (TomlSection &it : m_root.tables("organisations")) {
            OrganisationSettings organisation;
            organisation.name = detail::readName(it, "name");
            organisation.tier = it.text("tier");
            organisation.weight =
                    static_cast<std::uint32_t>(it.integer("weight", 1, maximumWeight, 1));
            m_organisationNames.add(it, "name", organisation.name);
            m_tierNames.check(it, "tier", organisation.tier);
            m_configuration.organisations.push_back(std::move(organisation));
        }
    }

    void readAvailabilityZones()
    {
        for (TomlSection &it : m_root.tables("availability_zones")) {
            AvailabilityZoneSettings zone;
            zone.name = detail::readName(it, "name");
            zone.region = detail::readName(it, "region");
            zone.state = it.choice("state", {"serving", "withdrawn"}) == "serving"
                    ? AvailabilityZoneState::Serving
                    : AvailabilityZoneState::Withdrawn;
            m_zoneNames.add(it, "name", zone.name);
            m_configuration.availabilityZones.push_back(std::move(zone));
        }
    }

    void readPools()
    {
        for (TomlSection &it : m_root.tables("pools")) {
            const bool isEngine = it.choice("kind", {"engine", "service"}) == "engine";
            PoolSettings pool =
                    detail::readPool(it, isEngine ? PoolKind::Engine : PoolKind::Service);
            m_poolNames.add(it, "name", pool.name);
            m_configuration.pools.push_back(std::move(pool));
        }
    }

    void readRoutes()
    {
        for (TomlSection &it : m_root.tables("routes")) {
            RouteSettings route = detail::readRoute(it, routeKeys, m_poolNames);
            m_routePaths.add(it, "path", route.path);
            m_configuration.routes.push_back(std::move(route));
        }
    }

    void readRollouts()
    {
        for (TomlSection &it : m_root.tables("rollouts")) {
            RolloutSettings rollout =
                    detail::readRollout(it, "routes", m_poolNames, m_configuration.routes);
            rollout.deadlineEpochSeconds =
                    it.integer("deadline_epoch_seconds", 0, 253402300799); // end of year 9999
            m_rolloutNames.add(it, "name", rollout.name);
            detail::checkRolloutOverlap(it, rollout, m_configuration.rollouts);
            m_configuration.rollouts.push_back(std::move(rollout));
        }
    }

    TomlSection m_root;
    Configuration m_configuration;
    detail::NameSet m_tierNames {"tier"};
    detail::NameSet m_organisationNames {"organisation"};
    detail::NameSet m_zoneNames {"availability zone"};
    detail::NameSet m_poolNames {"pool"};
    detail::NameSet m_routePaths {"path"};
    detail::NameSet m_rolloutNames {"rollout"};
};

// Formats a TOML string. Names that were read from a file contain nothing that needs escaping, but
// a configuration built by code may, and its text must still be valid TOML.
std::string formatString(const std::string &text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result = "\"";
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (it == '"' || it == '\\')
            result += std::string("\\") + it;
        else if (byte < 0x20 || byte == 0x7f)
            result += std::string("\\u00") + digits[byte >> 4U] + digits[byte & 0xfU];
        else
            result += it;
    }
    return result + "\"";
}

std::string formatStrings(const std::vector<std::string> &texts)
{
    std::string result;
    for (const std::string &it : texts)
        result += (result.empty() ? "" : ", ") + formatString(it);
    return "[" + result + "]";
}

// Formats a TOML float as the shortest text that parses to the same value.
std::string formatNumber(double value)
{
    std::array<char, 32> buf {};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    std::string text(buf.data(), end);
    if (text.find_first_of(".e") == std::string::npos)
        text += ".0";
    return text;
}

class TomlWriter
{
public:
    void section(const std::string &name) { m_text += "\n[[" + name + "]]\n"; }

    void line(const std::string &key, const std::string &value)
    {
        m_text += key + " = " + value + "\n";
    }

    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

std::string formatBoolean(bool value)
{
    return value ? "true" : "false";
}

void write(TomlWriter &out, const TierSettings &it)
{
    out.section("tiers");
    out.line("name", formatString(it.name));
    out.line("rank", std::to_string(it.rank));
    out.line("minimum_share", formatNumber(it.minimumShare));
}

void write(TomlWriter &out, const OrganisationSettings &it)
{
    out.section("organisations");
    out.line("name", formatString(it.name));
    out.line("tier", formatString(it.tier));
    out.line("weight", std::to_string(it.weight));
}

void write(TomlWriter &out, const AvailabilityZoneSettings &it)
{
    const bool serving = it.state == AvailabilityZoneState::Serving;
    out.section("availability_zones");
    out.line("name", formatString(it.name));
    out.line("region", formatString(it.region));
    out.line("state", formatString(std::string(serving ? "serving" : "withdrawn")));
}

void write(TomlWriter &out, const PoolSettings &it)
{
    out.section("pools");
    out.line("name", formatString(it.name));
    out.line("kind", formatString(std::string(it.kind == PoolKind::Engine ? "engine" : "service")));
    out.line("generation", formatString(it.generation));
    out.line("models", formatStrings(it.models));
    out.line("checks_fencing", formatBoolean(it.checksFencing));
    out.line("maximum_concurrency_count", std::to_string(it.maximumConcurrency));
}

void write(TomlWriter &out, const RouteSettings &it)
{
    out.section("routes");
    out.line("path", formatString(it.path));
    out.line("pools", formatStrings(it.pools));
    out.line("idempotent", formatBoolean(it.idempotent));
    out.line("default_deadline_ms", std::to_string(it.defaultDeadlineMs));
    out.line("maximum_deadline_ms", std::to_string(it.maximumDeadlineMs));
}

void write(TomlWriter &out, const RolloutSettings &it)
{
    out.section("rollouts");
    out.line("name", formatString(it.name));
    out.line("pool", formatString(it.pool));
    out.line("from_version", formatString(it.fromVersion));
    out.line("to_version", formatString(it.toVersion));
    out.line("routes", formatStrings(it.routes));
    out.line("deadline_epoch_seconds", std::to_string(it.deadlineEpochSeconds));
    out.line("largest_unproven_share", formatNumber(it.largestUnprovenShare));
}

template<typename Items> void writeAll(TomlWriter &out, const Items &items)
{
    for (const auto &it : items)
        write(out, it);
}

} // namespace

Result<Configuration, TomlProblems> parseConfiguration(std::string_view text,
                                                       const std::string &file)
{
    TomlProblems problems;
    TomlDocument document = TomlDocument::parse(text, file, problems);
    if (!problems.empty())
        return problems; // after a syntax error the document is empty
    Configuration configuration = ConfigurationReader(document.root()).read();
    document.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    return configuration;
}

std::string formatConfiguration(const Configuration &configuration)
{
    TomlWriter out;
    out.line("deployment", formatString(configuration.deployment));
    writeAll(out, configuration.tiers);
    writeAll(out, configuration.organisations);
    writeAll(out, configuration.availabilityZones);
    writeAll(out, configuration.pools);
    writeAll(out, configuration.routes);
    writeAll(out, configuration.rollouts);
    return out.text();
}

} // namespace cornelshed
