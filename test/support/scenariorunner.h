// Runs scripted scenarios of the entry scheduler (test/scenarios/*.scenario). Each line is one
// event or one expectation; # starts a comment. The expect lines after an event must name every
// action that the event causes, in any order.
//
//     limits waiting=2 reservations=3     must precede all events; optional retries=16
//     server a zone=z1 version=v1         server a connects; optional incarnation=2,
//                                         decode=50: its tokens per second
//     submit 1 tier=0 deadline=100        deadline in milliseconds from now; optional route=/r,
//                                         prefix=7: hash of a prompt prefix shared by requests
//     grant a 1 id=1                      from server a for request 1; optional total=MS
//     reject a 1 queue_full
//     chunk a 1 / finished a 1 / failed a 1 / failed a 1 not_run
//     leaving a                           server a announces its shutdown
//     lose a                              the session with server a is lost
//     gone 1                              the caller of request 1 disconnects
//     shutdown                            the entry daemon begins to shut down
//     wait 20                             advances the clock by 20 ms, then calls tick()
//     view withdrawn=z1 leaving=a share=0.5 takenback=1
//                                         replaces the routing view: withdrawn zone, leaving host,
//                                         share of version v2, whether v2 was rolled back
//     expect reserve 1 a                  message to server a for request 1; also withdraw,
//                                         dispatch, decline, cancel
//     expect answered 1                   also: not_run 1 REASON, unknown 1 REASON
//     expect report a ok                  reported outcome of server a; also: late, failed

#ifndef CORNELSHED_TEST_SCENARIORUNNER_H
#define CORNELSHED_TEST_SCENARIORUNNER_H

#include <string>
#include <vector>

namespace cornelshed::testing {

// Returns one description for each expectation that was not met, each unexpected action and each
// unknown event. An empty file is a problem too.
std::vector<std::string> runScenario(const std::string &path);

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_SCENARIORUNNER_H
