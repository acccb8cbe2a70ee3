// Sends and receives admission messages as datagrams, for gateways and agents. Internal to the
// runtime; includes Asio.

#ifndef CORNELSHED_ADMISSIONSOCKET_H
#define CORNELSHED_ADMISSIONSOCKET_H

#include "admissionmessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cornelshed::detail {

class AdmissionSocket : public std::enable_shared_from_this<AdmissionSocket>
{
public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    using Received = std::function<void(const AdmissionMessage &, const Endpoint &sender)>;

    AdmissionSocket(boost::asio::io_context &context, Received received);

    // Returns what went wrong, if anything.
    std::optional<std::string> open(const std::string &address, std::uint16_t port);
    void close();

    // A message that cannot be sent now is lost, as it may be on the way.
    void send(const AdmissionMessage &message, const Endpoint &to);

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    Received m_received;
    Endpoint m_sender;
    std::array<char, 16384> m_buf {};
};

} // namespace cornelshed::detail

#endif // CORNELSHED_ADMISSIONSOCKET_H
