// Dense index of a connected backend server. Per-server state is kept in arrays indexed by slot, so
// that scheduling decisions need no hash look-ups by name. The slot of a removed server is reused
// once every module has dropped its state for it.

#ifndef CORNELSHED_SERVERSLOT_H
#define CORNELSHED_SERVERSLOT_H

#include <cstdint>

namespace cornelshed {

using ServerSlot = std::uint32_t;

constexpr ServerSlot noServerSlot = UINT32_MAX;

} // namespace cornelshed

#endif // CORNELSHED_SERVERSLOT_H
