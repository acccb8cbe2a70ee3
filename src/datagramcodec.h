// Cap'n Proto messages as datagrams, in the packed form. Internal to the runtime.

#ifndef CORNELSHED_DATAGRAMCODEC_H
#define CORNELSHED_DATAGRAMCODEC_H

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <string>

namespace cornelshed::detail {

inline std::string packDatagram(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

// Calls read with the message; false if the datagram is not one.
template<typename Read> bool unpackDatagram(const std::string &datagram, Read read)
{
    const auto problem = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(datagram.data()), datagram.size()));
        capnp::PackedMessageReader message(in);
        read(message);
    });
    return problem == nullptr;
}

} // namespace cornelshed::detail

#endif // CORNELSHED_DATAGRAMCODEC_H
