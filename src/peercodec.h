// Conversion between the decision library's spread messages and Cap'n Proto. Internal to the
// runtime.

#ifndef CORNELSHED_PEERCODEC_H
#define CORNELSHED_PEERCODEC_H

#include "configspread.h"

#include "peer.capnp.h"

#include <optional>

namespace cornelshed::detail {

void writeSpreadMessage(const SpreadMessage &message, wire::SpreadMessage::Builder builder);

// Nothing if the message is of a kind that this version does not know.
std::optional<SpreadMessage> readSpreadMessage(wire::SpreadMessage::Reader reader);

} // namespace cornelshed::detail

#endif // CORNELSHED_PEERCODEC_H
