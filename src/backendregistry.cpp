// Rows of backend servers and the grace after an outage.

#include "backendregistry.h"

#include <set>

namespace cornelshed {

void BackendRegistry::storeRegained(Instant now)
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_graceUntil = now + m_lapseGrace;
}

bool BackendRegistry::put(const BackendRecord &record, std::uint64_t version)
{
    const auto [it, added] = m_entries.try_emplace(record.id);
    const bool changed = added || it->second.record != record || it->second.dropAt;
    it->second.record = record;
    it->second.dropAt = std::nullopt;
    if (added)
        it->second.firstVersion = version;
    return changed;
}

bool BackendRegistry::removed(const std::string &id, Instant now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    // A server that said that it leaves has left.
    if (now >= m_graceUntil || it->second.record.draining) {
        m_entries.erase(it);
        return true;
    }
    if (!it->second.dropAt)
        it->second.dropAt = m_graceUntil;
    return false;
}

void BackendRegistry::replaceAll(
        const std::vector<std::pair<BackendRecord, std::uint64_t>> &records, Instant now)
{
    std::set<std::string> present;
    for (const auto &[record, version] : records) {
        put(record, version);
        present.insert(record.id);
    }
    std::vector<std::string> gone;
    for (const auto &[id, entry] : m_entries) {
        if (!present.contains(id))
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        removed(id, now);
}

bool BackendRegistry::expire(Instant now)
{
    return std::erase_if(
                   m_entries,
                   [&](const auto &it) { return it.second.dropAt && *it.second.dropAt <= now; })
            > 0;
}

std::vector<BackendRecord> BackendRegistry::list() const
{
    using Address = std::pair<std::string, std::uint16_t>;
    const auto startedAfter = [](const Entry &a, const Entry &b) {
        return std::pair(a.record.startedAtMs, a.firstVersion)
                > std::pair(b.record.startedAtMs, b.firstVersion);
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
