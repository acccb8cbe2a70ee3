// Formats event lines and writes them to glog or to the installed sink.

#include "eventlog.h"

#include <glog/logging.h>

#include <algorithm>

namespace cornelshed {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '\\' || c == '=' || c == 0x7f;
           });
}

std::string quoted(std::string_view value)
{
    static constexpr char hexDigits[] = "0123456789abcdef";
    std::string buf = "\"";
    for (const char it : value) {
        const auto c = static_cast<unsigned char>(it);
        if (c == '"' || c == '\\') {
            buf += '\\';
            buf += it;
        } else if (c < ' ' || c == 0x7f) {
            buf += "\\x";
            buf += hexDigits[c >> 4U];
            buf += hexDigits[c & 0xfU];
        } else {
            buf += it;
        }
    }
    return buf + '"';
}

// An empty sink means that lines go to glog.
EventLog::Sink &currentSink()
{
    static EventLog::Sink sink;
    return sink;
}

} // namespace

EventLog::EventLog(std::string_view event, EventLevel level) : m_level(level)
{
    m_line = "event=";
    m_line += event;
}

EventLog::~EventLog()
{
    if (currentSink()) {
        currentSink()(m_level, m_line);
        return;
    }
    switch (m_level) {
    case EventLevel::Info:
        LOG(INFO) << m_line;
        break;
    case EventLevel::Warning:
        LOG(WARNING) << m_line;
        break;
    case EventLevel::Error:
        LOG(ERROR) << m_line;
        break;
    }
}

EventLog &EventLog::field(std::string_view key, std::string_view value)
{
    return appendField(key, needsQuotes(value) ? quoted(value) : std::string(value));
}

EventLog &EventLog::appendField(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += value;
    return *this;
}

void EventLog::setSink(Sink sink)
{
    currentSink() = std::move(sink);
}

void EventLog::initialize(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

} // namespace cornelshed
