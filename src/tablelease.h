// Performs the table reads and writes that a LeaseKeeper asks for. Used by parts of the control
// thread whose actions only one entry daemon may perform at a time, such as steps of a rollout.

#ifndef CORNELSHED_TABLELEASE_H
#define CORNELSHED_TABLELEASE_H

#include "controlpart.h"
#include "lease.h"

#include <memory>

namespace cornelshed {

class TableLease
{
public:
    // host must outlive this object and all its table calls.
    TableLease(ControlPartHost &host, StateChart chart, const LeaseSettings &settings);
    ~TableLease();
    TableLease(const TableLease &) = delete;
    TableLease &operator=(const TableLease &) = delete;

    void wake(Instant now);
    Instant nextWakeTime() const;

    bool held(Instant now) const;
    std::uint64_t fencing() const;

private:
    class Private;
    std::shared_ptr<Private> d; // callbacks of pending table calls hold weak references
};

} // namespace cornelshed

#endif // CORNELSHED_TABLELEASE_H
