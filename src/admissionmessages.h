// Datagrams between gateways and admission agents, and their encoding.

#ifndef CORNELSHED_ADMISSIONMESSAGES_H
#define CORNELSHED_ADMISSIONMESSAGES_H

#include "slotledger.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

// --- gateway to agent ---

// A SlotAsk, see slotledger.h.

struct SlotRelease
{
    SlotKey key;

    auto operator<=>(const SlotRelease &) const = default;
};

struct SlotRenewal
{
    std::uint64_t gateway = 0;
    std::vector<std::uint64_t> sequences; // all that run there; empty to find out about an agent

    bool operator==(const SlotRenewal &) const = default;
};

// --- agent to gateway ---

struct SlotGranted
{
    SlotKey key;

    auto operator<=>(const SlotGranted &) const = default;
};

struct SlotQueued
{
    SlotKey key;
    std::uint32_t ahead = 0;

    auto operator<=>(const SlotQueued &) const = default;
};

struct AgentPresent
{
    std::uint64_t gateway = 0; // that it answers

    auto operator<=>(const AgentPresent &) const = default;
};

using AdmissionMessage =
        std::variant<SlotAsk, SlotRelease, SlotRenewal, SlotGranted, SlotQueued, AgentPresent>;

std::string encodeAdmission(const AdmissionMessage &message);

// Nothing if the datagram is not such a message.
std::optional<AdmissionMessage> decodeAdmission(const std::string &datagram);

} // namespace cornelshed

#endif // CORNELSHED_ADMISSIONMESSAGES_H
