// TCP proxy on the loopback interface that injects network faults into the connections through it:
// delays, resets, and stalls in one or both directions without a reset. Each direction of a
// connection is forwarded by its own thread.

#ifndef CORNELSHED_TEST_FAULTPROXY_H
#define CORNELSHED_TEST_FAULTPROXY_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace cornelshed::testing {

enum class ProxyFault : int {
    None,
    Delay,          // each read is delayed by 150 ms
    StallBoth,      // no bytes pass in either direction; connections stay open
    StallResponses, // no bytes pass from the server to the caller
    Reset           // open and new connections are reset
};

class FaultProxy
{
public:
    // Listens on a free port of the address and forwards to 127.0.0.1:targetPort.
    FaultProxy(const std::string &address, std::uint16_t targetPort);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::uint16_t port() const;
    void set(ProxyFault fault);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_FAULTPROXY_H
