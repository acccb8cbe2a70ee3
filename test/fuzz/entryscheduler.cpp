// Property-based tests of the entry scheduler: random schedules of submissions, lost, late,
// repeated and reordered messages, agent crashes and view changes must not violate an invariant.

#include "entryharness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace rc {

template<> struct Arbitrary<ScheduleStep>
{
    static Gen<ScheduleStep> arbitrary()
    {
        const auto any = gen::inRange<std::uint32_t>(0, 1U << 20U);
        return gen::build<ScheduleStep>(
                gen::set(&ScheduleStep::kind, gen::inRange<std::uint8_t>(0, 32)),
                gen::set(&ScheduleStep::a, any), gen::set(&ScheduleStep::b, any));
    }
};

} // namespace rc

namespace {

// Schedules of up to 2,000 steps, each with several behaviours of the agents; most failures need a
// request to be dispatched and given back first.
bool holds(Violation kind)
{
    return rc::check([kind]() {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps = *rc::gen::scale(20, rc::gen::arbitrary<std::vector<ScheduleStep>>());
        std::size_t dispatches = 0;
        for (std::uint64_t i = 0; i < 5; ++i) {
            EntryHarness harness(seed + i);
            harness.run(steps);
            for (const std::string &it : harness.violations(kind))
                RC_FAIL(it);
            dispatches += harness.dispatchCount();
        }
        RC_CLASSIFY(dispatches > 100, "more than 100 dispatches");
    });
}

} // namespace

TEST_CASE("a request is dispatched again only after its agent reported it as not run")
{
    CHECK(holds(Violation::DispatchedTwice));
}

TEST_CASE("every submitted request ends exactly once, by transitions of the request chart")
{
    CHECK(holds(Violation::Endings));
}

TEST_CASE("a refusal as not run is true")
{
    CHECK(holds(Violation::FalseNotRun));
}

TEST_CASE("nothing is dispatched to withdrawn zones, leaving servers or versions taken back")
{
    CHECK(holds(Violation::ForbiddenServer));
}

TEST_CASE("a higher tier is never shed before a lower one, nor an earlier deadline before a later")
{
    CHECK(holds(Violation::TierOrder));
}

TEST_CASE("second offers stay within the retry budget")
{
    CHECK(holds(Violation::RetryBudget));
}

TEST_CASE("an answer belongs to its request")
{
    CHECK(holds(Violation::MixedUp));
}

TEST_CASE("a tick leaves no timer that is due")
{
    CHECK(holds(Violation::Timer));
}
