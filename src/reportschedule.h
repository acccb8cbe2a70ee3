// Decides when a gateway sends a report, and to which of its peers. The number of datagrams that a
// gateway sends each second has an upper bound that does not depend on the size of the fleet: in a
// small fleet each report goes to every peer, in a large one each goes to the next few peers in
// turn. Each gateway takes its peers in a different pseudo-random order, so that what a report
// passes on (see freshness.h) reaches the whole fleet within a few reports, although two given
// gateways exchange reports only once a cycle.

#ifndef CORNELSHED_REPORTSCHEDULE_H
#define CORNELSHED_REPORTSCHEDULE_H

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelshed {

// Times that follow from the number of peers.
struct ReportTiming
{
    Duration interval {};       // between two reports
    std::size_t recipients = 0; // peers that get each report
    Duration cycle {};          // each peer gets one report in this time
    Duration heardTimeout {};   // a peer without a report for this time has stopped or is cut off

    bool operator==(const ReportTiming &) const = default;
};

ReportTiming reportTiming(std::size_t peers);

class ReportSchedule
{
public:
    explicit ReportSchedule(std::string ownName);

    void setPeers(const std::vector<std::string> &names);

    // Peers that get the next report. Over one cycle each peer is returned once.
    std::vector<std::string> nextRecipients();

    ReportTiming timing() const { return reportTiming(m_order.size()); }

private:
    std::string m_ownName;
    std::vector<std::string> m_order;
    std::size_t m_next = 0; // invariant: an index into m_order, or 0 if that is empty
};

} // namespace cornelshed

#endif // CORNELSHED_REPORTSCHEDULE_H
