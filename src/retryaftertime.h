// Computes the Retry-After time of a refusal. The load that filled the queue takes time to drain,
// and callers that all return at the same moment would find the queue full again. The time
// therefore lies within the time that the caller has left, is longer for callers with more time
// left, and is spread over the callers.

#ifndef CORNELSHED_RETRYAFTERTIME_H
#define CORNELSHED_RETRYAFTERTIME_H

#include "types.h"

#include <string_view>

namespace cornelshed {

// expected: time until the queue or the allowance is expected to have room. remaining: time left
// until the caller's deadline. The result is at least the expected time, except for callers with
// too little time left, and is never below a fixed minimum.
Duration retryAfterTime(Duration expected, Duration remaining, std::string_view requestId);

} // namespace cornelshed

#endif // CORNELSHED_RETRYAFTERTIME_H
