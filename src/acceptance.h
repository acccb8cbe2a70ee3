// Acceptance of a configuration: one transaction on the version that the operator saw. Of operators
// that race, exactly one wins; the others are told by whom the configuration was changed.

#ifndef CORNELSHED_ACCEPTANCE_H
#define CORNELSHED_ACCEPTANCE_H

#include "blockingtable.h"
#include "configurationhead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cornelshed {

// What the table names as accepted. rowVersion 0 and version 0 if nothing was accepted yet.
struct SeenHead
{
    std::uint64_t rowVersion = 0;
    ConfigurationHead head;

    bool operator==(const SeenHead &) const = default;
};

Result<SeenHead, TableError> readHead(BlockingTable &table);

struct AcceptanceRequest
{
    std::string text; // a checked configuration
    std::string operatorName;
    std::string changeId;                        // the same one settles an unknown outcome
    std::optional<std::uint64_t> seenVersion {}; // version it replaces; else the present one
    bool earlierAttempt = false; // settles an earlier run with the same change id and seen version
    int attemptCount = 5;        // transactions sent at most
};

struct Accepted
{
    std::uint64_t version = 0;

    bool operator==(const Accepted &) const = default;
};

// Nothing was changed, and nothing will be by this attempt.
struct NotAccepted
{
    std::string reason;
    std::optional<SeenHead> winner; // the change that was in the way

    bool operator==(const NotAccepted &) const = default;
};

// The transaction may have taken effect. Accepting again with the same change id and seen version
// settles it.
struct AcceptanceUnknown
{
    std::uint64_t seenVersion = 0;
    std::string reason;

    bool operator==(const AcceptanceUnknown &) const = default;
};

using AcceptanceOutcome = std::variant<Accepted, NotAccepted, AcceptanceUnknown>;

AcceptanceOutcome acceptConfiguration(BlockingTable &table, const AcceptanceRequest &request);

} // namespace cornelshed

#endif // CORNELSHED_ACCEPTANCE_H
