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

bool BackendRegistry::put(const BackendRecord &record)
{
    const auto [it, added] = m_entries.try_emplace(record.id);
    const bool changed = added || it->second.record != record || it->second.dropAt;
    it->second = {record, std::nullopt};
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

void BackendRegistry::replaceAll(const std::vector<BackendRecord> &records, Instant now)
{
    std::set<std::string> present;
    for (const BackendRecord &it : records) {
        put(it);
        present.insert(it.id);
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
    std::vector<BackendRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

} // namespace cornelshed
