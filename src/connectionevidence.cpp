// Rules for broken connections, statuses and status lines.

#include "connectionevidence.h"

#include <algorithm>

namespace cornelshed {

namespace {

constexpr std::uint32_t switchingProtocols = 101;
constexpr std::string_view statusLinePattern = "HTTP/d.d ddd\r\n";

} // namespace

std::optional<BackendError> errorAtEnd(const ConnectionEvidence &evidence, ConnectionEnd end)
{
    if (end == ConnectionEnd::Abandoned)
        return BackendError::Abandoned;
    if (end == ConnectionEnd::Refused)
        return BackendError::Refused;
    if (evidence.upload == UploadState::NotBegun)
        return BackendError::NotSent;
    switch (end) {
    case ConnectionEnd::TimedOut:
        return BackendError::TimedOut;
    case ConnectionEnd::Invalid:
        return BackendError::Malformed;
    case ConnectionEnd::Fin:
        // A server that closes the connection while the request is being written has not answered
        // it, or the connection is reset next, which a failed write may have hidden from the read.
        if (evidence.framing == AnswerFraming::Close && evidence.upload == UploadState::Complete)
            return std::nullopt;
        return BackendError::Cut;
    default:
        return BackendError::Cut;
    }
}

StatusKind kindOf(std::uint32_t status)
{
    if (status < 100 || status >= 600 || status == switchingProtocols)
        return StatusKind::Invalid;
    return status < 200 ? StatusKind::Interim : StatusKind::Final;
}

bool statusMeansNotRun(std::uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

StatusLineEnd statusLineEnd(std::string_view received)
{
    if (received.size() <= statusLineSpaceAt)
        return StatusLineEnd::Usual;
    const std::size_t n = std::min(received.size(), statusLinePattern.size());
    for (std::size_t at = 0; at < n; ++at) {
        const bool isDigit = received[at] >= '0' && received[at] <= '9';
        if (statusLinePattern[at] == 'd' ? !isDigit : received[at] != statusLinePattern[at])
            return StatusLineEnd::Usual;
    }
    return n == statusLinePattern.size() ? StatusLineEnd::LacksSpace : StatusLineEnd::Undecided;
}

} // namespace cornelshed
