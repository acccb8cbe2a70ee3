// Parsing of endpoints and blocking reads of GET /ledger.

#include "ledgers.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace cornelshed::load {

using standins::HttpEndpoint;

namespace {

constexpr std::chrono::milliseconds ledgerTimeout {10000};

} // namespace

HttpEndpoint parseEndpoint(const std::string &text)
{
    const std::string scheme = "http://";
    std::string rest = text.starts_with(scheme) ? text.substr(scheme.size()) : text;
    rest.resize(std::min(rest.find('/'), rest.size()));
    const std::size_t colon = rest.find(':');
    HttpEndpoint endpoint;
    if (colon == std::string::npos)
        throw std::invalid_argument(text + ": expected ADDRESS:PORT");
    endpoint.address = rest.substr(0, colon);
    const char *end = rest.data() + rest.size();
    const auto result = std::from_chars(rest.data() + colon + 1, end, endpoint.port);
    if (result.ec != std::errc() || result.ptr != end || endpoint.port == 0)
        throw std::invalid_argument(text + ": the port is not a number from 1 to 65535");
    return endpoint;
}

std::vector<LedgerRow> fetchLedgers(const std::vector<HttpEndpoint> &endpoints)
{
    std::vector<LedgerRow> rows;
    for (const HttpEndpoint &it : endpoints) {
        const auto reply =
                standins::sendHttpRequestBlocking(it, {"GET", "/ledger", {}, ""}, ledgerTimeout);
        if (reply.transport != standins::HttpTransportResult::Complete || reply.status != 200)
            throw std::runtime_error("GET /ledger was not answered with status 200 at port "
                                     + std::to_string(it.port));
        const std::vector<LedgerRow> part = parseLedger(reply.body);
        rows.insert(rows.end(), part.begin(), part.end());
    }
    return rows;
}

} // namespace cornelshed::load
