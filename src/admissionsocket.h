// UDP socket that sends and receives admission messages, used by gateways and agents. Internal to
// the runtime, as this header includes Asio.

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
    using ReceiveHandler = std::function<void(const AdmissionMessage &, const Endpoint &sender)>;

    AdmissionSocket(boost::asio::io_context &context, ReceiveHandler onMessage);

    // Binds the socket and starts to receive. Returns an error message on failure.
    std::optional<std::string> open(const std::string &address, std::uint16_t port);
    void close();

    // Ignores errors: messages may also be lost on the network, so that senders must cope with it.
    void send(const AdmissionMessage &message, const Endpoint &to);

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    ReceiveHandler m_onMessage;
    Endpoint m_sender;
    std::array<char, 16384> m_buffer {};
};

} // namespace cornelshed::detail

#endif // CORNELSHED_ADMISSIONSOCKET_H
