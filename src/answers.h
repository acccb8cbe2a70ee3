// An operator's answers to the questionnaire, from which a configuration is generated: the tiers
// and the organisations that call, engines, services and availability zones, the kinds of requests
// and whether they are idempotent, the versions to roll out, and the zones withdrawn from service.

#ifndef CORNELSHED_ANSWERS_H
#define CORNELSHED_ANSWERS_H

#include "configuration.h"
#include "tomlreader.h"

#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

struct TierAnswer
{
    std::string name;
    double minimumShare = 0; // in [0, 1)

    bool operator==(const TierAnswer &) const = default;
};

// Determines the organisation's share relative to the others of its tier.
enum class OrganisationSize { Small, Medium, Large };

struct OrganisationAnswer
{
    std::string name;
    std::string tier;
    OrganisationSize size = OrganisationSize::Small;

    bool operator==(const OrganisationAnswer &) const = default;
};

struct AvailabilityZoneAnswer
{
    std::string name;
    std::string region;

    bool operator==(const AvailabilityZoneAnswer &) const = default;
};

struct Answers
{
    std::string deployment;
    std::vector<TierAnswer> tiers; // by priority, highest first
    std::vector<OrganisationAnswer> organisations;
    std::vector<AvailabilityZoneAnswer> availabilityZones;
    std::vector<std::string> withdrawnZones;
    std::vector<PoolSettings> pools; // engines, then services
    std::vector<RouteSettings> requests;
    std::vector<RolloutSettings> rollouts;

    bool operator==(const Answers &) const = default;
};

// Parses and validates the answers. One call reports all problems of the file.
Result<Answers, TomlProblems> parseAnswers(std::string_view text, const std::string &file);

// Deterministic: equal answers give equal configurations. Except for tiers, the order of the
// answers is ignored, and the parts of the configuration are sorted by name (routes by path).
Configuration generateConfiguration(const Answers &answers);

// A commented answers file to fill in. It is valid input to parseAnswers without changes.
std::string questionnaireText();

} // namespace cornelshed

#endif // CORNELSHED_ANSWERS_H
