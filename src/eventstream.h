// Cuts a stream of server-sent events into whole events and finds its usage and its end. Events are
// passed on whole, so that a stream that breaks off never leaves half an event at the caller.

#ifndef CORNELSHED_EVENTSTREAM_H
#define CORNELSHED_EVENTSTREAM_H

#include "messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelshed {

// The line that ends a complete stream, without its line end.
constexpr std::string_view streamEndLine = "data: [DONE]";

class EventStream
{
public:
    // Adds received bytes and returns the events that are whole now, without the end event.
    std::string append(std::string_view data);

    // Token events among those that the last append() returned.
    std::size_t newTokens() const { return m_newTokens; }

    // The end event was received. Nothing may follow it.
    bool ended() const { return m_ended; }

    // Something is wrong: bytes after the end, or an event over the limit.
    bool malformed() const { return m_malformed; }

    // The end event as received; empty until ended().
    const std::string &endEvent() const { return m_endEvent; }

    // As told by the last event that carries usage.
    const Usage &usage() const { return m_usage; }

private:
    void inspect(std::string_view event);

    std::string m_pending; // invariant: holds no whole event
    std::string m_endEvent;
    Usage m_usage;
    std::size_t m_newTokens = 0;
    bool m_ended = false;
    bool m_malformed = false;
};

// Reads {"usage": {...}} of a whole answer or event into the usage; false if there is none.
bool readUsage(std::string_view json, Usage &usage);

} // namespace cornelshed

#endif // CORNELSHED_EVENTSTREAM_H
