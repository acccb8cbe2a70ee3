// Only events that contain "usage" are parsed as JSON, because parsing every token event would cost
// more than forwarding it.

#include "eventstream.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cornelshed {

namespace json = boost::json;

namespace {

constexpr std::size_t eventLimitBytes = std::size_t {1} << 20U;

// Returns the position after the first blank line at or after the position from, or npos.
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t n = text.find('\n', from); n != std::string_view::npos;
         n = text.find('\n', n + 1)) {
        if (n + 1 < text.size() && text[n + 1] == '\n')
            return n + 2;
        if (n + 2 < text.size() && text[n + 1] == '\r' && text[n + 2] == '\n')
            return n + 3;
    }
    return std::string_view::npos;
}

std::uint64_t readCount(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr)
        return 0;
    boost::system::error_code ec;
    const auto count = value->to_number<std::uint64_t>(ec);
    return ec ? 0 : count;
}

} // namespace

bool parseUsage(std::string_view text, Usage &usage)
{
    boost::system::error_code ec;
    const json::value value = json::parse(text, ec);
    if (ec || !value.is_object())
        return false;
    const json::value *found = value.get_object().if_contains("usage");
    if (found == nullptr || !found->is_object())
        return false;
    const json::object &object = found->get_object();
    usage.promptTokens = readCount(object, "prompt_tokens");
    usage.outputTokens = readCount(object, "completion_tokens");
    usage.cachedTokens = readCount(object, "cached_tokens");
    return true;
}

std::string EventStreamParser::append(std::string_view data)
{
    m_newTokenCount = 0;
    if (m_ended && !data.empty())
        m_malformed = true;
    // The blank line may begin in bytes received earlier.
    std::size_t searchFrom = m_buffer.size() < 2 ? 0 : m_buffer.size() - 2;
    m_buffer += data;
    std::size_t begin = 0;
    while (!m_ended) {
        const std::size_t end = findEventEnd(m_buffer, std::max(begin, searchFrom));
        if (end == std::string::npos)
            break;
        const std::string_view event = std::string_view(m_buffer).substr(begin, end - begin);
        processEvent(event);
        if (!m_ended)
            begin = end;
        searchFrom = end;
    }
    std::string completeEvents = m_buffer.substr(0, begin);
    m_buffer.erase(0, begin);
    if (m_ended)
        m_malformed = m_malformed || m_buffer.size() > m_endEvent.size();
    m_malformed = m_malformed || m_buffer.size() > eventLimitBytes;
    return completeEvents;
}

void EventStreamParser::processEvent(std::string_view event)
{
    if (event.starts_with(streamEndLine)) {
        m_ended = true;
        m_endEvent = event;
        return;
    }
    if (!event.starts_with("data:"))
        return;
    const bool hasUsage = event.find("\"usage\"") != std::string_view::npos
            && parseUsage(event.substr(5), m_usage);
    if (!hasUsage)
        ++m_newTokenCount;
}

} // namespace cornelshed
