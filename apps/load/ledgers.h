// Reads over HTTP the ledgers in which the stand-ins count the runs of each request.

#ifndef CORNELSHED_LOAD_LEDGERS_H
#define CORNELSHED_LOAD_LEDGERS_H

#include "httpclient.h"
#include "tally.h"

#include <string>
#include <vector>

namespace cornelshed::load {

// Accepts "ADDRESS:PORT" and "http://ADDRESS:PORT[/ledger]". Throws std::invalid_argument for any
// other form.
standins::HttpEndpoint parseEndpoint(const std::string &text);

// Returns the rows of all ledgers. Throws std::runtime_error when a ledger cannot be read.
std::vector<LedgerRow> fetchLedgers(const std::vector<standins::HttpEndpoint> &endpoints);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_LEDGERS_H
