// Tests of the platform stand-in's behaviours that other tests rely on. If a transaction ignored a
// condition, if the rate limit was not enforced, or if an operation with a lost answer had no
// effect, those tests would pass although the scheduler is wrong.

#include "laggedvalue.h"
#include "platformserver.h"
#include "ratelimiter.h"
#include "standinhost.h"
#include "tablestore.h"

#include <doctest/doctest.h>

using namespace cornelshed::standins;
using cornelshed::testing::StandInHost;

TEST_CASE("a transaction writes all rows or none")
{
    TableStore table;
    const TransactionResult first = table.transact({{"a", 0}}, {{"a", "1"}, {"b", "2"}});
    REQUIRE(first.committed);
    const std::uint64_t version = first.rows.at("a").version;

    const TransactionResult absent = table.transact({{"a", 0}, {"c", 0}}, {{"c", "3"}});
    CHECK_FALSE(absent.committed);
    CHECK(absent.rows == StoredRows {{"a", {version, "1"}}});
    CHECK(table.read({"c"}).empty());

    CHECK(table.transact({{"a", version}}, {{"a", std::nullopt}}).committed);
    CHECK_FALSE(table.transact({{"a", version}}, {{"a", "4"}}).committed);
    CHECK(table.scan("").size() == 1);
}

TEST_CASE("a row written again after a delete has a new version")
{
    TableStore table;
    const std::uint64_t first = table.transact({}, {{"a", "1"}}).rows.at("a").version;
    table.transact({}, {{"a", std::nullopt}});
    CHECK(table.transact({}, {{"a", "1"}}).rows.at("a").version > first);
}

TEST_CASE("the rate limiter refuses and counts the operations over the limit in a second")
{
    RateLimiter limiter(2);
    CHECK(limiter.admit(7));
    CHECK(limiter.admit(7));
    CHECK_FALSE(limiter.admit(7));
    CHECK(limiter.admit(8));
    CHECK(limiter.totalCount() == 3);
    CHECK(limiter.refusedCount() == 1);
    CHECK(limiter.peakSecondCount() == 3);
}

TEST_CASE("operations over the rate limit are refused with 429 and counted")
{
    PlatformOptions options;
    options.writesPerSecond = 0;
    StandInHost<PlatformServer> platform(options);
    const std::string transaction = R"({"conditions":[],"writes":[{"key":"a","value":"1"}]})";
    CHECK(platform.call("POST", "/table/transact", transaction).status == 429);
    CHECK(platform.call("POST", "/table/scan", R"({"prefix":""})").body == R"({"rows":{}})");
    CHECK(platform.call("GET", "/counts").body.find(R"("refused_writes":1)") != std::string::npos);
}

TEST_CASE("an operation whose answer is lost takes effect, one during an outage does not")
{
    StandInHost<PlatformServer> platform(PlatformOptions {});
    const auto write = [&](const std::string &key) {
        return platform.call("POST", "/table/transact",
                             R"({"conditions":[],"writes":[{"key":")" + key
                                     + R"(","value":"1"}]})");
    };
    platform.call("POST", "/fault", R"({"table":"lose_answers"})");
    CHECK(write("lost").transport == HttpTransportResult::Broken);
    platform.call("POST", "/fault", R"({"table":"down"})");
    CHECK(write("refused").status == 503);
    platform.call("POST", "/fault", R"({"table":"up"})");
    const std::string rows = platform.call("POST", "/table/scan", R"({"prefix":""})").body;
    CHECK(rows.find("lost") != std::string::npos);
    CHECK(rows.find("refused") == std::string::npos);
}

TEST_CASE("a fault ends after its duration")
{
    StandInHost<PlatformServer> platform(PlatformOptions {});
    platform.call("POST", "/fault", R"({"table":"down","seconds":0})");
    CHECK(platform.call("POST", "/table/scan", R"({"prefix":""})").status == 200);
}

TEST_CASE("an observer sees a value as it was before the lag")
{
    using std::chrono::milliseconds;
    const SteadyTime start {};
    LaggedValue<int> value(0, milliseconds(100));
    value.set(start, 1);
    value.set(start + milliseconds(50), 2);
    CHECK(value.visible(start + milliseconds(99)) == 0);
    CHECK(value.visible(start + milliseconds(100)) == 1);
    CHECK(value.visible(start + milliseconds(150)) == 2);
    CHECK(value.latest() == 2);
}
