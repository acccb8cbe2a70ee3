// Guards against a lease that is taken for valid although the store may have forgotten it, against
// waits that end before the last holder's term, and against numbers that are given out twice.

#include "dutylease.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t ownIncarnation = 7;

// A lease with the time since boot, and the calls of the store that it makes.
class LeaseDriver
{
public:
    LeaseDriver() : lease({"own", ownIncarnation, 3000ms, 300ms}) { }

    // Passes time until a call is due, for 20 s at most.
    std::optional<DutyStoreCall> nextCall()
    {
        for (const Duration end = now + 20s; now < end; now += 10ms) {
            if (auto call = lease.nextCall(now))
                return call;
        }
        return std::nullopt;
    }

    void read(const std::optional<DutyRow> &row, std::uint64_t version, std::uint64_t era = 1)
    {
        lease.eraRead(era, now);
        lease.rowRead(row, {era, version}, std::max<std::uint64_t>(version, 1), now);
    }

    // Reads the row as often as it is due; returns the next write.
    WriteDutyRow nextWrite(const std::optional<DutyRow> &row, std::uint64_t version,
                           std::uint64_t era = 1)
    {
        for (;;) {
            const auto call = nextCall();
            REQUIRE(call);
            if (const auto *write = std::get_if<WriteDutyRow>(&*call)) {
                lease.writeSent(write->row, now);
                return *write;
            }
            read(row, version, era);
        }
    }

    // Acquires the duties; the row then has this version.
    DutyRow acquire(std::uint64_t version)
    {
        DutyRow row = nextWrite(std::nullopt, 0).row;
        lease.writeEnded(std::nullopt, now);
        REQUIRE(lease.holds());
        REQUIRE(std::holds_alternative<ReadDutyRow>(*nextCall()));
        read(row, version);
        return row;
    }

    DutyLease lease;
    Duration now = 100s;
};

DutyRow rowOf(const std::string &holder, std::uint64_t number, std::uint64_t era = 1)
{
    DutyRow row;
    row.holder = holder;
    row.incarnation = 1;
    row.number = number;
    row.era = era;
    return row;
}

} // namespace

TEST_CASE("a candidate waits for the lease time and a margin after it first saw the row's version")
{
    LeaseDriver driver;
    REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
    driver.read(rowOf("other", 5), 10);
    Duration firstSeen = driver.now;
    for (int n = 0; n < 3; ++n) {
        REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
        driver.read(rowOf("other", 5), 11 + static_cast<std::uint64_t>(n)); // renewed
        firstSeen = driver.now;
    }
    const WriteDutyRow write = driver.nextWrite(rowOf("other", 5), 13);
    CHECK(driver.now - firstSeen >= 3300ms);
    CHECK(driver.now - firstSeen < 4000ms);
    CHECK(write.acquires);
    CHECK(write.expectedVersion == 13);
    CHECK(write.row.number > 5);
}

TEST_CASE("the term begins before the write was sent")
{
    LeaseDriver driver;
    driver.nextWrite(std::nullopt, 0);
    const Duration sentAt = driver.now;
    driver.now += 900ms;
    driver.lease.writeEnded(std::nullopt, driver.now);
    CHECK(driver.lease.holds());
    CHECK(driver.lease.covers(sentAt + 2800ms));
    CHECK(!driver.lease.covers(sentAt + 3000ms));
}

TEST_CASE("an acquisition that was applied in a later era of the store does not count")
{
    LeaseDriver driver;
    driver.nextWrite(std::nullopt, 0);
    driver.lease.eraRead(2, driver.now);
    driver.lease.writeEnded(std::nullopt, driver.now);
    CHECK(!driver.lease.holds());
}

TEST_CASE("a renewal that was applied in a later era of the store does not count")
{
    LeaseDriver driver;
    const DutyRow row = driver.acquire(12);
    driver.nextWrite(row, 12);
    driver.lease.eraRead(2, driver.now);
    CHECK(!driver.lease.holds());
    driver.lease.writeEnded(std::nullopt, driver.now);
    CHECK(!driver.lease.holds());
    // The row names this gateway, but with a number of the earlier era.
    const Duration seenAt = driver.now;
    const WriteDutyRow next = driver.nextWrite(row, 12, 2);
    CHECK(next.acquires);
    CHECK(driver.now - seenAt >= 3300ms);
    CHECK(next.row.number > row.number);
}

TEST_CASE("an acquisition without an answer counts from its sending once the row shows it")
{
    LeaseDriver driver;
    const DutyRow row = driver.nextWrite(std::nullopt, 0).row;
    const Duration sentAt = driver.now;
    driver.now += 1s;
    driver.lease.writeEnded(RowStoreError::Unknown, driver.now);
    CHECK(!driver.lease.holds());
    REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
    driver.read(row, 4);
    CHECK(driver.lease.holds());
    CHECK(!driver.lease.covers(sentAt + 3000ms));
}

TEST_CASE("a write that was refused for its version makes the row be read, not written again")
{
    LeaseDriver driver;
    driver.nextWrite(std::nullopt, 0);
    driver.lease.writeEnded(RowStoreError::Conflict, driver.now);
    REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
    driver.read(rowOf("other", 9), 3);
    const Duration seenAt = driver.now;
    driver.nextWrite(rowOf("other", 9), 3);
    CHECK(driver.now - seenAt >= 3300ms);
}

TEST_CASE("a holder that has lost the duties does not acquire them again within the lease time")
{
    LeaseDriver driver;
    const DutyRow own = driver.acquire(12);
    driver.nextWrite(own, 12);
    driver.lease.writeEnded(RowStoreError::Conflict, driver.now);
    REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
    DutyRow next = rowOf("other", own.number + 1);
    next.handedOver = true; // at once
    driver.read(next, 13);
    CHECK(!driver.lease.holds());
    const Duration lostAt = driver.now;
    driver.nextWrite(next, 13);
    CHECK(driver.now - lostAt >= 3000ms);
}

TEST_CASE("a row that was handed over in an earlier era of the store is waited for")
{
    LeaseDriver driver;
    DutyRow row = rowOf("other", 5, 1);
    row.handedOver = true;
    const Duration startedAt = driver.now;
    driver.nextWrite(row, 10, 2);
    CHECK(driver.now - startedAt >= 3300ms);
}

TEST_CASE("a row that was handed over in the present era is acquired at once")
{
    LeaseDriver driver;
    DutyRow row = rowOf("other", 5, 1);
    row.handedOver = true;
    const Duration startedAt = driver.now;
    CHECK(driver.nextWrite(row, 10).row.number > 5);
    CHECK(driver.now - startedAt < 500ms);
}

TEST_CASE("a holder hands over only after it has held the duties for the lease time")
{
    for (const Duration held : {1500ms, 4000ms}) {
        LeaseDriver driver;
        DutyRow row = driver.acquire(12);
        const Duration end = driver.now + held;
        std::uint64_t version = 12;
        while (driver.now < end) {
            row = driver.nextWrite(row, version).row;
            driver.lease.writeEnded(std::nullopt, driver.now);
            REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
            driver.read(row, ++version);
        }
        driver.lease.stop(true);
        const auto call = driver.nextCall();
        CHECK(call.has_value() == (held > 3300ms));
        if (call)
            CHECK(std::get<WriteDutyRow>(*call).row.handedOver);
    }
}

TEST_CASE("a stopped gateway neither renews nor acquires")
{
    LeaseDriver driver;
    driver.acquire(12);
    driver.lease.stop(false);
    CHECK(!driver.nextCall());
    LeaseDriver candidate;
    candidate.lease.stop(true);
    CHECK(!candidate.nextCall());
}

TEST_CASE("reports of a renewal save reads, and never shorten the wait")
{
    LeaseDriver driver;
    REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
    driver.read(rowOf("other", 5), 10);
    int reads = 0;
    Duration heardAt {};
    std::uint64_t version = 10;
    for (int second = 0; second < 20; ++second) {
        heardAt = driver.now;
        driver.lease.peerReported(5, {1, ++version}, driver.now);
        for (int n = 0; n < 100; ++n, driver.now += 10ms) {
            if (const auto call = driver.lease.nextCall(driver.now)) {
                REQUIRE(std::holds_alternative<ReadDutyRow>(*call));
                driver.read(rowOf("other", 5), version);
                ++reads;
            }
        }
    }
    CHECK(reads == 0);
    driver.nextWrite(rowOf("other", 5), version);
    CHECK(driver.now - heardAt >= 3300ms);
    CHECK(driver.now - heardAt < 5000ms);
}

TEST_CASE("numbers exceed all that were seen or reported, and those of earlier eras")
{
    LeaseDriver driver;
    driver.lease.peerReported(std::uint64_t {1} << 40U, {1, 1}, driver.now);
    const auto inFirstEra = driver.nextWrite(rowOf("other", 5), 10).row.number;
    CHECK(inFirstEra > std::uint64_t {1} << 40U);
    LeaseDriver fresh; // has seen nothing of the first era
    const auto before = fresh.nextWrite(rowOf("other", 5), 1000).row.number;
    LeaseDriver later;
    CHECK(later.nextWrite(rowOf("other", 5), 3, 2).row.number > before);
}

TEST_CASE("a store whose versions have gone back without a statement ends the holder's term")
{
    LeaseDriver driver;
    const DutyRow row = driver.acquire(12);
    driver.nextWrite(row, 12);
    driver.lease.writeEnded(RowStoreError::Unknown, driver.now);
    REQUIRE(std::holds_alternative<ReadDutyRow>(*driver.nextCall()));
    driver.read(row, 8);
    CHECK(!driver.lease.holds());
}
