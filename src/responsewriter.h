// Writes HTTP responses to a caller's socket, either complete ones or streams with chunked transfer
// encoding. Output queued while a write is in progress is sent together by the next write.

#ifndef CORNELSHED_RESPONSEWRITER_H
#define CORNELSHED_RESPONSEWRITER_H

#include "responsetext.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cornelshed {

// Implemented by the connection that owns the writer.
class ResponseWriterOwner
{
public:
    virtual ~ResponseWriterOwner() = default;

    // Returns a reference that keeps the owner alive while a write is in progress.
    virtual std::shared_ptr<void> retainOwner() = 0;

    virtual void bytesWritten() = 0; // after each write; queuedBytes() has shrunk
    virtual void responseSent() = 0; // the complete response was written
    virtual void writeFailed() = 0;
};

class ResponseWriter
{
public:
    // socket and owner must outlive the writer.
    ResponseWriter(boost::asio::ip::tcp::socket &socket, ResponseWriterOwner &owner);

    void writeResponse(const ResponseHeader &head, std::string_view body);

    void beginStream(const ResponseHeader &head);
    void writeChunk(std::string_view data);

    // Ends the stream and sends the outcome in the Cornelshed-Outcome trailer.
    void endStream(std::string_view outcome);

    // Writes bytes ahead of the response, such as an interim 100 Continue.
    void writeRaw(std::string_view bytes);

    std::size_t queuedBytes() const { return m_queued.size() + m_writing.size(); }

private:
    void flush();

    boost::asio::ip::tcp::socket &m_socket;
    ResponseWriterOwner &m_owner;
    std::string m_queued;
    std::string m_writing; // invariant: unchanged while a write is in progress
    bool m_isWriting = false;
    bool m_answerComplete = false; // the last byte of the response is queued or written
};

} // namespace cornelshed

#endif // CORNELSHED_RESPONSEWRITER_H
