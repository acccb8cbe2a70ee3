// Backend servers as listed by their rows in the platform's registry. Rows that disappear while the
// store cannot be read may have expired only because of the outage. They are kept for a grace
// period after the store is available again, in which running servers register again. Of several
// rows with the same address, only that of the server that started last counts; the others were
// left behind by servers that no longer run.
//
// When the store returns from an older copy of itself, rows of that copy may be missing or outdated
// until their servers write them again. Missing ones are kept for the grace period. A row that
// takes back the draining or the removal of its server counts only once it has been written again.

#ifndef CORNELSHED_BACKENDREGISTRY_H
#define CORNELSHED_BACKENDREGISTRY_H

#include "backendrecord.h"
#include "rowstore.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed {

class BackendRegistry
{
public:
    // registrationGracePeriod: how long after an outage disappeared rows are kept.
    explicit BackendRegistry(Duration registrationGracePeriod)
        : m_registrationGracePeriod(registrationGracePeriod)
    { }

    void storeLost() { m_storeLost = true; }
    void storeRecovered(Instant now);

    void storeReturned(Instant now) { m_graceEndsAt = now + m_registrationGracePeriod; }

    // Adds or updates a row, with its position as read from the store. Returns true if the list of
    // backend servers may have changed.
    bool put(const BackendRecord &record, const StorePosition &position, Instant now);
    bool removed(const std::string &id, const StorePosition &position, Instant now);

    // Takes over the result of reading the whole table up to the position; rows that it lacks are
    // removed.
    void replaceAll(const std::vector<std::pair<BackendRecord, StorePosition>> &records,
                    const StorePosition &position, Instant now);

    // Removes rows whose grace period is over; returns true if there were any.
    bool expire(Instant now);

    std::vector<BackendRecord> list() const;

private:
    struct Entry
    {
        BackendRecord record;
        StorePosition firstPosition;     // of the row when it first appeared
        std::optional<Instant> removeAt; // set while a disappeared row is kept
    };

    // The draining or removal of a server that was read.
    struct Departure
    {
        std::int64_t startedAtMs = 0; // of the server
        StorePosition position;
        Instant at {};
        // Position of the row that contradicts it when it was first read in a later era.
        std::optional<StorePosition> outdatedRow;
    };

    void recordDeparture(const BackendRecord &record, const StorePosition &position, Instant now);
    bool isOutdated(const BackendRecord &record, const StorePosition &position);

    std::map<std::string, Entry> m_entries;        // by id
    std::map<std::string, Departure> m_departures; // by id
    Duration m_registrationGracePeriod;
    Instant m_graceEndsAt = Instant::min();
    bool m_storeLost = false;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDREGISTRY_H
