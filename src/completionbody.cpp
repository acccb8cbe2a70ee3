// Reads only the fields needed for scheduling and keeps nothing else, because the tree of all
// values can take thirty times the size of the body. The body is forwarded to the inference engine
// unchanged.

#include "completionbody.h"

#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace cornelshed {

namespace json = boost::json;

namespace {

using Error = boost::system::error_code;

// Longer than every known key. Of a longer key, no more is kept, so that it differs from them.
constexpr std::size_t keptKeyBytes = 16;

// A text of which only the beginning is kept.
class LimitedText
{
public:
    void append(std::string_view text)
    {
        m_size += text.size();
        m_beginning += text.substr(0, keptPromptBytes - m_beginning.size());
    }

    void truncate(std::size_t size)
    {
        m_size = size;
        m_beginning.resize(std::min(m_beginning.size(), size));
    }

    std::size_t size() const { return m_size; }
    const std::string &beginning() const { return m_beginning; }

private:
    std::size_t m_size = 0;
    std::string m_beginning; // at most keptPromptBytes
};

// A field that is given more than once has its last value.
struct Fields
{
    bool isObject = false;
    std::string model; // empty: none, or not a text
    bool hasPrompt = false;
    bool isPromptText = false;
    LimitedText prompt;
    bool hasMessages = false;
    bool isMessageList = false;
    std::size_t messageCount = 0;
    bool allHaveContent = true;        // each message has one
    LimitedText contents;              // of all messages
    std::optional<json::value> stream; // without the elements of a list or an object, as the next
    std::optional<json::value> outputTokens;
};

// Receives the events of a JSON parser.
class FieldReader
{
public:
    explicit FieldReader(Fields &fields) : m_fields(fields) { }

    // The parser defines the names of its handler's members.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    bool on_document_begin(Error & /*ec*/) { return true; }
    bool on_document_end(Error & /*ec*/) { return true; }
    bool on_comment_part(json::string_view /*text*/, Error & /*ec*/) { return true; }
    bool on_comment(json::string_view /*text*/, Error & /*ec*/) { return true; }
    bool on_number_part(json::string_view /*text*/, Error & /*ec*/) { return true; }

    bool on_key_part(json::string_view text, std::size_t /*size*/, Error & /*ec*/)
    {
        m_nextKey += text.substr(0, keptKeyBytes - m_nextKey.size());
        return true;
    }
    bool on_key(json::string_view text, std::size_t size, Error &ec)
    {
        on_key_part(text, size, ec);
        m_key = std::exchange(m_nextKey, {});
        return true;
    }

    bool on_object_begin(Error & /*ec*/) { return beginContainer(json::kind::object); }
    bool on_array_begin(Error & /*ec*/) { return beginContainer(json::kind::array); }
    bool on_array_end(std::size_t /*size*/, Error & /*ec*/)
    {
        m_places.pop_back();
        return true;
    }
    bool on_object_end(std::size_t /*size*/, Error & /*ec*/)
    {
        if (m_places.back() == Place::Message && !m_hasContent)
            m_fields.allHaveContent = false;
        m_places.pop_back();
        return true;
    }

    bool on_string_part(json::string_view text, std::size_t /*size*/, Error & /*ec*/)
    {
        if (!std::exchange(m_isInString, true))
            beginValue(json::value(json::string_kind));
        if (m_text != nullptr)
            m_text->append(text);
        if (m_isModel)
            m_fields.model += text;
        return true;
    }
    bool on_string(json::string_view text, std::size_t size, Error &ec)
    {
        on_string_part(text, size, ec);
        m_isInString = m_isModel = false;
        m_text = nullptr;
        return true;
    }
    bool on_int64(std::int64_t number, json::string_view /*text*/, Error & /*ec*/)
    {
        return addScalar(number);
    }
    bool on_uint64(std::uint64_t number, json::string_view /*text*/, Error & /*ec*/)
    {
        return addScalar(number);
    }
    bool on_double(double number, json::string_view /*text*/, Error & /*ec*/)
    {
        return addScalar(number);
    }
    bool on_bool(bool isTrue, Error & /*ec*/) { return addScalar(isTrue); }
    bool on_null(Error & /*ec*/) { return addScalar(nullptr); }
    // NOLINTEND(readability-identifier-naming)

private:
    // What contains the next value.
    enum class Place : std::uint8_t { Body, Messages, Message, Content, ContentPart, Other };

    template<typename Scalar> bool addScalar(Scalar scalar)
    {
        beginValue(json::value(scalar));
        return true;
    }

    bool beginContainer(json::kind kind)
    {
        m_places.push_back(beginValue(kind == json::kind::object ? json::value(json::object_kind)
                                                                 : json::value(json::array_kind)));
        return true;
    }

    // value: an object, a list or a text is still empty. Returns what the first two are.
    Place beginValue(const json::value &value)
    {
        if (m_places.empty()) {
            m_fields.isObject = value.is_object();
            return value.is_object() ? Place::Body : Place::Other;
        }
        switch (m_places.back()) {
        case Place::Body:
            return beginField(value);
        case Place::Messages:
            ++m_fields.messageCount;
            m_messageBegin = m_fields.contents.size();
            m_hasContent = false;
            if (!value.is_object())
                m_fields.allHaveContent = false;
            return value.is_object() ? Place::Message : Place::Other;
        case Place::Message:
            return m_key == "content" ? beginContent(value) : Place::Other;
        case Place::Content:
            m_partBegin = m_fields.contents.size();
            return value.is_object() ? Place::ContentPart : Place::Other;
        case Place::ContentPart:
            if (m_key == "text") {
                m_fields.contents.truncate(m_partBegin);
                m_text = value.is_string() ? &m_fields.contents : nullptr;
            }
            return Place::Other;
        case Place::Other:
            break;
        }
        return Place::Other;
    }

    Place beginField(const json::value &value)
    {
        if (m_key == "model") {
            m_fields.model.clear();
            m_isModel = value.is_string();
        } else if (m_key == "prompt") {
            m_fields.hasPrompt = true;
            m_fields.isPromptText = value.is_string();
            m_fields.prompt.truncate(0);
            m_text = value.is_string() ? &m_fields.prompt : nullptr;
        } else if (m_key == "messages") {
            m_fields.hasMessages = true;
            m_fields.isMessageList = value.is_array();
            m_fields.messageCount = 0;
            m_fields.allHaveContent = true;
            m_fields.contents.truncate(0);
            return value.is_array() ? Place::Messages : Place::Other;
        } else if (m_key == "stream") {
            m_fields.stream = value;
        } else if (m_key == "max_tokens") {
            m_fields.outputTokens = value;
        }
        return Place::Other;
    }

    // The content of a message is a text or a list of parts with a "text" field.
    Place beginContent(const json::value &value)
    {
        m_fields.contents.truncate(m_messageBegin);
        m_hasContent = value.is_string() || value.is_array();
        m_text = value.is_string() ? &m_fields.contents : nullptr;
        return value.is_array() ? Place::Content : Place::Other;
    }

    Fields &m_fields;
    std::vector<Place> m_places; // innermost last; the parser limits the depth
    std::string m_key;           // of the next value, if that is in an object
    std::string m_nextKey;       // its part that has been read
    bool m_isInString = false;
    bool m_isModel = false;         // the current text is the model
    LimitedText *m_text = nullptr;  // the current text is added to it
    bool m_hasContent = false;      // the current message has content
    std::size_t m_messageBegin = 0; // size of the contents at its begin
    std::size_t m_partBegin = 0;    // the same of the current part
};

InputError invalidField(const std::string &field, const std::string &allowed)
{
    return {400, "invalid_field", field + ": " + allowed};
}

std::optional<InputError> readFields(std::string_view text, Fields &fields)
{
    json::basic_parser<FieldReader> parser(json::parse_options(), fields);
    Error ec;
    const std::size_t n = parser.write_some(false, text.data(), text.size(), ec);
    if (!ec && n < text.size())
        ec = json::error::extra_data;
    if (ec)
        return InputError {400, "malformed_json", "the body is not JSON: " + ec.message()};
    if (!fields.isObject)
        return InputError {400, "malformed_json", "the body is not a JSON object"};
    return std::nullopt;
}

std::optional<InputError> readPrompt(const Fields &fields, CompletionBody &body)
{
    if (fields.hasPrompt && !fields.isPromptText)
        return invalidField("prompt", "a text");
    if (!fields.hasPrompt && !fields.hasMessages)
        return InputError {400, "missing_prompt", "prompt or messages is required"};
    if (!fields.hasPrompt && (!fields.isMessageList || fields.messageCount == 0))
        return invalidField("messages", "a list of messages that is not empty");
    if (!fields.hasPrompt && !fields.allHaveContent)
        return invalidField("messages", "each message has content");
    const LimitedText &prompt = fields.hasPrompt ? fields.prompt : fields.contents;
    body.promptBeginning = prompt.beginning();
    body.promptBytes = prompt.size();
    return std::nullopt;
}

std::optional<InputError> readOptions(const Fields &fields, CompletionBody &body)
{
    if (fields.stream) {
        if (!fields.stream->is_bool())
            return invalidField("stream", "true or false");
        body.stream = fields.stream->get_bool();
    }
    if (!fields.outputTokens) {
        body.outputTokens = defaultOutputTokens;
        return std::nullopt;
    }
    Error ec;
    body.outputTokens = fields.outputTokens->to_number<std::uint64_t>(ec);
    if (ec || body.outputTokens < 1 || body.outputTokens > outputTokenLimit)
        return invalidField("max_tokens",
                            "an integer from 1 to " + std::to_string(outputTokenLimit));
    return std::nullopt;
}

} // namespace

Result<CompletionBody, InputError> parseCompletionBody(std::string_view text)
{
    Fields fields;
    if (auto error = readFields(text, fields))
        return *error;
    if (fields.model.empty())
        return InputError {400, "missing_model", "model is required"};
    CompletionBody body;
    body.model = fields.model;
    if (auto error = readPrompt(fields, body))
        return *error;
    if (auto error = readOptions(fields, body))
        return *error;
    return body;
}

} // namespace cornelshed
