// The platform's HTTP interface over a TableModel, in the test's own process.

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
    ModelPlatform(); // on a free port of the loopback address
    ~ModelPlatform();

    std::uint16_t port() const;
    PlatformSettings settings() const;
    void setHosts(const std::vector<PlatformHost> &hosts);
    void setLoseAnswers(bool lose); // transactions take effect, and the connection is closed
    void setTableDown(bool down); // the table and the objects refuse calls; the host list is served

private:
    class Private;
    std::unique_ptr<Private> d;
};

// A port of the loopback address that nobody listened on when it was drawn.
std::uint16_t freePort();

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_MODELPLATFORM_H
