// Carries out a LeaseKeeper's actions on the platform's table. Used by the parts of the control
// thread that drive moves.

#ifndef CORNELSHED_TABLELEASE_H
#define CORNELSHED_TABLELEASE_H

#include "controlpart.h"
#include "lease.h"

#include <memory>

namespace cornelshed {

class TableLease
{
public:
    // host outlives this and all its table calls.
    TableLease(ControlPartHost &host, StateChart chart, const LeaseSettings &settings);
    ~TableLease();
    TableLease(const TableLease &) = delete;
    TableLease &operator=(const TableLease &) = delete;

    void wake(Instant now);
    Instant nextWake() const;

    bool held(Instant now) const;
    std::uint64_t fencing() const;

private:
    class Private;
    std::shared_ptr<Private> d; // shared with callbacks under way
};

} // namespace cornelshed

#endif // CORNELSHED_TABLELEASE_H
