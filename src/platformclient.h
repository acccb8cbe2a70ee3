// The platform's table, object store and host list over HTTP. Each call opens a connection of its
// own: a reused connection that the platform has closed would turn refusals into unknown outcomes.
//
// Errors: a connection that cannot be opened, a status 429 or 503 or another refusal (4xx) is
// Unavailable; a failed condition (409) is Conflict; a write without a readable answer is Unknown.
// Reads change nothing, so they are never Unknown.

#ifndef CORNELSHED_PLATFORMCLIENT_H
#define CORNELSHED_PLATFORMCLIENT_H

#include "table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct PlatformSettings
{
    std::string address; // IP address
    std::uint16_t port = 0;
    Duration timeout = std::chrono::seconds(2);           // for a whole call
    std::uint64_t answerLimitBytes = 64ULL * 1024 * 1024; // larger answers are errors

    bool operator==(const PlatformSettings &) const = default;
};

// One entry of the host list, which lags behind the truth.
struct PlatformHost
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t peerPort = 0; // 0 if the host has no peers
    std::string availabilityZone;
    std::string role; // entry | agent
    std::string pool;
    std::string state; // live | leaving

    bool operator==(const PlatformHost &) const = default;
};

class PlatformClient final : public PlatformTable
{
public:
    using HostsCallback = std::function<void(Result<std::vector<PlatformHost>, TableError>)>;

    // Callbacks run in context, which must outlive the client, and not after the client's end.
    PlatformClient(boost::asio::io_context &context, PlatformSettings settings);
    ~PlatformClient() override;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void read(std::vector<std::string> keys, RowsCallback callback) override;
    void scan(std::string prefix, RowsCallback callback) override;
    void transact(TableTransaction transaction, CommitCallback callback) override;
    void getObject(std::string key, ObjectCallback callback) override;
    void putObject(std::string key, std::string data, CommitCallback callback) override;

    // Sorted by name.
    void hosts(HostsCallback callback);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_PLATFORMCLIENT_H
