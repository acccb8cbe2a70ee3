// Tests of the parsing of callers' requests. They guard against framing that makes the reader hold
// more than its limits, and against results that depend on how the bytes are split.

#include "requestreader.h"

#include <boost/beast/http/error.hpp>
#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cornelshed;
using Status = RequestReader::Status;
namespace http = boost::beast::http;

namespace {

constexpr RequestReaderLimits limits {1024, 4096};
constexpr std::size_t largestPartBytes = 16384;

const std::string chunkedHead = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

// Passes the bytes in parts of this size, until the request is complete or fails.
Status addInParts(RequestReader &reader, std::string_view bytes, std::size_t partBytes)
{
    Status status = Status::NeedsMore;
    while (!bytes.empty()) {
        const std::string_view part = bytes.substr(0, partBytes);
        bytes.remove_prefix(part.size());
        status = reader.add(part);
        if (status == Status::HeadReceived)
            status = reader.add({});
        if (status != Status::NeedsMore)
            return status;
    }
    return status;
}

Status read(const std::string &bytes, std::size_t partBytes, boost::system::error_code *error)
{
    RequestReader reader(limits);
    reader.begin();
    const Status status = addInParts(reader, bytes, partBytes);
    *error = reader.error();
    // Twice the body, the input that is not parsed, and the head.
    CHECK(reader.heldBytes() <= 2 * limits.bodyBytes + largestPartBytes + limits.headBytes * 25);
    return status;
}

std::string chunks(std::size_t count, const std::string &extension)
{
    std::string text;
    for (std::size_t n = 0; n < count; ++n)
        text += "1" + extension + "\r\nx\r\n";
    return text;
}

} // namespace

TEST_CASE("a request is the same however its bytes are split, and the next one is kept")
{
    const std::string next = "GET /b HTTP/1.1\r\nX: y\r\n\r\n";
    for (const std::string &body :
         {std::string("Content-Length: 5\r\n\r\nhello"),
          std::string("Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nT: "
                      "1\r\n\r\n")}) {
        std::string all = "POST /a HTTP/1.1\r\nHost: h\r\n";
        all += body;
        all += next;
        for (std::size_t partBytes = 1; partBytes < 150; ++partBytes) {
            CAPTURE(partBytes);
            RequestReader reader(limits);
            reader.begin();
            std::string_view bytes = all;
            Status status = Status::NeedsMore;
            while (status == Status::NeedsMore && !bytes.empty()) {
                const std::string_view part = bytes.substr(0, partBytes);
                bytes.remove_prefix(part.size());
                status = addInParts(reader, part, part.size());
            }
            REQUIRE(status == Status::Complete);
            CHECK(reader.message().target() == "/a");
            CHECK(reader.takeBody() == "hello");
            reader.endRequest();
            reader.begin();
            status = reader.add(bytes);
            REQUIRE(status == Status::HeadReceived);
            CHECK(reader.message().target() == "/b");
            CHECK(reader.add({}) == Status::Complete);
            reader.endRequest();
            CHECK_FALSE(reader.hasInput());
        }
    }
}

TEST_CASE("limits of the head, the body and the framing")
{
    struct Case
    {
        std::string bytes;
        Status status;
        http::error error;
    };
    const std::string many(1000, 'x');
    const std::vector<Case> cases {
            {"POST /a HTTP/1.1\r\nX: " + many + many, Status::Failed, http::error::header_limit},
            {"POST /a HTTP/1.1\r\nX: " + many + "\r\n\r\n", Status::Failed,
             http::error::header_limit},
            {"POST /a HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", Status::Failed,
             http::error::body_limit},
            {chunkedHead + "1001\r\n", Status::Failed, http::error::body_limit},
            {chunkedHead + chunks(4097, ""), Status::Failed, http::error::body_limit},
            {chunkedHead + chunks(4096, "") + "0\r\n\r\n", Status::Complete, http::error {}},
            // Extensions and trailers without an end.
            {chunkedHead + "1;a=" + many + many, Status::Failed, http::error::header_limit},
            {chunkedHead + "0\r\nT: " + many + "\r\nT: " + many, Status::Failed,
             http::error::header_limit},
            // Extensions of reasonable size, but far more of them than of the body.
            {chunkedHead + chunks(4096, ";a=" + many.substr(0, 100)), Status::Failed,
             http::error::bad_chunk},
    };
    for (const Case &it : cases) {
        for (const std::size_t partBytes : {std::size_t {7}, largestPartBytes}) {
            CAPTURE(it.bytes.substr(0, 80));
            CAPTURE(partBytes);
            boost::system::error_code error;
            CHECK(read(it.bytes, partBytes, &error) == it.status);
            if (it.status == Status::Failed)
                CHECK(error == it.error);
        }
    }
}

TEST_CASE("the cost covers the headers, the body twice and what is not parsed")
{
    RequestReader reader(limits);
    reader.begin();
    std::string head = "POST /a HTTP/1.1\r\nContent-Length: 100\r\n";
    for (int n = 0; n < 50; ++n)
        head += "a:\r\n";
    head += "\r\n";
    REQUIRE(reader.add(head) == Status::HeadReceived);
    CHECK(reader.heldBytes() >= head.size() + 50 * std::size_t {96});
    CHECK(reader.expectedBytes() == reader.heldBytes() + 200);
    CHECK(reader.add(std::string(60, 'x')) == Status::NeedsMore);
    CHECK(reader.expectedBytes() == reader.heldBytes() + 80);
    CHECK(reader.bodyWireBytes() == 60);
}
