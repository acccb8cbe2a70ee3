// Joins what is queued while a write is in progress.

#include "responsewriter.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cornelshed {

ResponseWriter::ResponseWriter(boost::asio::ip::tcp::socket &socket, ResponseWriterOwner &owner)
    : m_socket(socket), m_owner(owner)
{ }

void ResponseWriter::writeResponse(const ResponseHeader &head, std::string_view body)
{
    appendHead(m_queued, head);
    if (mayHaveBody(head.status))
        appendContentLength(m_queued, body.size());
    m_queued += "\r\n";
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
    m_queued += "\r\n";
    flush();
}

void ResponseWriter::writeChunk(std::string_view data)
{
    appendChunk(m_queued, data);
    flush();
}

void ResponseWriter::endStream(std::string_view outcome)
{
    std::string trailers;
    appendHeader(trailers, "Cornelshed-Outcome", outcome);
    appendLastChunk(m_queued, trailers);
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
