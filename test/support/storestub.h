// The platform's store as a small server: versioned rows, conditional writes, a change feed, and
// returns from older copies. The functions may be called from any thread.

#ifndef CORNELSHED_TEST_STORESTUB_H
#define CORNELSHED_TEST_STORESTUB_H

#include "inmemoryrowstore.h"
#include "loopback.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace cornelshed::testing {

class StoreStub
{
public:
    StoreStub();

    std::uint16_t port() const { return m_server.port(); }
    std::vector<StubRequest> requests() const { return m_server.requests(); }

    void set(RowTable table, const std::string &key, const std::string &value);
    void keepCopy();

    // From now on calls get 503, until the store returns.
    void goAway();
    void returnFromCopy();

private:
    void handle(const StubRequest &request, StubReply &reply);
    std::string read(const std::string &target, int &status);
    std::string write(const std::string &body, int &status);

    std::mutex m_mutex;     // guards the members below
    StoreContent m_content; // with the values as in responses
    bool m_isAway = false;
    BackendStub m_server; // uses the members above
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_STORESTUB_H
