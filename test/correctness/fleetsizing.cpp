// Plays fleets in virtual time: servers boot, work queues up while they do, and the sizing sees the
// result once a second. Guards against servers that are ordered too late, that are ordered again
// because of a queue that booting servers will serve, that are paid for a spike that ends before
// they serve, and against a fleet that follows each swing of the demand.

#include "fleetsizing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <vector>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

constexpr double slotsPerServer = 10; // 8 of them at the utilisation that is aimed at

struct Step
{
    Instant at {};
    FleetOrder order;
    std::uint32_t ready = 0;
};

// A fleet whose platform carries out each order: new servers serve after the boot time, and those
// above the number end at once.
class SimulatedFleet
{
public:
    SimulatedFleet(ServiceScale scale, std::uint32_t servers, FleetSizingSettings settings = {})
        : m_scale(scale), m_sizing(settings), m_ready(servers)
    { }

    // Plays a second with this demand in slots.
    FleetOrder play(double demand, Duration step = 1s)
    {
        m_now += step;
        const auto booted = std::remove_if(m_booting.begin(), m_booting.end(),
                                           [this](Instant it) { return it <= m_now; });
        m_ready += static_cast<std::uint32_t>(m_booting.end() - booted);
        m_booting.erase(booted, m_booting.end());

        FleetObservation observation;
        observation.at = m_now;
        observation.readyServers = m_ready;
        observation.bootingServers = static_cast<std::uint32_t>(m_booting.size());
        observation.slotsPerServer = slotsPerServer;
        observation.running = std::min(demand, m_ready * slotsPerServer);
        m_backlog = m_backlogGrows ? m_backlog + demand - observation.running
                                   : demand - observation.running;
        observation.waiting = m_backlog;
        observation.slotValue = slotValue;
        const auto order = m_sizing.update(m_scale, observation);
        REQUIRE(order.has_value());
        if (m_platformWorks)
            carryOut(order->desired);
        steps.push_back({m_now, *order, m_ready});
        return *order;
    }

    FleetOrder play(const std::function<double(double)> &demand, Duration length)
    {
        FleetOrder last;
        for (Duration t {}; t < length; t += 1s)
            last = play(demand(std::chrono::duration<double>(t).count()));
        return last;
    }

    FleetOrder playSteady(double demand, Duration length)
    {
        return play([&](double) { return demand; }, length);
    }

    void loseServers(std::uint32_t n) { m_ready -= std::min(n, m_ready); }
    void setPlatformWorks(bool works) { m_platformWorks = works; }
    void setBacklogGrows() { m_backlogGrows = true; }
    Instant now() const { return m_now; }

    std::size_t count(FleetChange change) const
    {
        return static_cast<std::size_t>(
                std::count_if(steps.begin(), steps.end(),
                              [&](const Step &it) { return it.order.change == change; }));
    }

    std::vector<Step> steps;
    double slotValue = 0;

private:
    void carryOut(std::uint32_t desired)
    {
        while (m_ready + m_booting.size() < desired)
            m_booting.push_back(m_now + m_scale.bootTime);
        while (m_ready + m_booting.size() > desired) {
            if (m_booting.empty())
                --m_ready;
            else
                m_booting.pop_back();
        }
    }

    ServiceScale m_scale;
    FleetSizing m_sizing;
    Instant m_now {};
    std::uint32_t m_ready;
    std::vector<Instant> m_booting; // when they are ready
    double m_backlog = 0;
    bool m_backlogGrows = false;
    bool m_platformWorks = true;
};

FleetSizingSettings settingsWithPrice(double price)
{
    FleetSizingSettings settings;
    settings.serverPrice = price;
    return settings;
}

constexpr ServiceScale scale {1, 40, 5s}; // hold time 20 s

} // namespace

TEST_CASE("a service without a scale yields no order, and a new scale starts without a history")
{
    FleetSizing sizing;
    FleetObservation observation;
    observation.slotsPerServer = slotsPerServer;
    observation.readyServers = 3;
    observation.running = 30;
    for (int i = 0; i < 100; ++i) {
        observation.at += 1s;
        CHECK_FALSE(sizing.update(std::nullopt, observation).has_value());
    }
    observation.running = 0;
    observation.at += 1s;
    CHECK(sizing.update(scale, observation) == FleetOrder {3, FleetChange::None, false});
}

TEST_CASE("steady load: the fleet is left as it is")
{
    SimulatedFleet fleet(scale, 5);
    CHECK(fleet.playSteady(36, 300s).desired == 5); // 40 slots are the utilisation aimed at
    CHECK(fleet.count(FleetChange::Growth) == 0);
    CHECK(fleet.count(FleetChange::Shrink) == 0);
}

TEST_CASE("a fleet that is too large shrinks once, after the hold time and not before")
{
    SimulatedFleet fleet(scale, 20);
    CHECK(fleet.playSteady(36, 20s).desired == 20);
    CHECK(fleet.playSteady(36, 100s).desired == 5);
    CHECK(fleet.count(FleetChange::Shrink) == 1);
    CHECK(fleet.count(FleetChange::Growth) == 0);
}

TEST_CASE("step: all servers are ordered with the first observation, and no more while they boot")
{
    SimulatedFleet fleet(scale, 5);
    fleet.playSteady(36, 60s);
    CHECK(fleet.play(72).desired == 9);
    CHECK(fleet.playSteady(72, 60s).desired == 9);
    CHECK(fleet.count(FleetChange::Growth) == 1);
    // A queue that piles up while servers boot is bounded by the slots that serve now.
    SimulatedFleet piling({1, 1000, 15s}, 5);
    piling.setBacklogGrows();
    piling.playSteady(36, 60s);
    CHECK(piling.playSteady(90, 14s).desired == 13); // 50 running and 50 waiting
    CHECK(piling.count(FleetChange::Growth) <= 2);
}

TEST_CASE("refused work counts as demand that queues do not show")
{
    FleetSizing sizing;
    FleetObservation observation;
    observation.slotsPerServer = slotsPerServer;
    observation.readyServers = 2;
    observation.running = 16;
    observation.at += 1s;
    sizing.update(scale, observation);
    observation.at += 1s;
    observation.refused = 64;
    CHECK(sizing.update(scale, observation)->desired == 10);
}

TEST_CASE("ramp: servers are ordered a boot time before they are needed")
{
    const ServiceScale slow {1, 100, 10s}; // hold time 40 s
    SimulatedFleet fleet(slow, 5);
    fleet.playSteady(36, 60s);
    fleet.play([](double t) { return 36 + 2 * t; }, 200s);
    // Once the trend is known, there is room for the demand at all times.
    for (std::size_t i = 120; i < fleet.steps.size(); ++i) {
        const double demand = 36 + 2 * (static_cast<double>(i) - 60);
        CHECK(fleet.steps[i].ready * slotsPerServer * 0.8 >= demand - 2);
        CHECK(fleet.steps[i].order.desired * slotsPerServer * 0.8 <= demand + 2 * 10 * 1.25 + 8);
    }
    // The trend does not outlive the ramp.
    fleet.playSteady(436, 100s);
    CHECK(fleet.steps.back().order.desired <= 60);
}

TEST_CASE("wave with a period of 17 s: the crest is kept, and the fleet does not follow the wave")
{
    for (const Duration boot : {1s, 2s, 5s, 8s, 17s, 30s}) {
        CAPTURE(boot.count());
        SimulatedFleet fleet({1, 100, boot}, 10);
        fleet.play([](double t) { return 80 + 50 * std::sin(2 * std::numbers::pi * t / 17); },
                   600s);
        CHECK(fleet.count(FleetChange::Shrink) == 0);
        CHECK(fleet.steps.back().order.desired >= 16);
        CHECK(fleet.steps.back().order.desired <= 18); // 130 slots at most
        CHECK(fleet.count(FleetChange::Growth) <= 7);
        CHECK(fleet.steps[100].order.desired == fleet.steps.back().order.desired);
    }
}

TEST_CASE("spike shorter than the boot time: servers only if its work is worth their price")
{
    const ServiceScale slow {1, 100, 10s}; // hold time 40 s, so that 50 s are paid
    const auto spike = [](double t) { return t >= 100 && t < 104 ? 120.0 : 36.0; };
    SimulatedFleet frugal(slow, 5, settingsWithPrice(1));
    frugal.slotValue = 0.4; // a server's 8 slots earn 3.2 times its price
    frugal.play(spike, 300s);
    CHECK(frugal.count(FleetChange::Growth) == 0);
    CHECK(frugal.steps.back().order.desired == 5);
    // The same demand is served if it goes on.
    frugal.playSteady(120, 60s);
    CHECK(frugal.steps.back().order.desired == 15);

    SimulatedFleet generous(slow, 5, settingsWithPrice(1));
    generous.slotValue = 40;
    generous.play(spike, 300s);
    CHECK(generous.count(FleetChange::Growth) == 1);
    CHECK(generous.count(FleetChange::Shrink) == 1);
    CHECK(generous.steps.back().order.desired == 5);
}

TEST_CASE("a server that never earns its price is not ordered")
{
    SimulatedFleet fleet(scale, 5, settingsWithPrice(1));
    fleet.slotValue = 0.1; // 8 slots earn 0.8
    CHECK(fleet.playSteady(120, 600s).desired == 5);
}

TEST_CASE("servers lost: the number stays, the order is repeated, and the dip is no lower demand")
{
    SimulatedFleet fleet(scale, 10);
    fleet.playSteady(78, 60s);
    fleet.setPlatformWorks(false);
    fleet.loseServers(6);
    std::size_t repeats = 0;
    for (int i = 0; i < 15; ++i) {
        const FleetOrder order = fleet.play(78);
        CHECK(order.desired == 10);
        repeats += order.repeat ? 1 : 0;
    }
    CHECK(repeats == 3); // each boot time
    fleet.setPlatformWorks(true);
    fleet.playSteady(78, 60s);
    CHECK(fleet.steps.back().ready == 10);
    CHECK_FALSE(fleet.steps.back().order.repeat);
    // All lost: nothing tells how many slots a server has, but the number stays.
    fleet.loseServers(100);
    CHECK(fleet.play(78).desired == 10);
}

TEST_CASE("bounds: the number is between them, and one server is kept where none is demanded")
{
    SimulatedFleet small({3, 6, 5s}, 1);
    CHECK(small.play(0).desired == 3);
    CHECK(small.playSteady(1000, 60s).desired == 6);
    CHECK(small.playSteady(0, 60s).desired == 3);
    SimulatedFleet idle({0, 6, 5s}, 4);
    CHECK(idle.playSteady(0, 60s).desired == 1);
    SimulatedFleet fixed({4, 4, 5s}, 9);
    CHECK(fixed.play(1000).desired == 4);
    SimulatedFleet none({0, 6, 5s}, 0);
    CHECK(none.play(0).desired == 1);
    CHECK(none.playSteady(0, 30s).desired == 1);
}

TEST_CASE("observations that are old, odd or missing for long cause neither growth nor shrink")
{
    FleetSizing sizing;
    FleetObservation observation;
    observation.slotsPerServer = slotsPerServer;
    observation.readyServers = 10;
    observation.running = 70;
    for (int i = 0; i < 30; ++i) {
        observation.at += 1s;
        sizing.update(scale, observation);
    }
    FleetObservation old = observation;
    old.running = 1000;
    CHECK(sizing.update(scale, old)->desired == 10);
    for (const double odd : {std::nan(""), -1e300, -HUGE_VAL}) {
        observation.at += 1s;
        observation.running = odd;
        observation.waiting = odd;
        observation.slotsPerServer = odd;
        CHECK(sizing.update(scale, observation)->desired == 10);
    }
    // A suspension of an hour, after which the demand is low: the hold time begins again.
    observation.running = 1;
    observation.waiting = 0;
    observation.at += 1h;
    CHECK(sizing.update(scale, observation)->desired == 10);
    for (int i = 0; i < 19; ++i) {
        observation.at += 1s;
        CHECK(sizing.update(scale, observation)->desired == 10);
    }
    observation.at += 1s;
    CHECK(sizing.update(scale, observation)->desired == 1);
}

TEST_CASE("property: no flapping, and the number is always inside the bounds")
{
    CHECK(rc::check("after a growth, no shrink within the hold time", [] {
        const ServiceScale bounds {*rc::gen::inRange(0U, 5U), *rc::gen::inRange(5U, 60U),
                                   std::chrono::seconds(*rc::gen::inRange(0, 40))};
        SimulatedFleet fleet(bounds, *rc::gen::inRange(0U, 60U),
                             settingsWithPrice(*rc::gen::element(0.0, 1.0, 5.0)));
        fleet.slotValue = *rc::gen::element(0.0, 0.5, 20.0);
        const Duration hold = FleetSizing().holdTime(bounds);
        std::optional<Instant> grownAt;
        std::uint32_t lowest = 0;
        for (int change = *rc::gen::inRange(1, 25); change > 0; --change) {
            const double demand = *rc::gen::inRange(0, 400);
            for (int n = *rc::gen::inRange(1, 60); n > 0; --n) {
                const FleetOrder order =
                        fleet.play(demand, std::chrono::milliseconds(*rc::gen::inRange(50, 1500)));
                RC_ASSERT(order.desired >= std::max(bounds.minServers, 1U));
                RC_ASSERT(order.desired <= bounds.maxServers);
                if (fleet.steps.size() > 1 && order.change == FleetChange::Growth) {
                    grownAt = fleet.now();
                    lowest = order.desired;
                }
                if (grownAt.has_value() && fleet.now() - *grownAt < hold)
                    RC_ASSERT(order.desired >= lowest);
            }
        }
    }));
}

TEST_CASE("property: with a free server, a demand that stays is met a boot time later")
{
    CHECK(rc::check("the fleet has room for a steady demand and little more", [] {
        const ServiceScale bounds {0, 100, std::chrono::seconds(*rc::gen::inRange(1, 20))};
        SimulatedFleet fleet(bounds, *rc::gen::inRange(1U, 100U));
        for (int n = *rc::gen::inRange(0, 5); n > 0; --n)
            fleet.playSteady(*rc::gen::inRange(0, 700), std::chrono::seconds(20));
        const double demand = *rc::gen::inRange(1, 700);
        // Each boot time doubles the fleet at least.
        fleet.playSteady(demand, 10 * bounds.bootTime + 5 * FleetSizing().holdTime(bounds));
        const double capacity = fleet.steps.back().ready * slotsPerServer * 0.8;
        RC_ASSERT(capacity >= demand);
        RC_ASSERT(capacity <= demand * 1.1 + 8);
    }));
}
