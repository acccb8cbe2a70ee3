// Simulated platform for tests, load runs and the demonstration: a table with transactions, an
// object store, and a host list that is updated with a delay.
//
// Operations are rate limited: one over the limit is refused with 429. A transaction counts as one
// write, whatever its number of rows, and so does an object upload. A read or scan of the table, an
// object download and a request for the host list count as one read each.
//
// Injected faults affect the table and the object store: with "down", operations are refused with
// 503 and change nothing; with "slow", they are delayed before they are executed; with
// "lose_answers", they are executed, and the connection is closed without a response.

#ifndef CORNELSHED_STANDINS_PLATFORMSERVER_H
#define CORNELSHED_STANDINS_PLATFORMSERVER_H

#include "httpserver.h"

#include <chrono>
#include <memory>

namespace cornelshed::standins {

struct PlatformOptions
{
    std::chrono::milliseconds hostLag {2000};   // age of the host list
    std::chrono::milliseconds slowDelay {2000}; // of an operation under the fault "slow"
    std::uint64_t readsPerSecond = 2000;
    std::uint64_t writesPerSecond = 400;
};

class PlatformServer
{
public:
    PlatformServer(boost::asio::io_context &context, PlatformOptions options);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    // The handler must not be used after this object is destroyed.
    HttpHandler handler();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_PLATFORMSERVER_H
