// JSON of completion requests, answers and stream events.

#include "completionformat.h"

#include "answertext.h"

#include <boost/json.hpp>

namespace cornelshed::standins {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : "";
}

std::uint64_t numberOf(const json::object &object, const char *key, std::uint64_t fallback)
{
    const json::value *value = object.if_contains(key);
    return value == nullptr ? fallback : json::value_to<std::uint64_t>(*value);
}

std::string promptOf(const json::object &object)
{
    const json::value *messages = object.if_contains("messages");
    if (messages == nullptr)
        return textOf(object, "prompt");
    std::string prompt;
    for (const json::value &it : messages->as_array())
        prompt += textOf(it.as_object(), "content");
    return prompt;
}

json::object usageObject(const CompletionUsage &usage)
{
    return {{"prompt_tokens", usage.promptTokens},
            {"completion_tokens", usage.completionTokens},
            {"cached_tokens", usage.cachedTokens}};
}

json::object answerObject(const CompletionRequest &request, json::array choices)
{
    return {{"id", "cmpl-" + request.requestId},
            {"object", request.chat ? "chat.completion" : "text_completion"},
            {"model", request.model},
            {"choices", std::move(choices)}};
}

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

std::string formatEvent(const json::object &object)
{
    return "data: " + json::serialize(object) + "\n\n";
}

} // namespace

CompletionRequest parseCompletion(const HttpCall &call)
{
    const json::object body = json::parse(call.body).as_object();
    CompletionRequest request;
    request.requestId = call.header("x-request-id");
    request.model = textOf(body, "model");
    request.prompt = promptOf(body);
    request.marker = findMarker(request.prompt);
    request.chat = call.path == "/v1/chat/completions";
    const json::value *stream = body.if_contains("stream");
    request.stream = stream != nullptr && stream->as_bool();
    request.maximumTokens = numberOf(body, "max_tokens", request.maximumTokens);
    request.resume = body.contains("resume_after");
    request.resumeAfter = numberOf(body, "resume_after", 0);
    return request;
}

std::string formatWhole(const CompletionRequest &request, const CompletionUsage &usage)
{
    std::string text;
    for (std::uint64_t n = request.resumeAfter; n < request.maximumTokens; ++n)
        text += answerToken(request.requestId, request.marker, n);
    json::object choice = choiceObject(request, "message", text);
    choice["finish_reason"] = "length";
    json::object answer = answerObject(request, {std::move(choice)});
    answer["usage"] = usageObject(usage);
    return json::serialize(answer);
}

std::string formatTokenEvent(const CompletionRequest &request, std::uint64_t n)
{
    const std::string token = answerToken(request.requestId, request.marker, n);
    return formatEvent(answerObject(request, {choiceObject(request, "delta", token)}));
}

std::string formatStreamEnd(const CompletionRequest &request, const CompletionUsage &usage)
{
    json::object last = answerObject(request, {});
    last["usage"] = usageObject(usage);
    return formatEvent(last) + "data: [DONE]\n\n";
}

} // namespace cornelshed::standins
