// Settings of the direct scheduler.

#ifndef CORNELSHED_DIRECTSETTINGS_H
#define CORNELSHED_DIRECTSETTINGS_H

#include "promptcache.h"
#include "types.h"

#include <cstddef>
#include <string>

namespace cornelshed {

struct DirectSettings
{
    std::string availabilityZone;         // of this gateway
    double promptTokensPerSecond = 38000; // prefill speed of a typical backend server
    double coldOver = 1.5;   // a cold backend server sustains this multiple of its rate
    double coldConstant = 5; // plus this many requests per second
    bool agents = false;     // admission agents also grant slots, up to the cold rate
    // Agents that are asked for a slot for a request: at first, and at most. Each costs messages
    // and processor time.
    std::size_t initialSlotRequests = 3;
    std::size_t slotRequestLimit = 8;
    // Once a request has waited for this time, less urgent ones of the same gateway and group of
    // organisations request no slots: at an agent that it has not asked, they would get one before
    // it, and may hold it for many times its objective. 0: they always do.
    Duration yieldAfter {};
    // Share of the time that a request may still wait which it may spend in the queue of a backend
    // server without an agent. 0: no request waits there.
    double serverQueueShare = 0;
    // Cost of another availability zone, expressed as time: a round trip and the charged traffic.
    Duration crossZoneCost = std::chrono::milliseconds(4);
    PromptCacheSettings promptCache {};

    bool operator==(const DirectSettings &) const = default;
};

} // namespace cornelshed

#endif // CORNELSHED_DIRECTSETTINGS_H
