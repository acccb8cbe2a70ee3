// Judgement of replies by status, outcome header and the text that the engine stand-in derives from
// the request.

#include "replycheck.h"

#include "answertext.h"

#include <boost/json.hpp>

namespace cornelshed::load {

namespace json = boost::json;
using standins::AnswerCheck;
using standins::HttpClientReply;
using standins::HttpTransport;

namespace {

// What a completion's events or whole body contain.
struct Answer
{
    std::string requestId;
    std::string text;
    bool done = false; // the stream's last event, or a whole body
    bool severalIds = false;
    std::string errorEvent; // data of "event: error"
};

void addCompletion(const json::object &body, Answer &answer)
{
    const std::string id = json::value_to<std::string>(body.at("id"));
    const std::string prefix = "cmpl-";
    const std::string requestId = id.substr(std::min(prefix.size(), id.size()));
    answer.severalIds |= !answer.requestId.empty() && answer.requestId != requestId;
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
        answer.errorEvent = data;
    else if (data == "[DONE]")
        answer.done = true;
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

ReplyVerdict judgeError(const std::string &body, const std::string &outcome, unsigned status)
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

ReplyVerdict judgeAnswer(const Answer &answer, const std::string &marker, std::uint64_t tokens)
{
    if (!answer.errorEvent.empty())
        return {Outcome::Unknown, errorField(answer.errorEvent, "code")};
    if (answer.severalIds)
        return {Outcome::MixedUp, ""};
    const AnswerCheck check = standins::checkAnswer(answer.text, answer.requestId, marker, tokens);
    if (check == AnswerCheck::MixedUp)
        return {Outcome::MixedUp, ""};
    if (check == AnswerCheck::Truncated || !answer.done)
        return {Outcome::Truncated, ""};
    return {Outcome::InTime, ""};
}

ReplyVerdict judgeOrder(const std::string &marker, const std::string &key, const std::string &body)
{
    const json::object answer = json::parse(body).as_object();
    const bool own = json::value_to<std::string>(answer.at("marker")) == marker
            && json::value_to<std::string>(answer.at("idempotency_key")) == key;
    return {own ? Outcome::InTime : Outcome::MixedUp, ""};
}

ReplyVerdict judgeBody(const PlannedRequest &request, const std::string &marker,
                       const std::string &idempotencyKey, const std::string &body)
{
    if (request.kind == RequestKind::Order)
        return judgeOrder(marker, idempotencyKey, body);
    if (request.kind == RequestKind::Stream)
        return judgeAnswer(parseStream(body), marker, request.outputTokens);
    Answer answer;
    addCompletion(json::parse(body).as_object(), answer);
    answer.done = true;
    return judgeAnswer(answer, marker, request.outputTokens);
}

} // namespace

ReplyVerdict judgeReply(const PlannedRequest &request, const std::string &marker,
                        const std::string &idempotencyKey, const HttpClientReply &reply)
{
    switch (reply.transport) {
    case HttpTransport::ConnectFailed:
        return {Outcome::Unsent, ""};
    case HttpTransport::Broken:
        return {Outcome::Broken, ""};
    case HttpTransport::TimedOut:
        return {Outcome::Lost, ""};
    case HttpTransport::Complete:
        break;
    }
    if (reply.status != 200)
        return judgeError(reply.body, reply.outcome, reply.status);
    try {
        return judgeBody(request, marker, idempotencyKey, reply.body);
    } catch (const std::exception &) {
        // Not the form of any answer of the stand-ins.
        return {Outcome::MixedUp, ""};
    }
}

} // namespace cornelshed::load
