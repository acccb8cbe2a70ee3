// Asynchronous receive loop and non-blocking sends. Datagrams that cannot be decoded are ignored.

#include "admissionsocket.h"

namespace cornelshed::detail {

namespace asio = boost::asio;

AdmissionSocket::AdmissionSocket(asio::io_context &context, ReceiveHandler onMessage)
    : m_socket(context), m_onMessage(std::move(onMessage))
{ }

std::optional<std::string> AdmissionSocket::open(const std::string &address, std::uint16_t port)
{
    boost::system::error_code ec;
    const Endpoint endpoint(asio::ip::make_address(address, ec), port);
    if (!ec)
        m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        m_socket.bind(endpoint, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return "cannot receive admission messages on port " + std::to_string(port) + ": "
                + ec.message();
    receive();
    return std::nullopt;
}

void AdmissionSocket::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void AdmissionSocket::send(const AdmissionMessage &message, const Endpoint &to)
{
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(encodeAdmission(message)), to, 0, ignored);
}

void AdmissionSocket::receive()
{
    m_socket.async_receive_from(
            asio::buffer(m_buffer), m_sender, [self = shared_from_this()](auto ec, std::size_t n) {
                if (ec == asio::error::operation_aborted)
                    return;
                if (!ec) {
                    if (const auto message = decodeAdmission(std::string(self->m_buffer.data(), n)))
                        self->m_onMessage(*message, self->m_sender);
                }
                self->receive();
            });
}

} // namespace cornelshed::detail
