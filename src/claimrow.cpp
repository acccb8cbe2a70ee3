// Row format: fields separated by single spaces: state, incarnation, sequence, body digest, and for
// a finished request also status, content type and body. Content type and body are percent-encoded.

#include "claimrow.h"

#include <charconv>
#include <string_view>
#include <vector>

namespace cornelshed::detail {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

bool needsNoEscape(char it)
{
    return it > ' ' && it < 0x7f && it != '%' && it != '/';
}

std::string escaped(const std::string &text)
{
    std::string result;
    result.reserve(text.size());
    for (const char it : text) {
        if (needsNoEscape(it)) {
            result += it;
            continue;
        }
        const auto byte = static_cast<unsigned char>(it);
        result += '%';
        result += hexDigits[byte >> 4U];
        result += hexDigits[byte & 0xfU];
    }
    return result;
}

std::optional<std::string> unescaped(std::string_view text)
{
    std::string result;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            result += text[n];
            continue;
        }
        if (n + 2 >= text.size())
            return std::nullopt;
        const auto high = hexDigits.find(text[n + 1]);
        const auto low = hexDigits.find(text[n + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        result += static_cast<char>(high * 16 + low);
        n += 2;
    }
    return result;
}

std::vector<std::string_view> splitFields(std::string_view text)
{
    std::vector<std::string_view> fields;
    while (true) {
        const auto at = text.find(' ');
        fields.push_back(text.substr(0, at));
        if (at == std::string_view::npos)
            return fields;
        text.remove_prefix(at + 1);
    }
}

template<typename Number> bool parseNumber(std::string_view text, Number &value)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::optional<StoredResponse> parseAnswer(const std::vector<std::string_view> &fields)
{
    StoredResponse answer;
    const auto contentType = unescaped(fields[5]);
    const auto body = unescaped(fields[6]);
    if (!parseNumber(fields[4], answer.status) || !contentType.has_value() || !body.has_value())
        return std::nullopt;
    answer.contentType = *contentType;
    answer.body = *body;
    return answer;
}

} // namespace

std::string formatClaimRow(const ClaimRow &row)
{
    std::string text = row.state == ClaimState::Open ? "open"
            : row.state == ClaimState::Released      ? "released"
                                                     : "finished";
    text += ' ' + std::to_string(row.request.entryIncarnation);
    text += ' ' + std::to_string(row.request.sequence);
    text += ' ' + std::to_string(row.bodyDigest);
    if (row.state == ClaimState::Finished) {
        text += ' ' + std::to_string(row.answer.status);
        text += ' ' + escaped(row.answer.contentType);
        text += ' ' + escaped(row.answer.body);
    }
    return text;
}

std::optional<ClaimRow> parseClaimRow(const std::string &value)
{
    const std::vector<std::string_view> fields = splitFields(value);
    const bool finished = fields.front() == "finished";
    if (fields.size() != (finished ? 7U : 4U))
        return std::nullopt;
    if (!finished && fields.front() != "open" && fields.front() != "released")
        return std::nullopt;
    ClaimRow row;
    if (!parseNumber(fields[1], row.request.entryIncarnation)
        || !parseNumber(fields[2], row.request.sequence) || !parseNumber(fields[3], row.bodyDigest))
        return std::nullopt;
    if (fields.front() == "released")
        row.state = ClaimState::Released;
    if (!finished)
        return row;
    const auto answer = parseAnswer(fields);
    if (!answer.has_value())
        return std::nullopt;
    row.state = ClaimState::Finished;
    row.answer = *answer;
    return row;
}

std::string claimRowKey(const ClaimKey &key)
{
    return "claim/" + escaped(key.organisation) + "/" + escaped(key.idempotencyKey);
}

} // namespace cornelshed::detail
