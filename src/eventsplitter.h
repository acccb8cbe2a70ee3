// Cuts the body of an event stream into whole events and reads their ids, so that a stream that
// breaks off never leaves half an event at the caller and can go on elsewhere after the last one.

#ifndef CORNELSHED_EVENTSPLITTER_H
#define CORNELSHED_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

class EventSplitter
{
public:
    // Events with an id up to this one were passed on before and are dropped. Events must follow
    // it without a gap if it is set.
    explicit EventSplitter(std::optional<std::uint64_t> after = std::nullopt) : m_last(after) { }

    // Adds received bytes and returns the events that are whole now, as received.
    std::string append(std::string_view data);

    // An event is too large, or ids are not in order.
    bool malformed() const { return m_malformed; }

    // Bytes of an event that is not whole yet.
    bool pending() const { return !m_pending.empty(); }

    // Id of the last whole event; nothing before the first.
    std::optional<std::uint64_t> lastId() const { return m_last; }

    // Whole events returned so far.
    std::uint64_t count() const { return m_count; }

private:
    bool accept(std::string_view event);

    std::string m_pending; // invariant: holds no whole event
    std::optional<std::uint64_t> m_last;
    std::uint64_t m_count = 0;
    bool m_malformed = false;
};

} // namespace cornelshed

#endif // CORNELSHED_EVENTSPLITTER_H
