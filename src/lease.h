// Acquires and renews a lease on a table row without relying on wall-clock time. On its own clock,
// the holder regards the lease as expired when the term less a margin has passed since it sent the
// last write that the table accepted. Another candidate takes over when, on its own clock, the row
// has not changed for the term plus the margin. The clocks need not be synchronised; their rates
// must agree within margin / term.
//
// Example:
//     LeaseKeeper lease(chart, settings);
//     for (const LeaseAction &it : lease.tick(now))
//         execute(it); // results are passed to rowRead() and writeEnded()
//     if (lease.held(now))
//         doNextStep(lease.fencing());

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
    std::string name;   // the table row is lease/<name>
    std::string holder; // own identity, unique to each incarnation of a daemon
    Duration term = std::chrono::seconds(10);
    Duration margin = std::chrono::seconds(1);        // must be less than a third of the term
    Duration renewInterval = std::chrono::seconds(3); // between writes while held
    Duration pollInterval = std::chrono::seconds(2);  // between reads while another holds it

    bool operator==(const LeaseSettings &) const = default;
};

// Value of the table row. The fencing number increases with each new holder, the number of renewals
// with each further write of the same holder.
struct LeaseRow
{
    std::uint64_t tableVersion = 0; // 0 if the row is absent
    std::string holder;             // empty if the lease was released
    std::uint64_t fencing = 0;
    std::uint64_t renewals = 0;

    bool operator==(const LeaseRow &) const = default;
};

struct ReadLeaseRow
{
    std::string name;

    bool operator==(const ReadLeaseRow &) const = default;
};

// Writes the row on condition that its table version is still the given one.
struct WriteLeaseRow
{
    std::string name;
    std::uint64_t expectedTableVersion = 0;
    LeaseRow row; // its tableVersion is ignored

    bool operator==(const WriteLeaseRow &) const = default;
};

using LeaseAction = std::variant<ReadLeaseRow, WriteLeaseRow>;

enum class LeaseWriteResult { Written, Conflict, Unavailable, Unknown };

class LeaseKeeper
{
public:
    // chart must be the state chart "lease".
    LeaseKeeper(StateChart chart, const LeaseSettings &settings);
    ~LeaseKeeper();
    LeaseKeeper(LeaseKeeper &&) noexcept;
    LeaseKeeper &operator=(LeaseKeeper &&) noexcept;

    // Returns the actions that are due. At most one read or write is in progress at a time.
    std::vector<LeaseAction> tick(Instant now);
    Instant nextWakeTime() const;

    // Passes the result of ReadLeaseRow; nullopt if the table could not be read.
    void rowRead(std::optional<LeaseRow> row, Instant now);

    // Passes the result of WriteLeaseRow. tableVersion is the row's new version if it is Written.
    void writeEnded(LeaseWriteResult result, std::uint64_t tableVersion, Instant now);

    // Returns whether this candidate holds the lease and its term has not expired on its own clock.
    // Call this before each protected step, since the lease may have expired while the process was
    // paused.
    bool held(Instant now) const;

    // Returns the fencing number of the current or last own term, or 0 if there was none.
    std::uint64_t fencing() const;

    const std::string &state() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_LEASE_H
