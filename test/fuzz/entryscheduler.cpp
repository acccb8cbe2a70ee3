// Property-based tests of the entry scheduler: its invariants must hold under random schedules of
// submissions, lost, delayed, duplicate and reordered messages, agent crashes and changes of the
// routing view.

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

// Runs schedules of up to 2,000 steps, since most failures need a request to be dispatched and
// reported as not run first. Each schedule runs with several seeds for the agents' behaviour.
bool holdsForRandomSchedules(Violation kind)
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
    CHECK(holdsForRandomSchedules(Violation::DispatchedTwice));
}

TEST_CASE("every submitted request ends exactly once, by transitions of the request chart")
{
    CHECK(holdsForRandomSchedules(Violation::Endings));
}

TEST_CASE("a request that ends as not run has not run")
{
    CHECK(holdsForRandomSchedules(Violation::FalseNotRun));
}

TEST_CASE("nothing is dispatched to withdrawn zones, leaving servers or rolled back versions")
{
    CHECK(holdsForRandomSchedules(Violation::ForbiddenServer));
}

TEST_CASE("a higher tier is never shed before a lower one, nor an earlier deadline before a later")
{
    CHECK(holdsForRandomSchedules(Violation::TierOrder));
}

TEST_CASE("retries stay within the retry budget")
{
    CHECK(holdsForRandomSchedules(Violation::RetryBudget));
}

TEST_CASE("a request gets no other request's answer")
{
    CHECK(holdsForRandomSchedules(Violation::MixedUp));
}

TEST_CASE("no timer is due after a tick")
{
    CHECK(holdsForRandomSchedules(Violation::Timer));
}
