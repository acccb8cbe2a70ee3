// Guards against a share of a new version that is exceeded by chance or never reached.

#include "versiondraw.h"

#include <doctest/doctest.h>

using namespace cornelshed;

TEST_CASE("the share of draws below a limit is neither exceeded by a request nor missed")
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
