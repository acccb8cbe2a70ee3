// JSON parsing of completion requests and formatting of responses and stream events.

#include "completionformat.h"

#include "completiontext.h"

#include <boost/json.hpp>

namespace cornelshed::standins {

namespace json = boost::json;

namespace {

std::string stringField(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : "";
}

std::uint64_t numberField(const json::object &object, const char *key, std::uint64_t fallback)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? fallback : json::value_to<std::uint64_t>(*value);
}

// Returns the prompt of a completion request, or the messages of a chat request joined together.
std::string promptText(const json::object &object)
{
    const json::value *messages = object.if_contains("messages");
    if (messages == nullptr)
        return stringField(object, "prompt");
    std::string prompt;
    for (const json::value &it : messages->as_array())
        prompt += stringField(it.as_object(), "content");
    return prompt;
}

json::object usageObject(const CompletionUsage &usage)
{
    return {{"prompt_tokens", usage.promptTokens},
            {"completion_tokens", usage.completionTokens},
            {"cached_tokens", usage.cachedTokens}};
}

json::object responseObject(const CompletionRequest &request, json::array choices)
{
    return {{"id", "cmpl-" + request.requestId},
            {"object", request.chat ? "chat.completion" : "text_completion"},
            {"model", request.model},
            {"choices", std::move(choices)}};
}

// chatKey is the key of the text in a chat response: "message" if complete, "delta" in a stream.
json::object choiceObject(const CompletionRequest &request, const char *chatKey,
                          const std::string &text)
{
    json::object choice {{"index", 0}};
    if (request.chat)
        choice[chatKey] = json::object {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return choice;
}

std::string formatServerSentEvent(const json::object &object)
{
    return "data: " + json::serialize(object) + "\n\n";
}

} // namespace

CompletionRequest parseCompletionRequest(const HttpRequest &httpRequest)
{
    const json::object body = json::parse(httpRequest.body).as_object();
    CompletionRequest request;
    request.requestId = httpRequest.header("x-request-id");
    request.model = stringField(body, "model");
    request.prompt = promptText(body);
    request.marker = findMarker(request.prompt);
    request.chat = httpRequest.path == "/v1/chat/completions";
    const json::value *stream = body.if_contains("stream");
    request.stream = stream != nullptr && stream->as_bool();
    request.maximumTokens = numberField(body, "max_tokens", request.maximumTokens);
    request.resume = body.contains("resume_after");
    request.resumeAfter = numberField(body, "resume_after", 0);
    return request;
}

std::string formatCompleteResponse(const CompletionRequest &request, const CompletionUsage &usage)
{
    std::string text;
    for (std::uint64_t position = request.resumeAfter; position < request.maximumTokens; ++position)
        text += completionToken(request.requestId, request.marker, position);
    json::object choice = choiceObject(request, "message", text);
    choice["finish_reason"] = "length";
    json::object response = responseObject(request, {std::move(choice)});
    response["usage"] = usageObject(usage);
    return json::serialize(response);
}

std::string formatTokenEvent(const CompletionRequest &request, std::uint64_t position)
{
    const std::string token = completionToken(request.requestId, request.marker, position);
    return formatServerSentEvent(responseObject(request, {choiceObject(request, "delta", token)}));
}

std::string formatStreamEnd(const CompletionRequest &request, const CompletionUsage &usage)
{
    json::object finalEvent = responseObject(request, {});
    finalEvent["usage"] = usageObject(usage);
    return formatServerSentEvent(finalEvent) + "data: [DONE]\n\n";
}

} // namespace cornelshed::standins
