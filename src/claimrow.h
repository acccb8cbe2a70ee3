// Text encoding of a claim's table row. The text is printable ASCII even if the stored answer is
// binary, because the platform's table stores text only.

#ifndef CORNELSHED_CLAIMROW_H
#define CORNELSHED_CLAIMROW_H

#include "claims.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cornelshed::detail {

// Released rows are not deleted. An insert that was sent earlier and takes effect late then fails,
// and as the row's version keeps growing, no late write can match the version of a later claim.
enum class ClaimState { Open, Released, Finished };

struct ClaimRow
{
    RequestId request; // holder of the claim, or its last holder if released or finished
    std::uint64_t bodyDigest = 0;
    ClaimState state = ClaimState::Open;
    StoredResponse answer {}; // set if Finished

    bool operator==(const ClaimRow &) const = default;
};

std::string formatClaimRow(const ClaimRow &row);
std::optional<ClaimRow> parseClaimRow(const std::string &value);

// Key of the claim's row. Both parts are escaped, so that two different claims never share a row.
std::string claimRowKey(const ClaimKey &key);

} // namespace cornelshed::detail

#endif // CORNELSHED_CLAIMROW_H
