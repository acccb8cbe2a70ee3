// Splits event streams at blank lines.

#include "eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace cornelshed {

namespace {

constexpr std::size_t eventLimitBytes = std::size_t {1} << 20U;
constexpr std::string_view eventTerminator = "\n\n";

// Returns the number in the first "id:" line that has one; nothing if there is none.
std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [rest, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (ec == std::errc())
            return id;
    }
    return std::nullopt;
}

bool isComment(std::string_view event)
{
    while (!event.empty()) {
        if (!event.starts_with(':') && !event.starts_with('\n'))
            return false;
        event.remove_prefix(event.find('\n') + 1);
    }
    return true;
}

} // namespace

std::string EventSplitter::append(std::string_view data)
{
    // A terminator can begin in the last byte that was received before.
    std::size_t searchFrom = m_pending.empty() ? 0 : m_pending.size() - 1;
    m_pending += data;
    std::string completeEvents;
    std::size_t at = 0;
    while (!m_malformed) {
        const std::size_t end = m_pending.find(eventTerminator, searchFrom);
        if (end == std::string::npos)
            break;
        const std::string_view event(m_pending.data() + at, end + eventTerminator.size() - at);
        if (acceptEvent(event))
            completeEvents += event;
        at = end + eventTerminator.size();
        searchFrom = at;
    }
    m_pending.erase(0, at);
    if (m_pending.size() > eventLimitBytes)
        m_malformed = true;
    return completeEvents;
}

bool EventSplitter::acceptEvent(std::string_view event)
{
    if (isComment(event))
        return m_positionKnown;
    if (const auto id = parseEventId(event)) {
        if (m_lastId && *id <= *m_lastId)
            return false;
        if (m_lastId && *id != *m_lastId + 1) {
            m_malformed = true;
            return false;
        }
        m_lastId = id;
        m_positionKnown = true;
    } else if (!m_positionKnown) {
        m_malformed = true;
        return false;
    }
    ++m_count;
    return true;
}

} // namespace cornelshed
