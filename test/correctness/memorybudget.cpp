// Guards against a process whose callers take more memory or descriptors than it has, against
// ordinary requests that find no room because of incomplete ones, and against callers inside the
// limits that are ended although others are to blame.

#include "memorybudget.h"
#include "logthrottle.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <vector>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
constexpr std::size_t megabyte = std::size_t {1} << 20U;

MemoryLimits smallLimits()
{
    MemoryLimits limits;
    limits.totalBytes = 16 * megabyte;
    limits.reservedBytes = 2 * megabyte;
    limits.connectionLimit = 10;
    return limits;
}

// A connection that gives up everything at once, unless it refuses to.
class FakeConnection : public MemoryHolder, public std::enable_shared_from_this<FakeConnection>
{
public:
    explicit FakeConnection(std::shared_ptr<MemoryBudget> budget) : share(std::move(budget)) { }

    bool giveUpMemory() override
    {
        if (refuses)
            return false;
        ended = true;
        share.close();
        return true;
    }

    ConnectionShare share;
    bool refuses = false;
    bool ended = false;
};

class Fixture
{
public:
    explicit Fixture(const MemoryLimits &limits = smallLimits())
        : budget(std::make_shared<MemoryBudget>(limits))
    { }

    std::shared_ptr<FakeConnection> connect(ConnectionPhase phase, std::size_t heldBytes = 0,
                                            Instant at = start)
    {
        auto connection = std::make_shared<FakeConnection>(budget);
        connection->share.open(connection, at);
        if (phase != ConnectionPhase::Unused)
            connection->share.setPhase(phase, at);
        connection->share.hold(heldBytes);
        return connection;
    }

    std::shared_ptr<MemoryBudget> budget;
};

} // namespace

TEST_CASE("the smallest gateway host has room for the largest body and thousands of connections")
{
    const MemoryLimits limits = divideResources({88 * megabyte, 4100});
    CHECK(limits.totalBytes < 70 * megabyte);
    CHECK(limits.totalBytes - limits.reservedBytes > 8 * megabyte);
    CHECK(limits.connectionLimit > 2000);
    CHECK(limits.connectionLimit < 4100 - 200 - 361); // slots of all backend servers of Sofia
    // All receive buffers together fit.
    CHECK(limits.connectionLimit * limits.receiveBufferBytes < 88 * megabyte);
    CHECK(limits.receiveBufferBytes >= 16384);
}

TEST_CASE("limits grow with the resources, and none is zero")
{
    rc::check([] {
        const HostResources less {*rc::gen::inRange<std::size_t>(0, 4096 * megabyte),
                                  *rc::gen::inRange<std::size_t>(0, 100000)};
        const HostResources more {less.memoryBytes
                                          + *rc::gen::inRange<std::size_t>(0, megabyte * 64),
                                  less.descriptors + *rc::gen::inRange<std::size_t>(0, 1000)};
        const MemoryLimits a = divideResources(less);
        const MemoryLimits b = divideResources(more);
        RC_ASSERT(a.totalBytes <= b.totalBytes);
        RC_ASSERT(a.totalBytes - a.reservedBytes >= 5 * megabyte);
        RC_ASSERT(a.connectionLimit >= 1U);
        RC_ASSERT(a.receiveBufferBytes >= 16384U);
        RC_ASSERT(a.receiveBufferBytes <= b.receiveBufferBytes);
    });
}

TEST_CASE("large requests leave the reserved part to small ones")
{
    Fixture fixture;
    const auto large = fixture.connect(ConnectionPhase::Receiving, 13 * megabyte);
    CHECK_FALSE(fixture.budget->fits(megabyte, MemoryUse::LargeRequest));
    CHECK(fixture.budget->fits(megabyte, MemoryUse::SmallRequest));
    CHECK(requestUse(smallBodyBytes) == MemoryUse::SmallRequest);
    CHECK(requestUse(smallBodyBytes + 1) == MemoryUse::LargeRequest);
}

TEST_CASE("requests share a part of the total of their own, of which small ones have a reserve")
{
    MemoryLimits limits = smallLimits();
    limits.requestBytes = 8 * megabyte;
    Fixture fixture(limits);
    const auto stalled = fixture.connect(ConnectionPhase::Receiving, 4 * megabyte);
    const auto second = fixture.connect(ConnectionPhase::Receiving, 7 * megabyte / 2);
    CHECK_FALSE(fixture.budget->fits(megabyte, MemoryUse::LargeRequest));
    CHECK_FALSE(fixture.budget->fits(megabyte, MemoryUse::SmallRequest));
    CHECK(fixture.budget->fits(megabyte, MemoryUse::Response));
    CHECK(fixture.budget->makeRoom(10000, MemoryUse::SmallRequest, nullptr, start + 5s));
    CHECK(stalled->ended);
    CHECK_FALSE(second->ended);
}

TEST_CASE("unread data in the kernel counts while a request is received")
{
    MemoryLimits limits = smallLimits();
    limits.receiveBufferBytes = 20000;
    Fixture fixture(limits);
    const auto connection = fixture.connect(ConnectionPhase::Idle);
    const std::size_t idle = fixture.budget->usedBytes();
    connection->share.setPhase(ConnectionPhase::Receiving, start);
    CHECK(fixture.budget->usedBytes() == idle + 20000);
    connection->share.setPhase(ConnectionPhase::Waiting, start);
    CHECK(fixture.budget->usedBytes() == idle);
    connection->share.setHasUnreadRequests(true);
    CHECK(fixture.budget->usedBytes() == idle + 20000);
    connection->share.close();
    CHECK(fixture.budget->usedBytes() == 0);
}

TEST_CASE("a request that is the only one fits whatever its size")
{
    Fixture fixture;
    const auto waiting = fixture.connect(ConnectionPhase::Idle);
    CHECK(fixture.budget->fits(100 * megabyte, MemoryUse::LargeRequest));
}

TEST_CASE("a large request ends only requests without progress, a small one any incomplete one")
{
    Fixture fixture;
    const auto first = fixture.connect(ConnectionPhase::Receiving, 7 * megabyte);
    const auto second = fixture.connect(ConnectionPhase::Receiving, 7 * megabyte);
    const Instant now = start + 1500ms;
    first->share.recordProgress(100000, now - 100ms);
    CHECK(fixture.budget->makeRoom(4 * megabyte, MemoryUse::LargeRequest, nullptr, now));
    CHECK_FALSE(first->ended);
    CHECK(second->ended);
    CHECK_FALSE(fixture.budget->makeRoom(10 * megabyte, MemoryUse::LargeRequest, nullptr, now));
    CHECK_FALSE(first->ended);
    CHECK(fixture.budget->makeRoom(10 * megabyte, MemoryUse::SmallRequest, nullptr, now));
    CHECK(first->ended);
}

TEST_CASE("a request in progress is ended only if its caller has sent many more behind it")
{
    Fixture fixture;
    const auto plain = fixture.connect(ConnectionPhase::Waiting, 8 * megabyte);
    const auto pipelining = fixture.connect(ConnectionPhase::Waiting, 7 * megabyte);
    pipelining->share.setHasUnreadRequests(true);
    CHECK(fixture.budget->makeRoom(2 * megabyte, MemoryUse::SmallRequest, nullptr, start + 5s));
    CHECK_FALSE(plain->ended);
    CHECK(pipelining->ended);
}

TEST_CASE("single bytes are no progress")
{
    Fixture fixture;
    const auto trickling = fixture.connect(ConnectionPhase::Receiving, 12 * megabyte);
    const auto steady = fixture.connect(ConnectionPhase::Receiving, megabyte);
    for (int n = 1; n <= 20; ++n) {
        trickling->share.recordProgress(1, start + n * 100ms);
        steady->share.recordProgress(5000, start + n * 100ms);
    }
    CHECK(fixture.budget->makeRoom(4 * megabyte, MemoryUse::LargeRequest, nullptr, start + 2s));
    CHECK(trickling->ended);
    CHECK_FALSE(steady->ended);
}

TEST_CASE("the request for which room is made is not ended")
{
    Fixture fixture;
    const auto self = fixture.connect(ConnectionPhase::Receiving, 15 * megabyte);
    const auto other = fixture.connect(ConnectionPhase::Receiving, megabyte / 2);
    CHECK_FALSE(self->share.makeRoom(2 * megabyte, MemoryUse::SmallRequest, start + 10s));
    CHECK_FALSE(self->ended);
    CHECK(other->ended);
}

TEST_CASE("at the limit of connections, the one that was idle longest makes room")
{
    Fixture fixture;
    std::vector<std::shared_ptr<FakeConnection>> idle;
    idle.reserve(10);
    for (int n = 0; n < 10; ++n)
        idle.push_back(fixture.connect(ConnectionPhase::Idle, 0, start + n * 10ms));
    idle[0]->refuses = true; // data has arrived on it
    CHECK(fixture.budget->makeConnectionRoom(start + 1s));
    CHECK_FALSE(idle[0]->ended);
    CHECK(idle[1]->ended);
    CHECK(fixture.budget->connectionCount() == 9);
    CHECK(fixture.budget->makeConnectionRoom(start + 1s)); // there is room
    CHECK_FALSE(idle[2]->ended);
}

TEST_CASE("connections that are not reused and those that never send make room before others")
{
    Fixture fixture;
    fixture.budget->setIdleTimeout(10s);
    const auto unused = fixture.connect(ConnectionPhase::Unused, 0, start);
    std::vector<std::shared_ptr<FakeConnection>> idle;
    idle.reserve(10);
    for (int n = 0; n < 9; ++n)
        idle.push_back(fixture.connect(ConnectionPhase::Idle, 0, start + 5s));
    CHECK(fixture.budget->makeConnectionRoom(start + 8s));
    CHECK(unused->ended);
    const auto newUnused = fixture.connect(ConnectionPhase::Unused, 0, start + 14s);
    CHECK(fixture.budget->makeConnectionRoom(start + 13s + 500ms));
    CHECK(idle[0]->ended); // idle for over four fifths of the limit
    CHECK_FALSE(newUnused->ended);
}

TEST_CASE("no connection is opened while all others have requests that make progress")
{
    Fixture fixture;
    std::vector<std::shared_ptr<FakeConnection>> busy;
    busy.reserve(10);
    for (int n = 0; n < 10; ++n)
        busy.push_back(fixture.connect(ConnectionPhase::Receiving, 100, start));
    CHECK_FALSE(fixture.budget->makeConnectionRoom(start + 500ms));
    CHECK(fixture.budget->makeConnectionRoom(start + 1500ms)); // they have stalled
    CHECK(std::count_if(busy.begin(), busy.end(), [](const auto &it) { return it->ended; }) == 1);
}

TEST_CASE("whatever happens, what is counted is what is held, and small requests find room")
{
    rc::check([] {
        MemoryLimits limits = smallLimits();
        limits.connectionLimit = 0;
        Fixture fixture(limits);
        const std::size_t perConnection = [&] {
            const auto one = fixture.connect(ConnectionPhase::Unused);
            return fixture.budget->usedBytes();
        }();
        std::vector<std::shared_ptr<FakeConnection>> connections;
        std::vector<std::size_t> held;
        Instant now = start;
        const auto steps =
                *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(rc::gen::pair(
                        rc::gen::inRange(0, 100), rc::gen::inRange<std::size_t>(0, megabyte)));
        for (const auto &[kind, bytes] : steps) {
            now += 50ms;
            if (kind < 50 || connections.empty()) {
                connections.push_back(fixture.connect(ConnectionPhase::Receiving, bytes, now));
            } else if (kind < 70) {
                auto &it = connections[bytes % connections.size()];
                it->share.hold(bytes);
            } else if (kind < 80) {
                connections.erase(connections.begin()
                                  + static_cast<std::ptrdiff_t>(bytes % connections.size()));
            } else if (kind < 90) {
                fixture.budget->makeRoom(bytes, MemoryUse::LargeRequest, nullptr, now);
            } else {
                RC_ASSERT(fixture.budget->makeRoom(smallBodyBytes, MemoryUse::SmallRequest, nullptr,
                                                   now));
            }
            std::size_t expected = 0;
            for (const auto &it : connections) {
                if (!it->ended)
                    expected += perConnection + it->share.heldBytes();
            }
            RC_ASSERT(fixture.budget->usedBytes() == expected);
        }
    });
}

TEST_CASE("one kind of event cannot fill the log, and what was left out is counted")
{
    LogThrottle throttle(10, 20);
    int lines = 0;
    std::uint64_t reported = 0;
    for (int n = 0; n < 10000; ++n) {
        if (const auto more = throttle.admit(start + n * 1ms)) {
            ++lines;
            reported += *more;
        }
    }
    CHECK(lines >= 100);
    CHECK(lines <= 121);
    CHECK(reported + static_cast<std::uint64_t>(lines) <= 10000);
    CHECK(throttle.admit(start + 1h).value_or(0) > 0);
}
