// Settings of the direct scheduler.

#ifndef CORNELSHED_DIRECTSETTINGS_H
#define CORNELSHED_DIRECTSETTINGS_H

#include <string>

namespace cornelshed {

struct DirectSettings
{
    std::string availabilityZone;         // of this gateway
    double promptTokensPerSecond = 38000; // prefill speed of a typical backend server
    double coldOver = 1.5;   // a cold backend server sustains this multiple of its rate
    double coldConstant = 5; // plus this many requests per second
    bool agents = false;     // admission agents also grant slots, up to the cold rate

    bool operator==(const DirectSettings &) const = default;
};

} // namespace cornelshed

#endif // CORNELSHED_DIRECTSETTINGS_H
