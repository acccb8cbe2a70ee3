// Cap'n Proto encoding of admission messages.

#include "admissionmessages.h"

#include "datagramcodec.h"

#include "admission.capnp.h"

namespace cornelshed {

namespace {

using Builder = wire::AdmissionMessage::Builder;

void write(const SlotRequest &request, Builder root)
{
    root.setGateway(request.key.gateway);
    auto out = root.initAsk();
    out.setSequence(request.key.sequence);
    out.setOrder(request.order);
    out.setLeaveFree(request.reservedSlots);
    out.setSlots(request.slots);
    out.setColdRate(request.coldRate);
    out.setWaitMicros(request.timeout.count());
    out.setRestartStarts(request.coldRestartLimit);
    if (request.namedLimit) {
        out.setLimit(request.namedLimit->perSecond.value_or(-1));
        out.setLimitAgeMicros(request.namedLimit->age.count());
    }
}

void write(const SlotRelease &release, Builder root)
{
    root.setGateway(release.key.gateway);
    root.setRelease(release.key.sequence);
    root.setUnused(release.unused);
    root.setServerDown(release.serverDown);
}

void write(const SlotRenewal &renewal, Builder root)
{
    root.setGateway(renewal.gateway);
    auto out = root.initRunning(static_cast<unsigned>(renewal.sequences.size()));
    for (unsigned i = 0; i < out.size(); ++i)
        out.set(i, renewal.sequences[i]);
}

void write(const SlotGranted &granted, Builder root)
{
    root.setGateway(granted.key.gateway);
    root.setGranted(granted.key.sequence);
}

void write(const SlotQueued &queued, Builder root)
{
    root.setGateway(queued.key.gateway);
    auto out = root.initQueued();
    out.setSequence(queued.key.sequence);
    out.setAhead(queued.ahead);
    out.setServerDown(queued.serverDown);
}

void write(const AgentPresent &present, Builder root)
{
    root.setGateway(present.gateway);
    root.setPresent();
}

SlotRequest readSlotRequest(std::uint64_t gateway, wire::AdmissionAsk::Reader in)
{
    return {{gateway, in.getSequence()},
            in.getOrder(),
            in.getLeaveFree(),
            in.getSlots(),
            in.getColdRate(),
            Duration(in.getWaitMicros()),
            in.getRestartStarts(),
            decodeNamedLimit(in.getLimit(), in.getLimitAgeMicros())};
}

std::optional<AdmissionMessage> readMessage(wire::AdmissionMessage::Reader root)
{
    const std::uint64_t gateway = root.getGateway();
    switch (root.which()) {
    case wire::AdmissionMessage::ASK:
        return readSlotRequest(gateway, root.getAsk());
    case wire::AdmissionMessage::RELEASE:
        return SlotRelease {{gateway, root.getRelease()}, root.getUnused(), root.getServerDown()};
    case wire::AdmissionMessage::RUNNING: {
        const auto list = root.getRunning();
        SlotRenewal renewal {gateway, {}};
        for (const std::uint64_t it : list)
            renewal.sequences.push_back(it);
        return renewal;
    }
    case wire::AdmissionMessage::GRANTED:
        return SlotGranted {{gateway, root.getGranted()}};
    case wire::AdmissionMessage::QUEUED:
        return SlotQueued {{gateway, root.getQueued().getSequence()},
                           root.getQueued().getAhead(),
                           root.getQueued().getServerDown()};
    case wire::AdmissionMessage::PRESENT:
        return AgentPresent {gateway};
    }
    return std::nullopt;
}

} // namespace

std::string encodeAdmission(const AdmissionMessage &message)
{
    capnp::MallocMessageBuilder builder;
    std::visit([&](const auto &it) { write(it, builder.initRoot<wire::AdmissionMessage>()); },
               message);
    return detail::packDatagram(builder);
}

std::optional<AdmissionMessage> decodeAdmission(const std::string &datagram)
{
    std::optional<AdmissionMessage> message;
    const bool isMessage = detail::unpackDatagram(datagram, [&](capnp::MessageReader &reader) {
        message = readMessage(reader.getRoot<wire::AdmissionMessage>());
    });
    return isMessage ? message : std::nullopt;
}

} // namespace cornelshed
