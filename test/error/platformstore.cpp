// Responses of the store must be interpreted correctly: values, removed rows, lost history,
// conflicts, rejected calls and missing responses.

#include "platformstore.h"
#include "loopback.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

// One call to a stub store that responds with the given status and body. Status 0: it closes the
// connection without a response.
class StubbedCall
{
public:
    StubbedCall(int status, const std::string &body)
        : stub([status, body](const StubRequest &, StubReply &reply) {
              if (status != 0)
                  reply.sendResponse(status, body);
              else
                  reply.close();
          }),
          store(context, "127.0.0.1", stub.port(), 500ms)
    { }

    RowsResult scan()
    {
        RowsResult result = RowStoreError::Conflict;
        store.scan(RowTable::Orders, "a b", [&](RowsResult it) { result = std::move(it); });
        context.run();
        return result;
    }

    RowsResult changes()
    {
        RowsResult result = RowStoreError::Conflict;
        store.changes(RowTable::Backends, 12, 0ms, [&](RowsResult it) { result = std::move(it); });
        context.run();
        return result;
    }

    std::optional<RowStoreError> put(std::optional<std::uint64_t> expected)
    {
        std::optional<RowStoreError> result = RowStoreError::Conflict;
        store.put(RowTable::Gateways, "g", "value", expected,
                  [&](std::optional<RowStoreError> it) { result = it; });
        context.run();
        return result;
    }

    boost::asio::io_context context;
    BackendStub stub;
    PlatformStore store;
};

RowStoreError errorOf(const RowsResult &result)
{
    REQUIRE(std::holds_alternative<RowStoreError>(result));
    return std::get<RowStoreError>(result);
}

const std::string pageJson =
        R"({"rows":[{"table":"op","part":"","key":"k","value":"bm9kZS0x","ver":3},)"
        R"({"table":"op","part":"","key":"gone","ver":4,"removed":true},)"
        R"({"table":"op","part":"","key":"odd","value":"***","ver":5}],)"
        R"("has_more":true,"ver":9,"now_ms":1})";

} // namespace

TEST_CASE("rows are decoded, including removed rows and invalid values")
{
    StubbedCall call(200, pageJson);
    const auto result = call.scan();
    REQUIRE(std::holds_alternative<RowsPage>(result));
    const auto &rows = std::get<RowsPage>(result);
    CHECK(rows.version == 9);
    CHECK(rows.more);
    REQUIRE(rows.rows.size() == 3);
    CHECK(rows.rows[0] == StoredRow {"k", "node-1", 3, false});
    CHECK(rows.rows[1] == StoredRow {"gone", "", 4, true});
    CHECK(rows.rows[2].value.empty());
    CHECK(call.stub.requests()[0].target == "/cornelshed/rows-get?table=op&part=&from=a%20b");
}

TEST_CASE("changes are read from a version, and lost history is a distinct error")
{
    StubbedCall call(200, pageJson);
    CHECK(std::holds_alternative<RowsPage>(call.changes()));
    CHECK(call.stub.requests()[0].target
          == "/cornelshed/rows-feed?table=servers&after_rev=12&wait_ms=0");
    CHECK(errorOf(StubbedCall(410, "").changes()) == RowStoreError::HistoryLost);
}

TEST_CASE("rejected calls are Unavailable, missing or invalid responses are Unknown")
{
    CHECK(errorOf(StubbedCall(503, "").scan()) == RowStoreError::Unavailable);
    CHECK(errorOf(StubbedCall(429, "").scan()) == RowStoreError::Unavailable);
    CHECK(errorOf(StubbedCall(0, "").scan()) == RowStoreError::Unknown);
    CHECK(errorOf(StubbedCall(200, "not json").scan()) == RowStoreError::Unknown);
    CHECK(errorOf(StubbedCall(200, "{}").scan()) == RowStoreError::Unknown);
    CHECK(errorOf(StubbedCall(200, R"({"rows":[7],"ver":1})").scan()) == RowStoreError::Unknown);
}

TEST_CASE("writes carry their expected version, and a mismatch is a conflict")
{
    StubbedCall call(200, R"({"ver":1})");
    CHECK_FALSE(call.put(4).has_value());
    const std::string body = call.stub.requests()[0].body;
    CHECK(body.find(R"("ver":4)") != std::string::npos);
    CHECK(body.find(R"("value":"dmFsdWU=")") != std::string::npos);
    CHECK(StubbedCall(412, "{}").put(4) == RowStoreError::Conflict);
    CHECK(StubbedCall(0, "").put(std::nullopt) == RowStoreError::Unknown);
}

// Guards against a return of the store that goes unnoticed since an answer was an error.
TEST_CASE("the era is passed on from answers of every status, and only if it is a whole number")
{
    const auto eraOf = [](int status, const std::string &header) {
        BackendStub stub([&](const StubRequest &, StubReply &reply) {
            const std::string body = R"({"rows":[],"ver":9,"now_ms":1})";
            reply.send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + header
                       + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        });
        boost::asio::io_context context;
        PlatformStore store(context, "127.0.0.1", stub.port(), 500ms);
        std::optional<std::uint64_t> heard;
        std::optional<std::uint64_t> ofPage;
        bool answered = false;
        store.setEraHandler([&](std::uint64_t era) {
            CHECK_FALSE(answered);
            heard = era;
        });
        store.scan(RowTable::Orders, "", [&](const RowsResult &it) {
            answered = true;
            if (const auto *page = std::get_if<RowsPage>(&it))
                ofPage = page->era;
        });
        context.run();
        CHECK(answered);
        if (status == 200)
            CHECK(ofPage == heard);
        return heard;
    };
    for (const int status : {200, 410, 412, 429, 503})
        CHECK(eraOf(status, "Store-Era: 7\r\n") == 7);
    CHECK(eraOf(200, "store-era: 18446744073709551615\r\n") == UINT64_MAX);
    for (const std::string header : {"", "Store-Era: \r\n", "Store-Era: x\r\n", "Store-Era: -1\r\n",
                                     "Store-Era: 7 8\r\n", "Store-Era: 18446744073709551616\r\n"})
        CHECK_FALSE(eraOf(200, header).has_value());
}

TEST_CASE("a refused connection is Unavailable")
{
    boost::asio::io_context context;
    PlatformStore store(context, "127.0.0.1", 1, 500ms);
    RowsResult result = RowStoreError::Conflict;
    store.scan(RowTable::Orders, "", [&](RowsResult it) { result = std::move(it); });
    context.run();
    CHECK(errorOf(result) == RowStoreError::Unavailable);
}

// Guards against a store whose responses never end and fill the memory of the gateway until the
// time limit of the call, which a waiting read may put off for long.
TEST_CASE("a response with a chunk line or a trailer section without end ends the call")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &start : {head + "5;", head + "0\r\nX-Filler: "}) {
        CAPTURE(start);
        boost::asio::io_context context;
        BackendStub stub([&](const StubRequest &, StubReply &reply) {
            reply.send(start);
            reply.sendUntilClosed(std::string(4000, 'x'), 10us);
        });
        PlatformStore store(context, "127.0.0.1", stub.port(), 3s);
        RowsResult result = RowStoreError::Conflict;
        const auto calledAt = std::chrono::steady_clock::now();
        store.scan(RowTable::Orders, "", [&](RowsResult it) { result = std::move(it); });
        context.run();
        CHECK(std::chrono::steady_clock::now() - calledAt < 2s);
        CHECK(errorOf(result) == RowStoreError::Unknown);
    }
}
