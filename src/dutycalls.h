// Interfaces of the duties of one gateway at a time: the calls to the platform and the row of the
// store as they are encoded, and the source of the calls that set the number of servers.

#ifndef CORNELSHED_DUTYCALLS_H
#define CORNELSHED_DUTYCALLS_H

#include "dutyrow.h"
#include "messages.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

// Who makes a call.
struct DutyHolder
{
    std::string name;
    std::uint64_t number = 0; // fencing token

    auto operator<=>(const DutyHolder &) const = default;
};

// Sets the number of servers of a service in a zone. Each service and zone is a subject of its own.
struct ScaleCall
{
    std::string service;
    std::string availabilityZone;
    std::uint32_t desired = 0;

    auto operator<=>(const ScaleCall &) const = default;
};

struct EncodedDutyCall
{
    std::string method;
    std::string path;
    Headers headers;
    std::string body;

    bool operator==(const EncodedDutyCall &) const = default;
};

class DutyCodec
{
public:
    virtual ~DutyCodec() = default;

    virtual EncodedDutyCall encodeUsage(const DutyHolder &holder,
                                        const FixedWindow &window) const = 0;
    virtual EncodedDutyCall encodeScale(const DutyHolder &holder, const ScaleCall &call) const = 0;

    // The row of the duties, which is the only one of its table.
    virtual std::string rowKey() const = 0;
    virtual std::string encodeRow(const DutyRow &row) const = 0;
    virtual std::optional<DutyRow> decodeRow(const std::string &value) const = 0;
};

// Decides the calls of the duty to set the numbers of servers. All calls are made on the control
// thread of the gateway, with the time since boot. A gateway that does not hold the duties asks for
// no calls.
class ScaleDuty
{
public:
    virtual ~ScaleDuty() = default;

    // This gateway has acquired the duties; what it sent earlier may have been replaced since.
    virtual void acquired(Duration now) = 0;

    // Returns the calls that are due. They are sent in this order, as far as the rate allows and
    // the lease lasts; calls that are not sent are dropped.
    virtual std::vector<ScaleCall> dueCalls(Duration now) = 0;

    // The platform has accepted the call, or it may be repeated.
    virtual void callEnded(const ScaleCall &call, bool accepted, Duration now) = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_DUTYCALLS_H
