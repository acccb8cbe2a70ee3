// Connections that send bytes as fast as the peer takes them, read nothing, and stay open.

#ifndef CORNELSHED_TEST_HOSTILECROWD_H
#define CORNELSHED_TEST_HOSTILECROWD_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelshed::testing {

// The destructor closes the connections.
class HostileCrowd
{
public:
    HostileCrowd();
    ~HostileCrowd();
    HostileCrowd(const HostileCrowd &) = delete;
    HostileCrowd &operator=(const HostileCrowd &) = delete;

    // Opens a connection to the port on the loopback address that is to send these bytes.
    void add(std::uint16_t port, std::shared_ptr<const std::string> bytes);

    // Sends until the peer's host has acknowledged all bytes of each connection or the peer has
    // closed it, or until nothing has moved for the quiet time, or for 8 s at most. The connections
    // that are still open stay open.
    void push(std::chrono::milliseconds quietTime = std::chrono::milliseconds(1000));

    // Closes all connections.
    void close();

    // Connections that the peer has not been seen to close.
    std::size_t openCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_HOSTILECROWD_H
