// A loopback proxy that harms the connections through it: delays, resets, cuts in one direction,
// and silence without a reset. One thread for each direction of a connection.

#ifndef CORNELSHED_TEST_FAULTPROXY_H
#define CORNELSHED_TEST_FAULTPROXY_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace cornelshed::testing {

enum class ProxyFault : int {
    None,
    Delay,       // 150 ms for each read
    SilenceBoth, // nothing passes, nothing is closed
    SilenceBack, // answers do not pass
    Reset        // every connection is reset, new ones too
};

class FaultProxy
{
public:
    // Listens on the address and forwards to 127.0.0.1:target.
    FaultProxy(const std::string &address, std::uint16_t target);
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
