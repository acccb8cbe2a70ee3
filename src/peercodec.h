// Conversion between the decision library's configuration distribution messages and their Cap'n
// Proto form. Internal to the runtime.

#ifndef CORNELSHED_PEERCODEC_H
#define CORNELSHED_PEERCODEC_H

#include "configpropagation.h"

#include "peer.capnp.h"

#include <optional>

namespace cornelshed::detail {

void writePropagationMessage(const PropagationMessage &message,
                             wire::SpreadMessage::Builder builder);

// Returns std::nullopt if this version of the software does not know the kind of message.
std::optional<PropagationMessage> readPropagationMessage(wire::SpreadMessage::Reader reader);

} // namespace cornelshed::detail

#endif // CORNELSHED_PEERCODEC_H
