// Backend servers by their rows in the platform's registry. Rows that vanish while the store cannot
// be read may have lapsed because of the outage alone: they are kept for a grace time after the
// store is back, in which living servers register again. Of several rows with one
// address, only that of the server that started last counts: the others are left behind by servers
// that are gone.

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
    // lapseGrace: how long after an outage a vanished row is kept.
    explicit BackendRegistry(Duration lapseGrace) : m_lapseGrace(lapseGrace) { }

    void storeLost() { m_storeLost = true; }
    void storeRegained(Instant now);

    // A row as last read, with its version. Returns true if usable servers may have changed.
    bool put(const BackendRecord &record, std::uint64_t version);
    bool removed(const std::string &id, Instant now);

    // All rows of a whole read; others are removed.
    void replaceAll(const std::vector<std::pair<BackendRecord, std::uint64_t>> &records,
                    Instant now);

    // Drops rows whose grace is over; true if any was.
    bool expire(Instant now);

    std::vector<BackendRecord> list() const;

private:
    struct Entry
    {
        BackendRecord record;
        std::uint64_t firstVersion = 0; // of the row when it appeared
        std::optional<Instant> dropAt;  // set once the row has vanished
    };

    std::map<std::string, Entry> m_entries; // by id
    Duration m_lapseGrace;
    Instant m_graceUntil = Instant::min();
    bool m_storeLost = false;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDREGISTRY_H
