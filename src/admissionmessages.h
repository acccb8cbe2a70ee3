// Messages that gateways and admission agents exchange as UDP datagrams, and their encoding (see
// schema/admission.capnp). Any message may be lost or repeated.

#ifndef CORNELSHED_ADMISSIONMESSAGES_H
#define CORNELSHED_ADMISSIONMESSAGES_H

#include "slotallocator.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

// --- gateway to agent ---

// SlotRequest, the request for a slot, is declared in slotallocator.h.

// The request no longer needs a slot: it has ended, or no longer waits for one here.
struct SlotRelease
{
    SlotKey key;
    bool unused = false;     // it was not sent to the backend server
    bool serverDown = false; // because nothing listens at the address of the backend server

    auto operator<=>(const SlotRelease &) const = default;
};

// Renews the leases of a gateway's running requests. The agent answers with AgentPresent.
struct SlotRenewal
{
    std::uint64_t gateway = 0;            // incarnation of the sending gateway
    std::vector<std::uint64_t> sequences; // all running there; empty to detect an agent

    bool operator==(const SlotRenewal &) const = default;
};

// --- agent to gateway ---

// The request may start at the backend server.
struct SlotGranted
{
    SlotKey key;

    auto operator<=>(const SlotGranted &) const = default;
};

// The request has to wait for a slot.
struct SlotQueued
{
    SlotKey key;
    std::uint32_t ahead = 0; // number of requests in the queue before it
    bool serverDown = false; // nothing listens at the address of the backend server

    auto operator<=>(const SlotQueued &) const = default;
};

// Answer to a renewal: shows the gateway that this host runs an agent.
struct AgentPresent
{
    std::uint64_t gateway = 0; // incarnation of the addressed gateway

    auto operator<=>(const AgentPresent &) const = default;
};

using AdmissionMessage =
        std::variant<SlotRequest, SlotRelease, SlotRenewal, SlotGranted, SlotQueued, AgentPresent>;

std::string encodeAdmission(const AdmissionMessage &message);

// nullopt if the datagram is not a valid admission message.
std::optional<AdmissionMessage> decodeAdmission(const std::string &datagram);

} // namespace cornelshed

#endif // CORNELSHED_ADMISSIONMESSAGES_H
