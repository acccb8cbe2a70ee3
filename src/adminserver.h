// HTTP server of a daemon's admin port. It serves /metrics in the Prometheus text format,
// /health, and a readiness check at a configurable path.

#ifndef CORNELSHED_ADMINSERVER_H
#define CORNELSHED_ADMINSERVER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

// Callbacks that produce the responses. They run on a thread that runs the io_context, once per
// request.
struct AdminHandlers
{
    std::function<std::string()> metrics;
    std::function<bool()> ready;
    std::string readyPath = "/ready";
};

class AdminServer
{
public:
    AdminServer(boost::asio::io_context &context, AdminHandlers handlers);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // Starts accepting connections. Returns an error message, or std::nullopt on success. Port 0
    // selects a free port, which port() then returns.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ADMINSERVER_H
