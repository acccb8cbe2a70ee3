// A fleet of gateways with duties in virtual time: the row of the duties in a store that loses
// answers, applies writes late and returns from an older copy, the reports between the gateways,
// and the platform's endpoint, which records each call with the time of its arrival.

#ifndef CORNELSHED_TEST_DUTYFLEET_H
#define CORNELSHED_TEST_DUTYFLEET_H

#include "dutylease.h"
#include "dutystate.h"
#include "types.h"
#include "usageduty.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed::testing {

struct ArrivedCall
{
    Duration at {};
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    std::optional<FixedWindow> window; // empty: a call of the other duty

    bool operator==(const ArrivedCall &) const = default;
};

// Shares of the calls of the store, of the calls to the platform, and of the reports, that fail.
struct FleetFaults
{
    double lostRequests = 0; // the write is never applied, and there is no answer
    double lostAnswers = 0;  // the write is applied, and there is no answer
    double lateWrites = 0;   // the write arrives up to 6 s late, without an answer
    double lostCalls = 0;    // to the platform
    double lostCallAnswers = 0;
    double refusedCalls = 0; // 429
    double lostReports = 0;

    bool operator==(const FleetFaults &) const = default;
};

class DutyFleet
{
public:
    static constexpr Duration step = std::chrono::milliseconds(50);
    static constexpr Duration lease = std::chrono::milliseconds(3000);
    static constexpr Duration thaw = std::chrono::milliseconds(300);
    static constexpr Duration window = std::chrono::seconds(5);
    static constexpr Duration late = std::chrono::seconds(10);
    static constexpr Duration callTimeout = std::chrono::milliseconds(1000);

    DutyFleet(std::size_t gateways, std::uint64_t seed);
    ~DutyFleet();

    void run(Duration duration);
    // Runs until the condition holds, for 30 s at most. Returns whether it holds.
    bool runUntil(const std::function<bool()> &condition);

    std::optional<std::size_t> holder() const; // that may send now
    std::size_t holderCount() const;

    void kill(std::size_t gateway); // as SIGKILL; its memory is lost
    void restart(std::size_t gateway);
    void setFrozen(std::size_t gateway, bool frozen);
    void setCutFromStore(std::size_t gateway, bool cut);
    void setCutFromPeers(std::size_t gateway, bool cut);
    void stepWallClock(std::size_t gateway, Duration by);
    void stop(std::size_t gateway); // as SIGTERM; it ends once it has handed over

    void setStoreAway(bool away) { m_storeAway = away; }
    void keepCopy();
    void returnFromCopy();
    void setPlatformAway(bool away) { m_platformAway = away; }

    bool isAlive(std::size_t gateway) const;
    bool isFrozen(std::size_t gateway) const;

    // Calls that report usage.
    const std::vector<ArrivedCall> &arrived() const { return m_arrived; }
    // Calls of another duty, which holders send all the time.
    const std::vector<ArrivedCall> &othersArrived() const { return m_othersArrived; }
    // The first call of each usage window.
    std::map<std::int64_t, ArrivedCall> firstArrivals() const;
    // Requests that were run, by window and organisation.
    const std::map<std::int64_t, UsageCounts> &truth() const { return m_truth; }
    std::int64_t presentWindow() const;
    Duration now() const { return m_now; } // true time
    RandomSource &random() { return m_random; }

    // Descriptions of the violations among the calls that have arrived.
    std::vector<std::string> violations() const;

    FleetFaults faults;

private:
    struct Gateway;
    struct Event
    {
        Duration at {};
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair(at, order) < std::pair(other.at, other.order);
        }
    };

    void advance(); // by one step
    void stepGateway(Gateway &gateway);
    void callStore(Gateway &gateway);
    void handleChanges(Gateway &gateway);
    void callPlatform(Gateway &gateway);
    void sendCall(Gateway &gateway, const std::optional<FixedWindow> &window);
    void report(Gateway &gateway);
    void after(Duration delay, std::function<void()> run);
    // Runs it once the gateway is not frozen, if it is still the same process.
    void deliver(std::size_t gateway, Duration delay, const std::function<void(Gateway &)> &run);
    void start(std::size_t index);
    bool chance(double share) { return m_random.unit() < share; }
    Duration latency() { return Duration(m_random.below(100000)); }
    std::optional<RowStoreError> apply(const WriteDutyRow &write, const DutyRow &row);

    SeededRandom m_random;
    Duration m_now; // true time, since 1970
    std::uint64_t m_eventCount = 0;
    std::set<Event> m_events;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::uint64_t m_lastIncarnation = 0;

    std::uint64_t m_era = 1;
    std::uint64_t m_version = 5;
    std::optional<std::pair<DutyRow, std::uint64_t>> m_row; // with its version
    std::uint64_t m_copyVersion = 5;
    std::optional<std::pair<DutyRow, std::uint64_t>> m_copyRow;
    bool m_storeAway = false;
    bool m_platformAway = false;

    std::vector<ArrivedCall> m_arrived;
    std::vector<ArrivedCall> m_othersArrived;
    std::map<std::int64_t, UsageCounts> m_truth;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_DUTYFLEET_H
