// Reads the ledgers of stand-ins over HTTP.

#ifndef CORNELSHED_LOAD_LEDGERS_H
#define CORNELSHED_LOAD_LEDGERS_H

#include "httpclient.h"
#include "tally.h"

#include <string>
#include <vector>

namespace cornelshed::load {

// Accepts "http://ADDRESS:PORT[/ledger]" and "ADDRESS:PORT". Throws std::invalid_argument.
standins::HttpEndpoint parseEndpoint(const std::string &text);

// Rows of all ledgers together. Throws std::runtime_error when one cannot be read.
std::vector<LedgerRow> fetchLedgers(const std::vector<standins::HttpEndpoint> &endpoints);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_LEDGERS_H
