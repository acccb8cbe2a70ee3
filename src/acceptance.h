// Accepts a configuration by a conditional transaction on the head row (optimistic concurrency). If
// several operators accept against the same version, exactly one succeeds; the others learn who
// changed the configuration.

#ifndef CORNELSHED_ACCEPTANCE_H
#define CORNELSHED_ACCEPTANCE_H

#include "blockingtable.h"
#include "configurationhead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cornelshed {

// The accepted configuration's head with the version of its row. Both versions are 0 if no
// configuration has been accepted yet.
struct VersionedHead
{
    std::uint64_t rowVersion = 0;
    ConfigurationHead head;

    bool operator==(const VersionedHead &) const = default;
};

Result<VersionedHead, TableError> readHead(BlockingTable &table);

struct AcceptanceRequest
{
    std::string text; // a valid configuration in its canonical format
    std::string operatorName;
    std::string changeId; // unique for each change; a retry uses the same one
    // Version to replace; by default the current one.
    std::optional<std::uint64_t> expectedVersion {};
    // An earlier run with this change id and expected version may have sent the transaction, so an
    // error before the first attempt leaves the outcome unknown.
    bool isRetry = false;
    int maximumAttemptCount = 5; // transactions sent at most
};

struct Accepted
{
    std::uint64_t version = 0;

    bool operator==(const Accepted &) const = default;
};

// The request changed nothing, and none of its transactions can still take effect.
struct NotAccepted
{
    std::string reason;
    std::optional<VersionedHead> conflictingHead; // the change accepted instead, on a conflict

    bool operator==(const NotAccepted &) const = default;
};

// The transaction may have taken effect or may still do so. A retry with the same change id and
// expected version determines the outcome.
struct AcceptanceUnknown
{
    std::uint64_t expectedVersion = 0;
    std::string reason;

    bool operator==(const AcceptanceUnknown &) const = default;
};

using AcceptanceOutcome = std::variant<Accepted, NotAccepted, AcceptanceUnknown>;

AcceptanceOutcome acceptConfiguration(BlockingTable &table, const AcceptanceRequest &request);

} // namespace cornelshed

#endif // CORNELSHED_ACCEPTANCE_H
