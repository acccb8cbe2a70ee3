// Finds in the logs of gateways the crashes of backend servers because of which a prompt was
// refused. The requests under which they crashed are in the logs of the gateways that sent them.

#ifndef CORNELSHED_PROMPTCRASHLOG_H
#define CORNELSHED_PROMPTCRASHLOG_H

#include "logevent.h"

#include <string>
#include <utility>
#include <vector>

namespace cornelshed {

class PromptCrashLog
{
public:
    // Keeps the event if it may be needed.
    void add(const std::string &source, const LogEvent &event);

    // Describes the crashes that led to this prompt_refused event of the source; empty if the
    // source does not have the quarantine.
    std::string text(const std::string &source, const LogEvent &refused) const;

private:
    std::vector<std::pair<std::string, LogEvent>> m_quarantines; // with their source
    std::vector<std::pair<std::string, LogEvent>> m_cuts;
};

} // namespace cornelshed

#endif // CORNELSHED_PROMPTCRASHLOG_H
