// A gateway's client of the admission agents, which run on the hosts of backend servers. Sends the
// scheduler's slot requests and releases to the agents, passes their answers to the scheduler, and
// renews the leases on the slots of running requests. Runs on the traffic thread.

#ifndef CORNELSHED_ADMISSIONCLIENT_H
#define CORNELSHED_ADMISSIONCLIENT_H

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

class AdmissionClient
{
public:
    // agentPort is the UDP port of the agents, the same on all hosts; 0 if there are no agents.
    // onActionsDue is called after each message that gave the scheduler something to do: a grant,
    // or the answer that a backend server is down. The scheduler must outlive this object.
    AdmissionClient(boost::asio::io_context &context, DirectScheduler &scheduler,
                    std::uint64_t gatewayIncarnation, std::uint16_t agentPort,
                    std::function<void()> onActionsDue);
    ~AdmissionClient();
    AdmissionClient(const AdmissionClient &) = delete;
    AdmissionClient &operator=(const AdmissionClient &) = delete;

    // Opens the UDP socket at the address and starts to renew leases. Returns an error message on
    // failure.
    std::optional<std::string> open(const std::string &address, std::uint16_t port);

    // Replaces the backend servers whose hosts may run an agent.
    void setBackends(const std::vector<BackendRecord> &backends);

    // Send nothing before open(), or if there is no agent address for the backend server.
    void requestSlot(const RequestSlotAction &action, Instant now);
    void release(const ReleaseSlotAction &action);

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_ADMISSIONCLIENT_H
