// The row of the store that decides which gateway has the duties, and with it the usage counts that
// are fixed. One row serves all duties and subjects: one conditional write renews the lease and
// fixes the counts, so that only the holder can fix them.

#ifndef CORNELSHED_DUTYROW_H
#define CORNELSHED_DUTYROW_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelshed {

using UsageCounts = std::map<std::string, std::uint64_t>; // requests, by organisation

struct FixedWindow
{
    std::int64_t window = 0;
    UsageCounts counts;

    bool operator==(const FixedWindow &) const = default;
};

struct DutyProgress
{
    // First window of which the counts are not fixed. Earlier ones that are not pending have been
    // sent or given up.
    std::int64_t nextWindow = 0;
    std::vector<FixedWindow> pending; // in order of the windows

    bool operator==(const DutyProgress &) const = default;
};

struct DutyRow
{
    std::string holder; // name of the gateway
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;  // fencing token
    std::uint64_t era = 0;     // of the store, in which the number was acquired
    std::uint64_t renewal = 0; // number of the write, unique to the incarnation
    bool handedOver = false;   // the holder has stopped, and others need not wait
    DutyProgress progress;

    bool operator==(const DutyRow &) const = default;
};

} // namespace cornelshed

#endif // CORNELSHED_DUTYROW_H
