// Rows of backend servers, and the grace period for rows that disappear in an outage.

#include "backendregistry.h"

#include <set>

namespace cornelshed {

void BackendRegistry::storeRecovered(Instant now)
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_graceEndsAt = now + m_registrationGracePeriod;
}

bool BackendRegistry::put(const BackendRecord &record, std::uint64_t version)
{
    const auto [it, added] = m_entries.try_emplace(record.id);
    const bool changed = added || it->second.record != record || it->second.removeAt;
    it->second.record = record;
    it->second.removeAt = std::nullopt;
    if (added)
        it->second.firstVersion = version;
    return changed;
}

bool BackendRegistry::removed(const std::string &id, Instant now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    // The outage does not explain why a row disappears outside the grace period, or after its
    // server announced that it is draining.
    if (now >= m_graceEndsAt || it->second.record.draining) {
        m_entries.erase(it);
        return true;
    }
    if (!it->second.removeAt)
        it->second.removeAt = m_graceEndsAt;
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
    std::vector<std::string> vanished;
    for (const auto &[id, entry] : m_entries) {
        if (!present.contains(id))
            vanished.push_back(id);
    }
    for (const std::string &id : vanished)
        removed(id, now);
}

bool BackendRegistry::expire(Instant now)
{
    return std::erase_if(
                   m_entries,
                   [&](const auto &it) { return it.second.removeAt && *it.second.removeAt <= now; })
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
