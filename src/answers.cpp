// Parser for the answers file and generator of the configuration.

#include "answers.h"

#include "configurationsections.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>

namespace cornelshed {

namespace {

constexpr detail::RouteKeys requestKeys {"path", "served_by", "usual_deadline_ms",
                                         "longest_deadline_ms"};

// A factor of 4 between sizes keeps a large organisation from being limited to the share of a small
// one, while a small one still gets one sixteenth of a large one's share.
std::uint32_t weightOf(OrganisationSize size)
{
    switch (size) {
    case OrganisationSize::Small:
        return 1;
    case OrganisationSize::Medium:
        return 4;
    case OrganisationSize::Large:
        return 16;
    }
    return 1;
}

OrganisationSize readSize(TomlSection &section)
{
    const std::string size = section.choice("size", {"small", "medium", "large"});
    if (size == "large")
        return OrganisationSize::Large;
    return size == "medium" ? OrganisationSize::Medium : OrganisationSize::Small;
}

// Converts a time such as 2026-12-24T18:00:00Z to seconds since 1970-01-01 UTC; nullopt if
// malformed.
std::optional<std::int64_t> parseUtcTime(const std::string &text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    unsigned hour = 0;
    unsigned minute = 0;
    unsigned second = 0;
    int length = 0;
    // NOLINTNEXTLINE(cert-err34-c): the ranges and the length are checked below
    const int fields = std::sscanf(text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2uZ%n", &year, &month, &day,
                                   &hour, &minute, &second, &length);
    constexpr int textLength = 20;
    if (fields != 6 || length != textLength || text.size() != textLength)
        return std::nullopt;
    const std::chrono::year_month_day date {std::chrono::year(year), std::chrono::month(month),
                                            std::chrono::day(day)};
    if (!date.ok() || year < 1970 || hour > 23 || minute > 59 || second > 59)
        return std::nullopt;
    const auto time = std::chrono::sys_days(date) + std::chrono::hours(hour)
            + std::chrono::minutes(minute) + std::chrono::seconds(second);
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

class AnswersReader
{
public:
    explicit AnswersReader(TomlSection root) : m_root(std::move(root)) { }

    Answers read()
    {
        m_answers.deployment = detail::readName(m_root, "deployment");
        readTiers();
        readOrganisations();
        readAvailabilityZones();
        readWithdrawnZones();
        readPools("engines", PoolKind::Engine);
        readPools("services", PoolKind::Service);
        readRequests();
        readRollouts();
        return m_answers;
    }

private:
    void readTiers()
    {
        std::vector<TierSettings> tierSettings;
        for (TomlSection &it : m_root.tables("tiers")) {
            TierAnswer tier {detail::readName(it, "name"), it.number("minimum_share", 0, 1, 0.0)};
            m_tierNames.add(it, "name", tier.name);
            tierSettings.push_back({tier.name, 0, tier.minimumShare});
            m_answers.tiers.push_back(std::move(tier));
        }
        if (m_answers.tiers.empty())
            m_root.reject("tiers", "at least one tier");
        detail::checkMinimumShares(m_root, tierSettings);
    }

    void readOrganisations()
    {
        for (TomlSection &it : m_root.tables("organisations")) {
            OrganisationAnswer organisation {detail::readName(it, "name"), it.text("tier"),
                                             readSize(it)};
            m_organisationNames.add(it, "name", organisation.name);
            m_tierNames.check(it, "tier", organisation.tier);
            m_answers.organisations.push_back(std::move(organisation));
        }
        if (m_answers.organisations.empty())
            m_root.reject("organisations", "at least one organisation");
    }

    void readAvailabilityZones()
    {
        for (TomlSection &it : m_root.tables("availability_zones")) {
            AvailabilityZoneAnswer zone {detail::readName(it, "name"),
                                         detail::readName(it, "region")};
            m_zoneNames.add(it, "name", zone.name);
            m_answers.availabilityZones.push_back(std::move(zone));
        }
        if (m_answers.availabilityZones.empty())
            m_root.reject("availability_zones", "at least one availability zone");
    }

    void readWithdrawnZones()
    {
        m_answers.withdrawnZones = detail::readNames(m_root, "withdrawn_zones");
        for (const std::string &it : m_answers.withdrawnZones)
            m_zoneNames.check(m_root, "withdrawn_zones", it);
    }

    void readPools(std::string_view key, PoolKind kind)
    {
        for (TomlSection &it : m_root.tables(key)) {
            PoolSettings pool = detail::readPool(it, kind);
            m_poolNames.add(it, "name", pool.name);
            m_answers.pools.push_back(std::move(pool));
        }
    }

    void readRequests()
    {
        for (TomlSection &it : m_root.tables("requests")) {
            RouteSettings route = detail::readRoute(it, requestKeys, m_poolNames);
            m_paths.add(it, "path", route.path);
            m_answers.requests.push_back(std::move(route));
        }
        if (m_answers.requests.empty())
            m_root.reject("requests", "at least one kind of request");
    }

    void readRollouts()
    {
        for (TomlSection &it : m_root.tables("rollouts")) {
            RolloutSettings rollout =
                    detail::readRollout(it, "requests", m_poolNames, m_answers.requests);
            const std::string deadline = it.text("deadline");
            const std::optional<std::int64_t> seconds = parseUtcTime(deadline);
            if (!seconds.has_value() && !deadline.empty())
                it.reject("deadline", "a time in UTC such as \"2026-12-24T18:00:00Z\"");
            rollout.deadlineEpochSeconds = seconds.value_or(0);
            m_rolloutNames.add(it, "name", rollout.name);
            detail::checkRolloutOverlap(it, rollout, m_answers.rollouts);
            m_answers.rollouts.push_back(std::move(rollout));
        }
    }

    TomlSection m_root;
    Answers m_answers;
    detail::NameSet m_tierNames {"tier"};
    detail::NameSet m_organisationNames {"organisation"};
    detail::NameSet m_zoneNames {"availability zone"};
    detail::NameSet m_poolNames {"engine or service"};
    detail::NameSet m_paths {"path"};
    detail::NameSet m_rolloutNames {"rollout"};
};

template<typename Items, typename Member> void sortBy(Items &items, Member member)
{
    std::sort(items.begin(), items.end(), [member](const auto &left, const auto &right) {
        return left.*member < right.*member;
    });
}

void generateTiers(const Answers &answers, Configuration &configuration)
{
    for (const TierAnswer &it : answers.tiers) {
        const auto rank = static_cast<TierRank>(configuration.tiers.size());
        configuration.tiers.push_back({it.name, rank, it.minimumShare});
    }
}

void generateZones(const Answers &answers, Configuration &configuration)
{
    for (const AvailabilityZoneAnswer &it : answers.availabilityZones) {
        const bool withdrawn =
                std::find(answers.withdrawnZones.begin(), answers.withdrawnZones.end(), it.name)
                != answers.withdrawnZones.end();
        configuration.availabilityZones.push_back(
                {it.name, it.region,
                 withdrawn ? AvailabilityZoneState::Withdrawn : AvailabilityZoneState::Serving});
    }
}

void sortParts(Configuration &configuration)
{
    sortBy(configuration.organisations, &OrganisationSettings::name);
    sortBy(configuration.availabilityZones, &AvailabilityZoneSettings::name);
    sortBy(configuration.pools, &PoolSettings::name);
    sortBy(configuration.routes, &RouteSettings::path);
    sortBy(configuration.rollouts, &RolloutSettings::name);
    for (PoolSettings &it : configuration.pools)
        std::sort(it.models.begin(), it.models.end());
    for (RouteSettings &it : configuration.routes)
        std::sort(it.pools.begin(), it.pools.end());
    for (RolloutSettings &it : configuration.rollouts)
        std::sort(it.routes.begin(), it.routes.end());
}

} // namespace

Result<Answers, TomlProblems> parseAnswers(std::string_view text, const std::string &file)
{
    TomlProblems problems;
    TomlDocument document = TomlDocument::parse(text, file, problems);
    if (!problems.empty())
        return problems; // after a syntax error the document is empty
    Answers answers = AnswersReader(document.root()).read();
    document.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    return answers;
}

Configuration generateConfiguration(const Answers &answers)
{
    Configuration configuration;
    configuration.deployment = answers.deployment;
    generateTiers(answers, configuration);
    for (const OrganisationAnswer &it : answers.organisations)
        configuration.organisations.push_back({it.name, it.tier, weightOf(it.size)});
    generateZones(answers, configuration);
    configuration.pools = answers.pools;
    configuration.routes = answers.requests;
    configuration.rollouts = answers.rollouts;
    sortParts(configuration);
    return configuration;
}

} // namespace cornelshed
