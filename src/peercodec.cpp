// Copies messages field by field. The size of a received message is not checked here: PeerNetwork
// limits it.

#include "peercodec.h"

namespace cornelshed::detail {

namespace {

capnp::Data::Reader toData(const std::string &text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

std::string toString(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

ConfigurationUpdate readUpdate(wire::SpreadUpdate::Reader reader)
{
    ConfigurationUpdate update;
    update.version = reader.getVersion();
    update.digest = reader.getDigest().cStr();
    update.baseVersion = reader.getBaseVersion();
    update.prefixBytes = reader.getPrefixBytes();
    update.suffixBytes = reader.getSuffixBytes();
    update.middle = toString(reader.getMiddle());
    return update;
}

void writeUpdate(const ConfigurationUpdate &update, wire::SpreadUpdate::Builder builder)
{
    builder.setVersion(update.version);
    builder.setDigest(update.digest);
    builder.setBaseVersion(update.baseVersion);
    builder.setPrefixBytes(update.prefixBytes);
    builder.setSuffixBytes(update.suffixBytes);
    builder.setMiddle(toData(update.middle));
}

} // namespace

void writePropagationMessage(const PropagationMessage &message,
                             wire::SpreadMessage::Builder builder)
{
    if (const auto *announce = std::get_if<VersionAnnouncement>(&message)) {
        auto announceBuilder = builder.initAnnounce();
        announceBuilder.setVersion(announce->version);
        announceBuilder.setReply(announce->reply);
        announceBuilder.setDigest(announce->digest);
    } else if (const auto *request = std::get_if<UpdateRequest>(&message)) {
        builder.setRequestBase(request->version);
    } else {
        writeUpdate(std::get<ConfigurationUpdate>(message), builder.initUpdate());
    }
}

std::optional<PropagationMessage> readPropagationMessage(wire::SpreadMessage::Reader reader)
{
    switch (reader.which()) {
    case wire::SpreadMessage::ANNOUNCE:
        return VersionAnnouncement {reader.getAnnounce().getVersion(),
                                    reader.getAnnounce().getReply(),
                                    reader.getAnnounce().getDigest().cStr()};
    case wire::SpreadMessage::REQUEST_BASE:
        return UpdateRequest {reader.getRequestBase()};
    case wire::SpreadMessage::UPDATE:
        return readUpdate(reader.getUpdate());
    }
    return std::nullopt;
}

} // namespace cornelshed::detail
