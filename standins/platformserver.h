// Platform stand-in: transactional table, object store and lagging host list.
//
// A transaction or an object upload counts as one write, whatever its number of rows; a read, scan,
// object download or host list counts as one read. Faults apply to the table and the objects: down
// refuses with 503 and changes nothing, slow delays before the operation, and lose_answers closes
// the connection after the operation took effect.

#ifndef CORNELSHED_STANDINS_PLATFORMSERVER_H
#define CORNELSHED_STANDINS_PLATFORMSERVER_H

#include "httpserver.h"

#include <chrono>
#include <memory>

namespace cornelshed::standins {

struct PlatformOptions
{
    std::chrono::milliseconds hostLag {2000};
    std::chrono::milliseconds slowDelay {2000};
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

    // The handler refers to this object.
    HttpHandler handler();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_PLATFORMSERVER_H
