// Runs the scripted scenarios in test/scenarios. Each file states which failure it guards against.

#include "scenariorunner.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

using cornelshed::testing::runScenario;

TEST_CASE("the scheduler takes exactly the expected actions in every scenario")
{
    std::size_t scenarioCount = 0;
    for (const auto &file :
         std::filesystem::directory_iterator(CORNELSHED_SOURCE_DIR "/test/scenarios")) {
        if (file.path().extension() != ".scenario")
            continue;
        ++scenarioCount;
        for (const std::string &problem : runScenario(file.path().string()))
            FAIL_CHECK(file.path().filename().string() << ": " << problem);
    }
    CHECK(scenarioCount >= 8);
}

TEST_CASE("a scenario with a missing or an unexpected action is reported")
{
    const std::string path = CORNELSHED_BINARY_DIR "/wrong.scenario";
    std::ofstream(path) << "server a\nsubmit 1\nexpect dispatch 1 a\n";
    CHECK(runScenario(path).size() == 2);
}
