// Tests what is concluded from the end of a connection to a backend server. Guards against partial
// answers that count as complete, requests that may have run and count as not sent, and statuses
// that are no answers.

#include "connectionevidence.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace cornelshed;

namespace {

const std::vector<UploadState> uploads {UploadState::NotBegun, UploadState::Incomplete,
                                        UploadState::Complete};
const std::vector<AnswerFraming> framings {AnswerFraming::Unknown, AnswerFraming::Explicit,
                                           AnswerFraming::Close};
const std::vector<ConnectionEnd> ends {ConnectionEnd::NotConnected, ConnectionEnd::Refused,
                                       ConnectionEnd::Fin,          ConnectionEnd::Lost,
                                       ConnectionEnd::TimedOut,     ConnectionEnd::Invalid,
                                       ConnectionEnd::Abandoned};

} // namespace

TEST_CASE("only a FIN after the whole upload completes an answer, and only one without a length")
{
    for (const UploadState upload : uploads) {
        for (const AnswerFraming framing : framings) {
            for (const ConnectionEnd end : ends) {
                CAPTURE(static_cast<int>(upload));
                CAPTURE(static_cast<int>(framing));
                CAPTURE(static_cast<int>(end));
                const bool isComplete = upload == UploadState::Complete
                        && framing == AnswerFraming::Close && end == ConnectionEnd::Fin;
                CHECK(errorAtEnd({upload, framing}, end).has_value() != isComplete);
            }
        }
    }
}

TEST_CASE("a request counts as sent once some of it may have been written")
{
    for (const AnswerFraming framing : framings) {
        for (const ConnectionEnd end : ends) {
            CAPTURE(static_cast<int>(framing));
            CAPTURE(static_cast<int>(end));
            for (const UploadState upload : {UploadState::Incomplete, UploadState::Complete}) {
                const auto error = errorAtEnd({upload, framing}, end);
                if (error && end != ConnectionEnd::Refused)
                    CHECK(mayHaveBeenSent(*error));
            }
            const auto unsent = errorAtEnd({UploadState::NotBegun, framing}, end);
            REQUIRE(unsent);
            CHECK(mayHaveBeenSent(*unsent) == (end == ConnectionEnd::Abandoned));
        }
    }
}

TEST_CASE("a connection is used again only after a whole upload and an answer with its own end")
{
    for (const UploadState upload : uploads) {
        for (const AnswerFraming framing : framings) {
            CHECK(allowsReuse({upload, framing})
                  == (upload == UploadState::Complete && framing == AnswerFraming::Explicit));
        }
    }
}

TEST_CASE("statuses from 200 to 599 are answers, and 1xx except 101 precede one")
{
    for (std::uint32_t status = 0; status < 1200; ++status) {
        CAPTURE(status);
        const bool isFinal = status >= 200 && status <= 599;
        const bool isInterim = status >= 100 && status <= 199 && status != 101;
        CHECK((kindOf(status) == StatusKind::Final) == isFinal);
        CHECK((kindOf(status) == StatusKind::Interim) == isInterim);
        CHECK((kindOf(status) == StatusKind::Invalid) == (!isFinal && !isInterim));
        CHECK(statusMeansNotRun(status)
              == (status == 408 || status == 421 || status == 429 || status == 503));
    }
}

TEST_CASE("a status line without reason phrase and space is recognised from its first 14 bytes")
{
    const std::string line = "HTTP/1.1 200\r\n";
    for (std::size_t n = 0; n <= line.size(); ++n) {
        CAPTURE(n);
        const StatusLineEnd expected = n == line.size() ? StatusLineEnd::LacksSpace
                : n == line.size() - 1                  ? StatusLineEnd::Undecided
                                                        : StatusLineEnd::Usual;
        CHECK(statusLineEnd(line.substr(0, n)) == expected);
    }
    CHECK(statusLineEnd(line + "Content-Length: 0\r\n\r\n") == StatusLineEnd::LacksSpace);
    for (const std::string other :
         {"HTTP/1.1 200 \r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 20\r\n\r\n", "HTTP/1.1 2000\r\n",
          "HTTP/1.1 2x0\r\n", "HTTP/1.1 200\r\r\n", "HTTP/1.1 200\n\r\n", "HTTQ/1.1 200\r\n",
          "HTTP/11 200\r\n\r\n"})
        CHECK(statusLineEnd(other) == StatusLineEnd::Usual);
}
