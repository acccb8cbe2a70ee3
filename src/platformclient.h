// HTTP client for the platform's table, object store and host list. Each call opens its own
// connection: on a reused connection that the platform has already closed, a write that never
// reached the platform would end as Unknown instead of Unavailable.
//
// Errors: Unavailable if the connection cannot be opened or the platform refuses the call (4xx such
// as 429, or 503); Conflict if a condition of the transaction fails (409); Unknown if a write gets
// any other status or no readable answer. Reads change nothing, so they are never reported as
// Unknown.

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
    Duration timeout = std::chrono::seconds(2);             // for a whole call
    std::uint64_t responseLimitBytes = 64ULL * 1024 * 1024; // a larger answer is an error

    bool operator==(const PlatformSettings &) const = default;
};

// An entry of the host list. The list may be out of date.
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

    // Callbacks run in context, which must outlive the client. No callback runs after the client
    // is destroyed.
    PlatformClient(boost::asio::io_context &context, PlatformSettings settings);
    ~PlatformClient() override;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void read(std::vector<std::string> keys, RowsCallback callback) override;
    void scan(std::string prefix, RowsCallback callback) override;
    void transact(TableTransaction transaction, CommitCallback callback) override;
    void getObject(std::string key, ObjectCallback callback) override;
    void putObject(std::string key, std::string data, CommitCallback callback) override;

    // Passes the host list, sorted by name, to the callback.
    void hosts(HostsCallback callback);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_PLATFORMCLIENT_H
