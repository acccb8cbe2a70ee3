// Runs scripted scenarios of the entry scheduler (test/scenarios/*.scenario). Each line is one
// event or one expectation; # starts a comment. All actions that an event causes must be expected,
// in any order, by the lines that follow it.
//
//     limits waiting=2 reservations=3     before the first event
//     server a zone=z1 version=v1         connects; optional incarnation=2
//     submit 1 tier=0 deadline=100        milliseconds from now; prefix=7: shared prompt
//     grant a 1 id=1                      from server a for request 1
//     reject a 1 queue_full
//     chunk a 1 / finished a 1 / failed a 1 / failed a 1 not_run
//     leaving a / lose a / gone 1 / shutdown
//     wait 20                             milliseconds, then a tick
//     view withdrawn=z1 leaving=a share=0.5 takenback=1
//     expect reserve 1 a                  also withdraw, dispatch, decline, cancel
//     expect answered 1                   also: not_run 1 REASON, unknown 1 REASON
//     expect report a ok                  also: late, failed

#ifndef CORNELSHED_TEST_SCENARIORUNNER_H
#define CORNELSHED_TEST_SCENARIORUNNER_H

#include <string>
#include <vector>

namespace cornelshed::testing {

// Returns one line for each expectation that was not met, action that was not expected, or line
// that was not understood.
std::vector<std::string> runScenario(const std::string &path);

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_SCENARIORUNNER_H
