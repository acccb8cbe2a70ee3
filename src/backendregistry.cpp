// Rows of backend servers, and the grace period for rows that disappear in an outage.

#include "backendregistry.h"

#include <set>

namespace cornelshed {

namespace {

// How long the removal of a server is remembered; copies from which the store returns are younger.
constexpr Duration departureMemory = std::chrono::minutes(5);

} // namespace

void BackendRegistry::storeRecovered(Instant now)
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_graceEndsAt = now + m_registrationGracePeriod;
}

bool BackendRegistry::put(const BackendRecord &record, const StorePosition &position, Instant now)
{
    const bool outdated = !record.draining && isOutdated(record, position);
    if (outdated && !m_entries.contains(record.id))
        return false;
    BackendRecord effective = record;
    effective.draining = record.draining || outdated;
    if (record.draining)
        recordDeparture(record, position, now);
    else if (!outdated)
        m_departures.erase(record.id);
    const auto [it, added] = m_entries.try_emplace(record.id);
    const bool changed = added || it->second.record != effective || it->second.removeAt;
    it->second.record = std::move(effective);
    it->second.removeAt = std::nullopt;
    if (added)
        it->second.firstPosition = position;
    return changed;
}

void BackendRegistry::recordDeparture(const BackendRecord &record, const StorePosition &position,
                                      Instant now)
{
    m_departures[record.id] = {record.startedAtMs, position, now, std::nullopt};
}

// Returns whether the row comes from a copy that is older than the departure of its server.
bool BackendRegistry::isOutdated(const BackendRecord &record, const StorePosition &position)
{
    const auto it = m_departures.find(record.id);
    if (it == m_departures.end() || it->second.startedAtMs != record.startedAtMs
        || position.era <= it->second.position.era)
        return false;
    auto &row = it->second.outdatedRow;
    if (!row || row->era != position.era)
        row = position;
    return position == *row;
}

bool BackendRegistry::removed(const std::string &id, const StorePosition &position, Instant now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    // The outage does not explain why a row disappears outside the grace period, or after its
    // server announced that it is draining.
    if (now >= m_graceEndsAt || it->second.record.draining) {
        recordDeparture(it->second.record, position, now);
        m_entries.erase(it);
        return true;
    }
    if (!it->second.removeAt)
        it->second.removeAt = m_graceEndsAt;
    return false;
}

void BackendRegistry::replaceAll(
        const std::vector<std::pair<BackendRecord, StorePosition>> &records,
        const StorePosition &position, Instant now)
{
    std::set<std::string> present;
    for (const auto &[record, rowPosition] : records) {
        put(record, rowPosition, now);
        present.insert(record.id);
    }
    std::vector<std::string> vanished;
    for (const auto &[id, entry] : m_entries) {
        if (!present.contains(id))
            vanished.push_back(id);
    }
    for (const std::string &id : vanished)
        removed(id, position, now);
}

bool BackendRegistry::expire(Instant now)
{
    std::erase_if(m_departures, [&](const auto &it) {
        return now - it.second.at > departureMemory && !m_entries.contains(it.first);
    });
    return std::erase_if(
                   m_entries,
                   [&](const auto &it) { return it.second.removeAt && *it.second.removeAt <= now; })
            > 0;
}

std::vector<BackendRecord> BackendRegistry::list() const
{
    using Address = std::pair<std::string, std::uint16_t>;
    const auto startedAfter = [](const Entry &a, const Entry &b) {
        return std::pair(a.record.startedAtMs, a.firstPosition)
                > std::pair(b.record.startedAtMs, b.firstPosition);
    };
    std::map<Address, const Entry *> latest;
    for (const auto &[id, entry] : m_entries) {
        const Entry *&present = latest[{entry.record.address, entry.record.port}];
        if (present == nullptr || startedAfter(entry, *present))
            present = &entry;
    }
    std::vector<BackendRecord> records;
    records.reserve(latest.size());
    for (const auto &[address, entry] : latest)
        records.push_back(entry->record);
    return records;
}

} // namespace cornelshed
