// Requests that were cut in a way that does not show by itself whether their backend server
// crashed: before the head of the answer, as by a server that resets connections beyond its limit,
// or in the middle of the answer, as by a network fault. They count as crashes once the backend
// server is no longer listed, or listed as started again.

#ifndef CORNELSHED_CRASHCONFIRMATION_H
#define CORNELSHED_CRASHCONFIRMATION_H

#include "promptidentity.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

struct CutRequest
{
    PromptIdentity prompt;
    std::string backend;
    std::uint64_t backendDigest = 0; // of its id and the start at which the request ran
    Instant sentAt {};
    Instant cutAt {};

    bool operator==(const CutRequest &) const = default;
};

class CrashConfirmation
{
public:
    static constexpr std::size_t limit = 256; // the oldest are dropped
    // Backend servers that crash are removed from the list within this time.
    static constexpr Duration confirmationTime = std::chrono::seconds(10);

    void add(CutRequest request);

    // The same request was answered since.
    void answered(const PromptIdentity &prompt);

    // The backend server is gone or has started again. Returns what it cut shortly before.
    std::vector<CutRequest> confirm(const std::string &backend, Instant now);

    // When the backend server cut the first request that is not confirmed yet.
    std::optional<Instant> firstCutAt(const std::string &backend) const;

    std::size_t pending() const { return m_requests.size(); }

private:
    std::deque<CutRequest> m_requests; // oldest first
};

} // namespace cornelshed

#endif // CORNELSHED_CRASHCONFIRMATION_H
