// Run ledger: the file of recorded starts, and the JSON representation.

#include "runledger.h"

#include <boost/json.hpp>

namespace cornelshed::standins {

RunLedger::RunLedger(const std::string &fileName)
{
    if (fileName.empty())
        return;
    std::ifstream previousFile(fileName);
    LedgerKey key;
    while (std::getline(previousFile, key.idempotencyKey, '\t')
           && std::getline(previousFile, key.requestId, '\t')
           && std::getline(previousFile, key.marker))
        m_entries[key].started += 1;
    m_file.open(fileName, std::ios::app);
}

LedgerCounts &RunLedger::recordStart(const LedgerKey &key)
{
    if (m_file.is_open())
        m_file << key.idempotencyKey << '\t' << key.requestId << '\t' << key.marker << std::endl;
    LedgerCounts &counts = m_entries[key];
    counts.started += 1;
    return counts;
}

std::string RunLedger::toJson() const
{
    boost::json::array entries;
    for (const auto &[key, counts] : m_entries) {
        entries.push_back({{"idempotency_key", key.idempotencyKey},
                           {"request_id", key.requestId},
                           {"marker", key.marker},
                           {"count", counts.started},
                           {"finished", counts.finished},
                           {"failed", counts.failed},
                           {"cancelled", counts.cancelled},
                           {"resumed", counts.resumed}});
    }
    return boost::json::serialize(entries);
}

} // namespace cornelshed::standins
