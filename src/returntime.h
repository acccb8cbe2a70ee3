// When a refused caller should come back. The load that filled the queue takes time to pass, and
// callers that all return at the same moment meet the next full queue: so a refusal names a time
// within what the caller has left, later for those with more time, and spread over the callers.

#ifndef CORNELSHED_RETURNTIME_H
#define CORNELSHED_RETURNTIME_H

#include "types.h"

#include <string_view>

namespace cornelshed {

// expected: when a place is expected by the queue or the allowance. remaining: what the caller's
// time limit leaves. The result is at least the expected time, but for callers that have less left.
Duration returnTime(Duration expected, Duration remaining, std::string_view requestId);

} // namespace cornelshed

#endif // CORNELSHED_RETURNTIME_H
