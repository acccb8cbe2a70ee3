// HTTP/1.1 message framing of responses (RFC 9112).

#include "responsewriter.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace cornelshed {

namespace {

constexpr std::string_view lineEnd = "\r\n";

void appendNumber(std::string &out, std::size_t number, int base)
{
    std::array<char, 20> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    out.append(digits.data(), end);
}

void appendHeader(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += lineEnd;
}

void appendHead(std::string &out, const ResponseHeader &head)
{
    out += "HTTP/1.1 ";
    appendNumber(out, head.status, 10);
    out += ' ';
    const auto status = boost::beast::http::int_to_status(head.status);
    out += std::string_view(boost::beast::http::obsolete_reason(status));
    out += lineEnd;
    for (const auto &[name, value] : head.headers)
        appendHeader(out, name, value);
    if (!head.keepAlive)
        appendHeader(out, "Connection", "close");
}

bool mayHaveBody(std::uint32_t status)
{
    return status != 204 && status != 304;
}

} // namespace

ResponseWriter::ResponseWriter(boost::asio::ip::tcp::socket &socket, ResponseWriterOwner &owner)
    : m_socket(socket), m_owner(owner)
{ }

void ResponseWriter::writeResponse(const ResponseHeader &head, std::string_view body)
{
    appendHead(m_queued, head);
    if (mayHaveBody(head.status)) {
        m_queued += "Content-Length: ";
        appendNumber(m_queued, body.size(), 10);
        m_queued += lineEnd;
    }
    m_queued += lineEnd;
    if (mayHaveBody(head.status))
        m_queued += body;
    m_answerComplete = true;
    flush();
}

void ResponseWriter::beginStream(const ResponseHeader &head)
{
    appendHead(m_queued, head);
    appendHeader(m_queued, "Transfer-Encoding", "chunked");
    appendHeader(m_queued, "Trailer", "Cornelshed-Outcome");
    m_queued += lineEnd;
    flush();
}

void ResponseWriter::writeChunk(std::string_view data)
{
    if (data.empty())
        return; // a chunk of size zero would end the stream
    appendNumber(m_queued, data.size(), 16);
    m_queued += lineEnd;
    m_queued += data;
    m_queued += lineEnd;
    flush();
}

void ResponseWriter::endStream(std::string_view outcome)
{
    m_queued += "0\r\n";
    appendHeader(m_queued, "Cornelshed-Outcome", outcome);
    m_queued += lineEnd;
    m_answerComplete = true;
    flush();
}

void ResponseWriter::writeRaw(std::string_view bytes)
{
    m_queued += bytes;
    flush();
}

void ResponseWriter::flush()
{
    if (m_isWriting || m_queued.empty())
        return;
    m_isWriting = true;
    m_writing.clear();
    std::swap(m_writing, m_queued);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [this, owner = m_owner.retainOwner()](auto ec, std::size_t) {
                                 m_isWriting = false;
                                 // Frees the memory: an idle connection must not keep the room of
                                 // a large response.
                                 m_writing = std::string();
                                 m_owner.bytesWritten();
                                 if (ec)
                                     m_owner.writeFailed();
                                 else if (!m_queued.empty())
                                     flush();
                                 else if (std::exchange(m_answerComplete, false))
                                     m_owner.responseSent();
                             });
}

} // namespace cornelshed
