// Splits the body of a server-sent event stream into complete events and reads their ids. When a
// stream breaks, the caller thus never has part of an event, and the stream can be resumed from
// another backend server after the last complete event.

#ifndef CORNELSHED_EVENTSPLITTER_H
#define CORNELSHED_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

class EventSplitter
{
public:
    // after: id of the last event that the caller already has. Events with an id up to this one are
    // dropped, and the ids of later ones must follow it without a gap. Before the first of these,
    // an event without an id is malformed, as it may be from anywhere in the stream, and comments
    // are dropped. Without `after`, the first id may be any.
    explicit EventSplitter(std::optional<std::uint64_t> after = std::nullopt)
        : m_lastId(after), m_positionKnown(!after)
    { }

    // Appends received bytes and returns the events completed by them, byte for byte.
    std::string append(std::string_view data);

    // True after an event above the size limit, a gap in the ids, or an event whose position in a
    // resumed stream is unknown.
    bool malformed() const { return m_malformed; }

    // Whether part of an incomplete event is buffered, and the size of that part.
    bool pending() const { return !m_pending.empty(); }
    std::size_t pendingBytes() const { return m_pending.size(); }
    void discardPending() { m_pending = {}; }

    // Id of the last complete event; nothing before the first.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    // Number of complete events returned so far, without comments.
    std::uint64_t count() const { return m_count; }

private:
    bool acceptEvent(std::string_view event);

    std::string m_pending; // invariant: contains no complete event
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
    bool m_positionKnown; // what comes next follows the events that the caller has
    bool m_malformed = false;
};

} // namespace cornelshed

#endif // CORNELSHED_EVENTSPLITTER_H
