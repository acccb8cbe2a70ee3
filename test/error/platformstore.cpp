// Guards against answers of the store that are misread: values, removed rows, lost history,
// conflicts, refusals and lost answers.

#include "platformstore.h"
#include "loopback.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

// One call against a store that answers with the given status and body; status 0: no answer.
class Call
{
public:
    Call(int status, const std::string &body)
        : stub([status, body](const StubRequest &, StubReply &reply) {
              if (status != 0)
                  reply.whole(status, body);
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

const std::string page =
        R"({"rows":[{"table":"op","part":"","key":"k","value":"bm9kZS0x","ver":3},)"
        R"({"table":"op","part":"","key":"gone","ver":4,"removed":true},)"
        R"({"table":"op","part":"","key":"odd","value":"***","ver":5}],)"
        R"("has_more":true,"ver":9,"now_ms":1})";

} // namespace

TEST_CASE("rows are decoded, with what was removed and what is no value")
{
    Call call(200, page);
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

TEST_CASE("changes are read from a version, and lost history is told apart")
{
    Call call(200, page);
    CHECK(std::holds_alternative<RowsPage>(call.changes()));
    CHECK(call.stub.requests()[0].target
          == "/cornelshed/rows-feed?table=servers&after_rev=12&wait_ms=0");
    CHECK(errorOf(Call(410, "").changes()) == RowStoreError::HistoryLost);
}

TEST_CASE("refusals did nothing, lost answers may have")
{
    CHECK(errorOf(Call(503, "").scan()) == RowStoreError::Unavailable);
    CHECK(errorOf(Call(429, "").scan()) == RowStoreError::Unavailable);
    CHECK(errorOf(Call(0, "").scan()) == RowStoreError::Unknown);
    CHECK(errorOf(Call(200, "not json").scan()) == RowStoreError::Unknown);
    CHECK(errorOf(Call(200, "{}").scan()) == RowStoreError::Unknown);
    CHECK(errorOf(Call(200, R"({"rows":[7],"ver":1})").scan()) == RowStoreError::Unknown);
}

TEST_CASE("writes carry their condition, and its failure is told")
{
    Call call(200, R"({"ver":1})");
    CHECK_FALSE(call.put(4).has_value());
    const std::string body = call.stub.requests()[0].body;
    CHECK(body.find(R"("ver":4)") != std::string::npos);
    CHECK(body.find(R"("value":"dmFsdWU=")") != std::string::npos);
    CHECK(Call(412, "{}").put(4) == RowStoreError::Conflict);
    CHECK(Call(0, "").put(std::nullopt) == RowStoreError::Unknown);
}

TEST_CASE("a store that does not listen did nothing")
{
    boost::asio::io_context context;
    PlatformStore store(context, "127.0.0.1", 1, 500ms);
    RowsResult result = RowStoreError::Conflict;
    store.scan(RowTable::Orders, "", [&](RowsResult it) { result = std::move(it); });
    context.run();
    CHECK(errorOf(result) == RowStoreError::Unavailable);
}
