// HTTP server with the platform's interface inside the test process; its table is a TableModel.

#ifndef CORNELSHED_TEST_MODELPLATFORM_H
#define CORNELSHED_TEST_MODELPLATFORM_H

#include "platformclient.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace cornelshed::testing {

class ModelPlatform
{
public:
    ModelPlatform(); // listens on a free port of the loopback address
    ~ModelPlatform();

    std::uint16_t port() const;
    PlatformSettings settings() const;
    void setHosts(const std::vector<PlatformHost> &hosts);

    // While set, transactions are committed but their connection is closed without an answer.
    void setLoseAnswers(bool lose);

    // While set, calls to the table and to stored objects fail with status 503; the host list is
    // still served.
    void setTableDown(bool down);

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Returns a loopback port that was free at the time of the call; another process may take it before
// the caller binds it.
std::uint16_t freePort();

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_MODELPLATFORM_H
