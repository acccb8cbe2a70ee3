// Text form of a claim's row. It is printable ASCII, whatever the answer's bytes are, because the
// platform's table carries text.

#ifndef CORNELSHED_CLAIMROW_H
#define CORNELSHED_CLAIMROW_H

#include "claims.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cornelshed::detail {

// A released row is kept rather than deleted: it makes an insert fail that was sent earlier and
// takes effect late, and its version keeps growing, so that no late write can match a later claim.
enum class ClaimState { Open, Released, Finished };

struct ClaimRow
{
    RequestId request; // owner of the claim
    std::uint64_t bodyDigest = 0;
    ClaimState state = ClaimState::Open;
    StoredAnswer answer {}; // set if Finished

    bool operator==(const ClaimRow &) const = default;
};

std::string formatClaimRow(const ClaimRow &row);
std::optional<ClaimRow> parseClaimRow(const std::string &value);

// The row's key. Both parts are escaped, so that no two claims share a row.
std::string claimRowKey(const ClaimKey &key);

} // namespace cornelshed::detail

#endif // CORNELSHED_CLAIMROW_H
