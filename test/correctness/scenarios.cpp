// Runs every scripted scenario; each file says which failure it guards against.

#include "scenariorunner.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

using cornelshed::testing::runScenario;

TEST_CASE("every scenario takes its course")
{
    std::size_t n = 0;
    for (const auto &it :
         std::filesystem::directory_iterator(CORNELSHED_SOURCE_DIR "/test/scenarios")) {
        if (it.path().extension() != ".scenario")
            continue;
        ++n;
        for (const std::string &problem : runScenario(it.path().string()))
            FAIL_CHECK(it.path().filename().string() << ": " << problem);
    }
    CHECK(n >= 8);
}

TEST_CASE("a scenario with a missing or an unexpected action is reported")
{
    const std::string path = CORNELSHED_BINARY_DIR "/wrong.scenario";
    std::ofstream(path) << "server a\nsubmit 1\nexpect dispatch 1 a\n";
    CHECK(runScenario(path).size() == 2);
}
