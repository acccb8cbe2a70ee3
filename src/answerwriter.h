// Writes answers to a caller's socket: whole ones, and streams as HTTP chunks. Output queued while
// a write is under way leaves together in the next one.

#ifndef CORNELSHED_ANSWERWRITER_H
#define CORNELSHED_ANSWERWRITER_H

#include "messages.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cornelshed {

struct AnswerHead
{
    std::uint32_t status = 200;
    Headers headers;
    bool keepAlive = true;
};

// The connection that a writer is part of.
class AnswerWriterOwner
{
public:
    virtual ~AnswerWriterOwner() = default;

    // Held while a write is under way.
    virtual std::shared_ptr<void> keepAlive() = 0;

    virtual void answerSent() = 0; // the whole answer was written
    virtual void writeFailed() = 0;
};

class AnswerWriter
{
public:
    // socket and owner must outlive the writer.
    AnswerWriter(boost::asio::ip::tcp::socket &socket, AnswerWriterOwner &owner);

    void whole(const AnswerHead &head, std::string_view body);

    void beginStream(const AnswerHead &head);
    void chunk(std::string_view data);

    // Ends the stream; the outcome goes into the trailer.
    void endStream(std::string_view outcome);

    void raw(std::string_view bytes); // before an answer, such as 100 Continue

    std::size_t queuedBytes() const { return m_queued.size() + m_writing.size(); }

private:
    void flush();

    boost::asio::ip::tcp::socket &m_socket;
    AnswerWriterOwner &m_owner;
    std::string m_queued;
    std::string m_writing; // invariant: unchanged while a write is under way
    bool m_isWriting = false;
    bool m_complete = false; // the answer's last byte is queued or written
};

} // namespace cornelshed

#endif // CORNELSHED_ANSWERWRITER_H
