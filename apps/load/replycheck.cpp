// Classifies replies by HTTP status, outcome header and the text that the engine stand-in derives
// from the request.

#include "replycheck.h"

#include "completiontext.h"

#include <boost/json.hpp>

namespace cornelshed::load {

namespace json = boost::json;
using standins::CompletionCheck;
using standins::HttpClientResponse;
using standins::HttpTransportResult;

namespace {

// Content collected from the events of a streamed completion or from a single response body.
struct Answer
{
    std::string requestId;
    std::string text;
    bool complete = false;      // the last event of the stream or a single body was received
    bool hasSeveralIds = false; // events with different request ids
    std::string errorEventData; // data field of "event: error"; empty if there was none
};

void addCompletion(const json::object &body, Answer &answer)
{
    const std::string id = json::value_to<std::string>(body.at("id"));
    const std::string prefix = "cmpl-";
    const std::string requestId = id.substr(std::min(prefix.size(), id.size()));
    answer.hasSeveralIds |= !answer.requestId.empty() && answer.requestId != requestId;
    answer.requestId = requestId;
    for (const json::value &value : body.at("choices").as_array()) {
        const json::object &choice = value.as_object();
        if (const json::value *text = choice.if_contains("text"))
            answer.text += json::value_to<std::string>(*text);
        for (const char *key : {"message", "delta"}) {
            if (const json::value *part = choice.if_contains(key))
                answer.text += json::value_to<std::string>(part->as_object().at("content"));
        }
    }
}

void addEvent(const std::string &event, Answer &answer)
{
    const std::string dataField = "data: ";
    const std::size_t begin = event.find(dataField);
    if (begin == std::string::npos)
        return;
    const std::string data = event.substr(begin + dataField.size());
    if (event.find("event: error") != std::string::npos)
        answer.errorEventData = data;
    else if (data == "[DONE]")
        answer.complete = true;
    else
        addCompletion(json::parse(data).as_object(), answer);
}

Answer parseStream(const std::string &body)
{
    Answer answer;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = body.find("\n\n", begin);
        if (end == std::string::npos)
            return answer;
        addEvent(body.substr(begin, end - begin), answer);
        begin = end + 2;
    }
}

// Returns the named string field of the "error" object, or an empty string.
std::string errorField(const std::string &body, const char *field)
{
    boost::system::error_code ec;
    const json::value value = json::parse(body, ec);
    if (ec || !value.is_object())
        return {};
    const json::value *error = value.as_object().if_contains("error");
    if (error == nullptr || !error->is_object())
        return {};
    const json::value *found = error->as_object().if_contains(field);
    return found != nullptr && found->is_string() ? json::value_to<std::string>(*found) : "";
}

ReplyClassification classifyErrorReply(const std::string &body, const std::string &outcome,
                                       unsigned status)
{
    const std::string type = errorField(body, "type");
    const std::string code = errorField(body, "code");
    if (type == "not_run" && (outcome.empty() || outcome == "not_run"))
        return {Outcome::NotRun, code};
    if (type == "outcome_unknown")
        return {Outcome::Unknown, code};
    if (outcome == "answered" && status >= 500)
        return {Outcome::ServerError, code};
    if (status >= 400 && status < 500)
        return {Outcome::Rejected, code};
    return {Outcome::ServerError, code};
}

ReplyClassification classifyCompletion(const Answer &answer, const std::string &marker,
                                       std::uint64_t tokens)
{
    if (!answer.errorEventData.empty())
        return {Outcome::Unknown, errorField(answer.errorEventData, "code")};
    if (answer.hasSeveralIds)
        return {Outcome::MixedUp, ""};
    const CompletionCheck check =
            standins::checkCompletionText(answer.text, answer.requestId, marker, tokens);
    if (check == CompletionCheck::MixedUp)
        return {Outcome::MixedUp, ""};
    if (check == CompletionCheck::Truncated || !answer.complete)
        return {Outcome::Truncated, ""};
    return {Outcome::InTime, ""};
}

ReplyClassification classifyOrderReply(const std::string &marker, const std::string &key,
                                       const std::string &body)
{
    const json::object answer = json::parse(body).as_object();
    const bool matches = json::value_to<std::string>(answer.at("marker")) == marker
            && json::value_to<std::string>(answer.at("idempotency_key")) == key;
    return {matches ? Outcome::InTime : Outcome::MixedUp, ""};
}

ReplyClassification classifyBody(const PlannedRequest &request, const std::string &marker,
                                 const std::string &idempotencyKey, const std::string &body)
{
    if (request.kind == RequestKind::Order)
        return classifyOrderReply(marker, idempotencyKey, body);
    if (request.kind == RequestKind::Streaming)
        return classifyCompletion(parseStream(body), marker, request.outputTokens);
    Answer answer;
    addCompletion(json::parse(body).as_object(), answer);
    answer.complete = true;
    return classifyCompletion(answer, marker, request.outputTokens);
}

} // namespace

ReplyClassification classifyReply(const PlannedRequest &request, const std::string &marker,
                                  const std::string &idempotencyKey,
                                  const HttpClientResponse &reply)
{
    switch (reply.transport) {
    case HttpTransportResult::ConnectFailed:
        return {Outcome::Unsent, ""};
    case HttpTransportResult::Broken:
        return {Outcome::Broken, ""};
    case HttpTransportResult::TimedOut:
        return {Outcome::Lost, ""};
    case HttpTransportResult::Complete:
        break;
    }
    if (reply.status != 200)
        return classifyErrorReply(reply.body, reply.outcome, reply.status);
    try {
        return classifyBody(request, marker, idempotencyKey, reply.body);
    } catch (const std::exception &) {
        // The body is not in the format of any stand-in's answer.
        return {Outcome::MixedUp, ""};
    }
}

} // namespace cornelshed::load
