// Model of many entry daemons that distribute the accepted configuration among each other, in
// virtual time: messages are lost, duplicated and delayed, calls to the platform fail, and daemons
// crash. It drives the real ConfigurationPropagation.

#ifndef CORNELSHED_PROPAGATIONMODEL_H
#define CORNELSHED_PROPAGATIONMODEL_H

#include "configpropagation.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace cornelshed {

struct PropagationFaults
{
    std::uint64_t lostPercent = 0;       // of peer messages
    std::uint64_t duplicatedPercent = 0; // of peer messages
    std::uint64_t failedReadPercent = 0; // of calls to the platform
    Duration meanCrashInterval {};       // between crashes of any daemon; 0: no crashes
    Duration maximumDelay = std::chrono::milliseconds(150); // one way, between distant regions
};

class PropagationModel
{
public:
    PropagationModel(std::size_t count, const PropagationFaults &faults, std::uint64_t seed);
    ~PropagationModel();
    PropagationModel(PropagationModel &&) noexcept;
    PropagationModel &operator=(PropagationModel &&) noexcept;

    // An operator accepts the next configuration version. Versions start at 1.
    void accept();

    // The table returns from an older copy, and an operator accepts another configuration under the
    // newest version. There must be one.
    void acceptAgain();
    void runFor(Duration duration);

    std::uint64_t reads() const;     // of the head row, which names the accepted version
    std::uint64_t bytesSent() const; // between daemons, without transport headers
    // A daemon installed a version not newer than its own, other than in place of the same version
    // after acceptAgain().
    bool versionDecreased() const;
    bool textReturned() const; // a daemon installed a text that it had replaced

    // Number of daemons that have run since the version was accepted and have not installed it.
    std::size_t countOutdatedDaemons(std::uint64_t version) const;

    // Number of daemons that have run since the head row was last written and have not installed
    // the text that it names.
    std::size_t countOtherTexts() const;

    // Delivers a message to daemon n as if it came from daemon 0.
    void inject(std::size_t n, const PropagationMessage &message);
    std::uint64_t installed(std::size_t n) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_PROPAGATIONMODEL_H
