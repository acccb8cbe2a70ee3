// Blocking access to the platform for command-line programs. Owns the platform client and its event
// loop.

#ifndef CORNELSHED_PLATFORMSESSION_H
#define CORNELSHED_PLATFORMSESSION_H

#include "blockingtable.h"
#include "platformclient.h"

#include <memory>
#include <vector>

namespace cornelshed {

class PlatformSession
{
public:
    explicit PlatformSession(const PlatformSettings &settings);
    ~PlatformSession();

    BlockingTable &table();
    Result<std::vector<PlatformHost>, TableError> hosts();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_PLATFORMSESSION_H
