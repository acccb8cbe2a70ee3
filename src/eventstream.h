// Splits a stream of server-sent events into complete events and detects its usage and its end.
// Only complete events are forwarded, so that a caller never receives part of an event if the
// stream breaks off.

#ifndef CORNELSHED_EVENTSTREAM_H
#define CORNELSHED_EVENTSTREAM_H

#include "messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelshed {

// Line that marks the end of a complete stream, without its line terminator.
constexpr std::string_view streamEndLine = "data: [DONE]";

class EventStreamParser
{
public:
    // Appends received bytes and returns the events that are now complete, except the end event.
    std::string append(std::string_view data);

    // Number of token events that the last append() returned.
    std::size_t newTokenCount() const { return m_newTokenCount; }

    // True once the end event was received. Nothing may follow it.
    bool ended() const { return m_ended; }

    // True if bytes followed the end event or an event exceeded the size limit.
    bool malformed() const { return m_malformed; }

    // Bytes kept between calls of append(), at most the size limit of an event unless malformed().
    std::size_t bufferedBytes() const { return m_buffer.size(); }

    // The end event as received; empty until ended().
    const std::string &endEvent() const { return m_endEvent; }

    // Taken from the last event that contains usage.
    const Usage &usage() const { return m_usage; }

private:
    void processEvent(std::string_view event);

    // Bytes that append() has not returned: a partial event or, once ended, the end event.
    // Invariant: contains no other complete event.
    std::string m_buffer;
    std::string m_endEvent;
    Usage m_usage;
    std::size_t m_newTokenCount = 0;
    bool m_ended = false;
    bool m_malformed = false;
};

// Parses {"usage": {...}} of a complete response body or event into usage. Returns false if there
// is none.
bool parseUsage(std::string_view json, Usage &usage);

} // namespace cornelshed

#endif // CORNELSHED_EVENTSTREAM_H
