// A backend server's record in the platform's registry, as the backend server reports itself.

#ifndef CORNELSHED_BACKENDRECORD_H
#define CORNELSHED_BACKENDRECORD_H

#include "types.h"

#include <cstdint>
#include <string>

namespace cornelshed {

struct BackendRecord
{
    std::string id; // a replacement usually has a different one
    std::string service;
    std::string address; // IP address
    std::uint16_t port = 0;
    std::string availabilityZone;
    std::string version;
    std::uint32_t slots = 1; // requests that it runs concurrently
    bool draining = false;
    Duration coldRemaining {};    // remaining warm-up time when the record was written
    std::int64_t startedAtMs = 0; // Unix time; a new value under the same id is a new incarnation

    bool operator==(const BackendRecord &) const = default;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDRECORD_H
