// The answers of an operator to the questionnaire: who calls, in which tiers, on which engines and
// services, in which availability zones, which requests are idempotent, which versions are to be
// rolled out, and which zones are withdrawn. A configuration is generated from them.

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

// Decides the organisation's share against others of its tier.
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
    std::vector<TierAnswer> tiers; // the first is served first
    std::vector<OrganisationAnswer> organisations;
    std::vector<AvailabilityZoneAnswer> availabilityZones;
    std::vector<std::string> withdrawnZones;
    std::vector<PoolSettings> pools; // engines, then services
    std::vector<RouteSettings> requests;
    std::vector<RolloutSettings> rollouts;

    bool operator==(const Answers &) const = default;
};

// Reads and checks the answers. All wrong answers are reported at once.
Result<Answers, TomlProblems> parseAnswers(std::string_view text, const std::string &file);

// Equal answers give equal configurations; except for tiers, the order of the answers has no
// meaning, and the parts of the configuration are sorted by name.
Configuration generateConfiguration(const Answers &answers);

// A commented answers file to fill in. It passes parseAnswers as it is.
std::string questionnaireText();

} // namespace cornelshed

#endif // CORNELSHED_ANSWERS_H
