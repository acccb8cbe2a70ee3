// Dense number of a connected backend server, used to index arrays on the decision path instead of
// hashing names. The owner of the slots reuses a number after it told every module to forget it.

#ifndef CORNELSHED_SERVERSLOT_H
#define CORNELSHED_SERVERSLOT_H

#include <cstdint>

namespace cornelshed {

using ServerSlot = std::uint32_t;

constexpr ServerSlot noServerSlot = UINT32_MAX;

} // namespace cornelshed

#endif // CORNELSHED_SERVERSLOT_H
