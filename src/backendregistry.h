// Backend servers by their rows in the platform's registry. Rows that vanish while the store cannot
// be read may have lapsed because of the outage alone: they are kept for a grace time after the
// store is back, in which living servers register again.

#ifndef CORNELSHED_BACKENDREGISTRY_H
#define CORNELSHED_BACKENDREGISTRY_H

#include "backendrecord.h"
#include "types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

class BackendRegistry
{
public:
    // lapseGrace: how long after an outage a vanished row is kept.
    explicit BackendRegistry(Duration lapseGrace) : m_lapseGrace(lapseGrace) { }

    void storeLost() { m_storeLost = true; }
    void storeRegained(Instant now);

    // A row as last read. Returns true if usable servers may have changed.
    bool put(const BackendRecord &record);
    bool removed(const std::string &id, Instant now);

    // All rows of a whole read; others are removed.
    void replaceAll(const std::vector<BackendRecord> &records, Instant now);

    // Drops rows whose grace is over; true if any was.
    bool expire(Instant now);

    std::vector<BackendRecord> list() const;

private:
    struct Entry
    {
        BackendRecord record;
        std::optional<Instant> dropAt; // set once the row has vanished
    };

    std::map<std::string, Entry> m_entries; // by id
    Duration m_lapseGrace;
    Instant m_graceUntil = Instant::min();
    bool m_storeLost = false;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDREGISTRY_H
