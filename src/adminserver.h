// HTTP server of the admin port: /metrics (text format), /health and readiness.

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

// Called for each request, on a thread of the io_context.
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

    // Returns what went wrong, if anything. Port 0 takes any free port.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_ADMINSERVER_H
