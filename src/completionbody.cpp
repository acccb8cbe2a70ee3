// Reads only the fields needed for scheduling; the body is forwarded to the inference engine
// unchanged.

#include "completionbody.h"

#include <boost/json.hpp>

#include <optional>

namespace cornelshed {

namespace json = boost::json;

namespace {

InputError invalidField(const std::string &field, const std::string &allowed)
{
    return {400, "invalid_field", field + ": " + allowed};
}

// Returns the text of a chat message, whose content is a string or a list of parts with a "text"
// field, or nothing if there is no such content.
std::optional<std::string> messageText(const json::value &message)
{
    const json::object *object = message.if_object();
    const json::value *content = object == nullptr ? nullptr : object->if_contains("content");
    if (content == nullptr)
        return std::nullopt;
    if (const json::string *text = content->if_string())
        return std::string(*text);
    const json::array *parts = content->if_array();
    if (parts == nullptr)
        return std::nullopt;
    std::string joined;
    for (const json::value &it : *parts) {
        const json::object *part = it.if_object();
        const json::value *text = part == nullptr ? nullptr : part->if_contains("text");
        if (text != nullptr && text->is_string())
            joined += text->get_string();
    }
    return joined;
}

std::optional<InputError> readPrompt(const json::object &object, CompletionBody &body)
{
    if (const json::value *prompt = object.if_contains("prompt")) {
        if (!prompt->is_string())
            return invalidField("prompt", "a text");
        body.prompt = prompt->get_string();
        return std::nullopt;
    }
    const json::value *messages = object.if_contains("messages");
    if (messages == nullptr)
        return InputError {400, "missing_prompt", "prompt or messages is required"};
    if (!messages->is_array() || messages->get_array().empty())
        return invalidField("messages", "a list of messages that is not empty");
    for (const json::value &it : messages->get_array()) {
        const std::optional<std::string> content = messageText(it);
        if (!content)
            return invalidField("messages", "each message has content");
        body.prompt += *content;
    }
    return std::nullopt;
}

std::optional<InputError> readOptions(const json::object &object, CompletionBody &body)
{
    if (const json::value *stream = object.if_contains("stream")) {
        if (!stream->is_bool())
            return invalidField("stream", "true or false");
        body.stream = stream->get_bool();
    }
    const json::value *count = object.if_contains("max_tokens");
    if (count == nullptr) {
        body.outputTokens = defaultOutputTokens;
        return std::nullopt;
    }
    boost::system::error_code ec;
    body.outputTokens = count->to_number<std::uint64_t>(ec);
    if (ec || body.outputTokens < 1 || body.outputTokens > outputTokenLimit)
        return invalidField("max_tokens",
                            "an integer from 1 to " + std::to_string(outputTokenLimit));
    return std::nullopt;
}

} // namespace

Result<CompletionBody, InputError> parseCompletionBody(std::string_view text)
{
    boost::system::error_code ec;
    const json::value value = json::parse(text, ec);
    if (ec)
        return InputError {400, "malformed_json", "the body is not JSON: " + ec.message()};
    const json::object *object = value.if_object();
    if (object == nullptr)
        return InputError {400, "malformed_json", "the body is not a JSON object"};
    const json::value *model = object->if_contains("model");
    if (model == nullptr || !model->is_string() || model->get_string().empty())
        return InputError {400, "missing_model", "model is required"};
    CompletionBody body;
    body.model = model->get_string();
    if (auto error = readPrompt(*object, body))
        return *error;
    if (auto error = readOptions(*object, body))
        return *error;
    return body;
}

} // namespace cornelshed
