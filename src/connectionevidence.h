// Decides what the end of a connection to a backend server, and the bytes that came before it,
// prove: whether the request may have run, whether the answer is complete, and which statuses are
// answers. The gateway and the agent both rely on it through BackendClient.

#ifndef CORNELSHED_CONNECTIONEVIDENCE_H
#define CORNELSHED_CONNECTIONEVIDENCE_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace cornelshed {

// Why an exchange has no complete answer.
enum class BackendError {
    NotSent,   // not connected; no byte of the request was written
    Refused,   // the same, and the host says that nothing listens at the address
    Cut,       // the connection was lost; the request may have run
    Malformed, // the response is not valid HTTP, or its end looks the same as a lost connection
    TimedOut,  // after the request was sent; it may have run
    Abandoned  // cancelled by abandon()
};

// Whether some of the request may have been written.
inline bool mayHaveBeenSent(BackendError error)
{
    return error != BackendError::NotSent && error != BackendError::Refused;
}

enum class UploadState : std::uint8_t {
    NotBegun,   // no byte of the request was written
    Incomplete, // some of it may have been written; also after a write error
    Complete    // all of it was written, and the server's host has acknowledged it
};

// What ends the body of the answer.
enum class AnswerFraming : std::uint8_t {
    Unknown,  // the head is not complete
    Explicit, // a length, chunks, or a status or method without a body
    Close     // the end of the connection
};

enum class ConnectionEnd : std::uint8_t {
    NotConnected, // the attempt to connect failed, or took too long
    Refused,      // the host refused the connection
    Fin,          // the server closed its sending side; without an error of the connection
    Lost,         // reset, or another error
    TimedOut,
    Invalid,  // the server sent what is not valid HTTP or cannot be attributed to the request
    Abandoned // by this side
};

struct ConnectionEvidence
{
    UploadState upload = UploadState::NotBegun;
    AnswerFraming framing = AnswerFraming::Unknown;

    bool operator==(const ConnectionEvidence &) const = default;
};

// The error of an exchange whose connection ends before an explicit end of its answer; nullopt: the
// answer is complete.
std::optional<BackendError> errorAtEnd(const ConnectionEvidence &evidence, ConnectionEnd end);

// Whether the connection can carry another request once the answer is complete. After an early
// answer, the server may read the rest of the upload as its next request.
inline bool allowsReuse(const ConnectionEvidence &evidence)
{
    return evidence.upload == UploadState::Complete && evidence.framing == AnswerFraming::Explicit;
}

enum class StatusKind : std::uint8_t {
    Interim, // precedes the answer on the same connection
    Final,
    Invalid // not a status, or one that this side never asks for (101)
};

StatusKind kindOf(std::uint32_t status);

// Statuses that tell callers that a request has not run. If a backend server sends one of them
// without a further statement that it did not run the request, the status must not be passed on.
bool statusMeansNotRun(std::uint32_t status);

enum class StatusLineEnd : std::uint8_t {
    Usual,      // or invalid, or not yet received
    Undecided,  // the next byte decides
    LacksSpace, // "HTTP/1.1 200" and the line end: neither a reason phrase nor the space before it
};

// Position of the space that StatusLineEnd::LacksSpace misses.
constexpr std::size_t statusLineSpaceAt = 12;

// received: the first bytes of a response.
StatusLineEnd statusLineEnd(std::string_view received);

} // namespace cornelshed

#endif // CORNELSHED_CONNECTIONEVIDENCE_H
