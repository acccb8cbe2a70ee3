// Low-discrepancy draws that decide which version of a rollout a request goes to. Random draws can
// exceed a small share by chance: in an experiment with 60 requests/s, a share of 5% reached 7.6%
// before a bad version was rolled back. These draws follow the base-2 radical inverse subtracted
// from 1, so that the number of draws below a share stays close to the share and lags behind it
// rather than exceeding it.

#ifndef CORNELSHED_VERSIONDRAW_H
#define CORNELSHED_VERSIONDRAW_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cornelshed {

class VersionDraws
{
public:
    // Returns the next draw for the route, in (0, 1). Each route has its own sequence, so that the
    // share is also met on rarely used routes.
    double next(std::string_view route);

private:
    std::map<std::string, std::uint32_t, std::less<>> m_drawCounts; // by route
};

} // namespace cornelshed

#endif // CORNELSHED_VERSIONDRAW_H
