// A gateway's messages to the admission agents beside backend servers: carries the scheduler's asks
// and releases to them, their grants back, and renews what runs. Runs on the traffic thread.

#ifndef CORNELSHED_AGENTLINK_H
#define CORNELSHED_AGENTLINK_H

#include "backendrecord.h"
#include "directscheduler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

class AgentLink
{
public:
    // agentPort: of the agents on all hosts; 0: there are none. granted is called after the
    // scheduler was told of a grant. The scheduler must outlive the link.
    AgentLink(boost::asio::io_context &context, DirectScheduler &scheduler,
              std::uint64_t gatewayIncarnation, std::uint16_t agentPort,
              std::function<void()> granted);
    ~AgentLink();
    AgentLink(const AgentLink &) = delete;
    AgentLink &operator=(const AgentLink &) = delete;

    // Receives the agents' answers. Returns what went wrong, if anything.
    std::optional<std::string> open(const std::string &address, std::uint16_t port);

    void setBackends(const std::vector<BackendRecord> &backends);

    void ask(const AskAction &action, Instant now);
    void release(const ReleaseAction &action);

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTLINK_H
