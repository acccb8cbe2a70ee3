// Encodes and decodes the messages between entry daemons and agents in the Cap'n Proto format of
// schema/wire.capnp. Decoding never throws: any input from a peer yields a message or a
// WireError.

#ifndef CORNELSHED_WIRECODEC_H
#define CORNELSHED_WIRECODEC_H

#include "messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelshed {

struct WireError
{
    std::string message;

    bool operator==(const WireError &) const = default;
};

struct WireLimits
{
    std::size_t frameLimitBytes = std::size_t {16} << 20U;
    int nestingLimit = 16; // the schema uses four levels

    bool operator==(const WireLimits &) const = default;
};

// Each message is preceded by its length in little-endian order.
constexpr std::size_t frameHeaderBytes = 4;

// Return a complete frame: header and message.
std::string encodeFrame(const EntryMessage &message);
std::string encodeFrame(const AgentMessage &message);

// Returns the length of the message that follows the header. header holds at least frameHeaderBytes
// bytes.
std::size_t messageLength(std::string_view header);

// Decode the message of a frame; bytes excludes the frame header.
Result<EntryMessage, WireError> decodeEntryMessage(std::string_view bytes,
                                                   const WireLimits &limits);
Result<AgentMessage, WireError> decodeAgentMessage(std::string_view bytes,
                                                   const WireLimits &limits);

} // namespace cornelshed

#endif // CORNELSHED_WIRECODEC_H
