// JSON form of the run ledger.

#include "runledger.h"

#include <boost/json.hpp>

namespace cornelshed::standins {

std::string RunLedger::toJson() const
{
    boost::json::array rows;
    for (const auto &[key, counts] : m_entries) {
        rows.push_back({{"idempotency_key", key.idempotencyKey},
                        {"request_id", key.requestId},
                        {"marker", key.marker},
                        {"count", counts.started},
                        {"finished", counts.finished},
                        {"failed", counts.failed},
                        {"cancelled", counts.cancelled},
                        {"resumed", counts.resumed}});
    }
    return boost::json::serialize(rows);
}

} // namespace cornelshed::standins
