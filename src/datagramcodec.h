// Encodes Cap'n Proto messages as datagrams, in the packed format. Internal to the runtime.

#ifndef CORNELSHED_DATAGRAMCODEC_H
#define CORNELSHED_DATAGRAMCODEC_H

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstdint>
#include <string>

namespace cornelshed::detail {

inline std::string packDatagram(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

// Memory of an unpacked message, and what may be read of it. A datagram has at most 64 KiB, and the
// reports of gateways unpack to less than eight times their size. Without the limit, a datagram of
// a few bytes could make the reader allocate 64 MiB.
constexpr std::uint64_t unpackedLimitBytes = std::uint64_t {1} << 20U;

// Calls onMessage with the message. Returns false if the datagram is malformed, also if that
// becomes apparent only while onMessage reads it. rest, unless null: gets the bytes that follow the
// message.
template<typename MessageCallback>
bool unpackDatagram(const std::string &datagram, MessageCallback onMessage,
                    std::string *rest = nullptr)
{
    const auto exception = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(datagram.data()), datagram.size()));
        {
            capnp::ReaderOptions options;
            options.traversalLimitInWords = unpackedLimitBytes / sizeof(capnp::word);
            capnp::PackedMessageReader message(in, options);
            onMessage(message);
        }
        if (rest == nullptr)
            return;
        const auto bytes = in.tryGetReadBuffer();
        rest->assign(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
    });
    return exception == nullptr;
}

} // namespace cornelshed::detail

#endif // CORNELSHED_DATAGRAMCODEC_H
