// Guards against invalid answers being accepted, and against equal answers giving different
// configurations.

#include "answers.h"

#include "configurationfile.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cornelshed;

namespace {

std::string readExample(const std::string &name)
{
    std::ifstream file(CORNELSHED_SOURCE_DIR "/examples/" + name + ".toml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Configuration generateFrom(const std::string &text)
{
    const auto answers = parseAnswers(text, "answers.toml");
    if (const auto *problems = std::get_if<TomlProblems>(&answers))
        FAIL(problems->front().toString());
    return generateConfiguration(std::get<Answers>(answers));
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("the examples and the questionnaire generate valid configurations")
{
    for (const std::string &text :
         {readExample("marrowbank"), readExample("telhado"), questionnaireText()}) {
        const Configuration configuration = generateFrom(text);
        const auto parsed = parseConfiguration(formatConfiguration(configuration), "c.toml");
        REQUIRE(std::holds_alternative<Configuration>(parsed));
        CHECK(std::get<Configuration>(parsed) == configuration);
    }
}

TEST_CASE("answers are converted to ranks, weights, withdrawn zones and deadlines")
{
    const std::string text = replaced(readExample("telhado"), "withdrawn_zones = []",
                                      "withdrawn_zones = [\"nordeste-b\"]");
    const Configuration configuration = generateFrom(text);
    CHECK(configuration.tiers[1] == TierSettings {"lookups", 1, 0.1});
    CHECK(configuration.organisations[1]
          == OrganisationSettings {"franchise-office", "bookings", 16});
    CHECK(configuration.availabilityZones[0].state == AvailabilityZoneState::Serving);
    CHECK(configuration.availabilityZones[1].state == AvailabilityZoneState::Withdrawn);
    CHECK_FALSE(configuration.routes[0].idempotent); // /bookings
    CHECK(configuration.rollouts[0].deadlineEpochSeconds == 1799992800);
}

TEST_CASE("the order of the answers matters only for tiers")
{
    auto answers = std::get<Answers>(parseAnswers(readExample("marrowbank"), "a.toml"));
    const std::string text = formatConfiguration(generateConfiguration(answers));
    std::reverse(answers.organisations.begin(), answers.organisations.end());
    std::reverse(answers.pools.begin(), answers.pools.end());
    std::reverse(answers.requests.begin(), answers.requests.end());
    CHECK(formatConfiguration(generateConfiguration(answers)) == text);
    std::reverse(answers.tiers.begin(), answers.tiers.end());
    CHECK(formatConfiguration(generateConfiguration(answers)) != text);
}

TEST_CASE("one pass reports every invalid answer")
{
    std::string text = readExample("telhado");
    text = replaced(text, "tier = \"bookings\"", "tier = \"booking\"");
    text = replaced(text, "size = \"medium\"", "size = \"middling\"");
    text = replaced(text, "withdrawn_zones = []", "withdrawn_zones = [\"nordeste-e\"]");
    text = replaced(text, "idempotent = false", "");
    text = replaced(text, "2027-01-15T06:00:00Z", "2027-02-30T06:00:00Z");
    text = replaced(text, "checks_fencing", "check_fencing");
    const auto answers = parseAnswers(text, "answers.toml");
    REQUIRE(std::holds_alternative<TomlProblems>(answers));
    std::vector<std::string> keys;
    for (const TomlProblem &it : std::get<TomlProblems>(answers))
        keys.push_back(it.key);
    CHECK(keys
          == std::vector<std::string> {"organisations[0].tier", "organisations[2].size",
                                       "withdrawn_zones", "requests[3].idempotent",
                                       "rollouts[0].deadline", "engines[1].check_fencing"});
    CHECK(std::get<TomlProblems>(answers)[2].toString()
          == "answers.toml:5: withdrawn_zones: found [ 'nordeste-e' ], allowed: a known "
             "availability zone, not nordeste-e: nordeste-a nordeste-b nordeste-c nordeste-d");
}
