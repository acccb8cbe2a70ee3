// Guards against draws that exceed the share of a new version by chance or never reach it.

#include "versiondraw.h"

#include <doctest/doctest.h>

using namespace cornelshed;

TEST_CASE("the number of draws below a share never exceeds it by more than one and reaches it")
{
    for (const double share : {0.01, 0.05, 0.25, 0.5}) {
        VersionDraws draws;
        int below = 0;
        for (int n = 1; n <= 20000; ++n) {
            below += draws.next("/v1/completions") < share ? 1 : 0;
            REQUIRE(below <= share * n + 1);
        }
        CHECK(below >= share * 20000 * 0.99);
    }
}

TEST_CASE("each route has its own sequence")
{
    VersionDraws draws;
    const double first = draws.next("/a");
    CHECK(draws.next("/b") == first);
    CHECK(draws.next("/a") != first);
}
