// Keeps or tries to get a lease on a table row, without wall-clock time. The holder counts its term
// from before it sent the write that the table accepted, on its own clock, less a margin. Others
// take over when the row has not changed for the term plus the margin on their own clock. Clocks
// need equal rates within margin / term, not equal times.
//
// Example:
//     LeaseKeeper lease(chart, settings);
//     for (const LeaseAction &it : lease.tick(now))
//         carryOut(it); // answers come back through rowRead() and writeEnded()
//     if (lease.held(now))
//         stepForward(lease.fencing());

#ifndef CORNELSHED_LEASE_H
#define CORNELSHED_LEASE_H

#include "statechart.h"
#include "types.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

struct LeaseSettings
{
    std::string name;   // row lease/<name>
    std::string holder; // unique for each incarnation of a daemon
    Duration term = std::chrono::seconds(10);
    Duration margin = std::chrono::seconds(1);          // must be less than a third of the term
    Duration renewInterval = std::chrono::seconds(3);   // while held
    Duration observeInterval = std::chrono::seconds(2); // while another holds it

    bool operator==(const LeaseSettings &) const = default;
};

// Value of the table row. The fencing number grows with each new holder, the renewals with each
// write of the same holder.
struct LeaseRow
{
    std::uint64_t tableVersion = 0; // 0: the row is absent
    std::string holder;             // empty: released
    std::uint64_t fencing = 0;
    std::uint64_t renewals = 0;

    bool operator==(const LeaseRow &) const = default;
};

struct ReadLeaseRow
{
    std::string name;

    bool operator==(const ReadLeaseRow &) const = default;
};

// Write the row on condition that its table version is still the given one.
struct WriteLeaseRow
{
    std::string name;
    std::uint64_t expectedTableVersion = 0;
    LeaseRow row; // its tableVersion is meaningless

    bool operator==(const WriteLeaseRow &) const = default;
};

using LeaseAction = std::variant<ReadLeaseRow, WriteLeaseRow>;

enum class LeaseWriteResult { Written, Conflict, Unavailable, Unknown };

class LeaseKeeper
{
public:
    // chart is the state chart "lease".
    LeaseKeeper(StateChart chart, const LeaseSettings &settings);
    ~LeaseKeeper();
    LeaseKeeper(LeaseKeeper &&) noexcept;
    LeaseKeeper &operator=(LeaseKeeper &&) noexcept;

    // Returns what is due; at most one read or write is under way at a time.
    std::vector<LeaseAction> tick(Instant now);
    Instant nextWake() const;

    // Answer to ReadLeaseRow; nothing if the table could not be read.
    void rowRead(std::optional<LeaseRow> row, Instant now);

    // Answer to WriteLeaseRow. tableVersion is the new version if Written.
    void writeEnded(LeaseWriteResult result, std::uint64_t tableVersion, Instant now);

    // True while the term, counted on the own clock, is not over. Ask before each step: a process
    // that was paused finds its lease expired here.
    bool held(Instant now) const;

    // Fencing number of the present or last own term; 0 if there was none.
    std::uint64_t fencing() const;

    const std::string &state() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_LEASE_H
