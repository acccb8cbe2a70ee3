// Backend servers as listed by their rows in the platform's registry. Rows that disappear while the
// store cannot be read may have expired only because of the outage. They are kept for a grace
// period after the store is available again, in which running servers register again. Of several
// rows with the same address, only that of the server that started last counts; the others were
// left behind by servers that no longer run.

#ifndef CORNELSHED_BACKENDREGISTRY_H
#define CORNELSHED_BACKENDREGISTRY_H

#include "backendrecord.h"
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

    // Adds or updates a row, with the version read from the store. Returns true if the list of
    // backend servers may have changed.
    bool put(const BackendRecord &record, std::uint64_t version);
    bool removed(const std::string &id, Instant now);

    // Takes over the result of reading the whole table; rows that it lacks are removed.
    void replaceAll(const std::vector<std::pair<BackendRecord, std::uint64_t>> &records,
                    Instant now);

    // Removes rows whose grace period is over; returns true if there were any.
    bool expire(Instant now);

    std::vector<BackendRecord> list() const;

private:
    struct Entry
    {
        BackendRecord record;
        std::uint64_t firstVersion = 0;  // of the row when it first appeared
        std::optional<Instant> removeAt; // set while a disappeared row is kept
    };

    std::map<std::string, Entry> m_entries; // by id
    Duration m_registrationGracePeriod;
    Instant m_graceEndsAt = Instant::min();
    bool m_storeLost = false;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDREGISTRY_H
