// Encodes and decodes the duties' part of the reports between gateways.

#include "dutyreport.h"

#include "datagramcodec.h"

#include "gossip.capnp.h"

#include <algorithm>

namespace cornelshed {

namespace {

using WindowList = capnp::List<wire::GossipWindow>;

void encodeWindows(const std::vector<WindowCounts> &windows, WindowList::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i) {
        out[i].setWindow(windows[i].window);
        auto usage = out[i].initUsage(static_cast<unsigned>(windows[i].counts.size()));
        unsigned n = 0;
        for (const auto &[organisation, count] : windows[i].counts) {
            usage[n].setOrganisation(organisation);
            usage[n].setCount(count);
            ++n;
        }
    }
}

std::vector<WindowCounts> decodeWindows(WindowList::Reader in)
{
    std::vector<WindowCounts> windows;
    for (const auto it : in) {
        WindowCounts counts {it.getWindow(), {}};
        for (const auto usage : it.getUsage())
            counts.counts[usage.getOrganisation()] = usage.getCount();
        windows.push_back(std::move(counts));
    }
    return windows;
}

} // namespace

std::string encodeDutyReport(const DutyReport &report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::GossipDuties>();
    root.setWallMicros(report.wallTime.count());
    root.setOpenWindow(report.openWindow);
    encodeWindows(report.windows, root.initWindows(static_cast<unsigned>(report.windows.size())));
    root.setNumber(report.number);
    root.setRowEra(report.rowPosition.era);
    root.setRowVersion(report.rowPosition.version);
    root.setNextWindow(report.nextWindow);
    encodeWindows(report.fixed, root.initFixed(static_cast<unsigned>(report.fixed.size())));
    return detail::packDatagram(message);
}

std::string encodeDutyReport(DutyReport report, std::size_t limitBytes)
{
    std::string text = encodeDutyReport(report);
    while (text.size() > limitBytes) {
        if (!report.fixed.empty()) {
            report.fixed.erase(report.fixed.begin());
        } else if (!report.windows.empty()) {
            // Without its counts, the window must not count as closed here.
            report.openWindow = std::min(report.openWindow, report.windows.back().window);
            report.windows.pop_back();
        } else {
            return {};
        }
        text = encodeDutyReport(report);
    }
    return text;
}

std::optional<DutyReport> decodeDutyReport(const std::string &text)
{
    DutyReport report;
    const bool valid = detail::unpackDatagram(text, [&](capnp::MessageReader &message) {
        const auto root = message.getRoot<wire::GossipDuties>();
        report.wallTime = Duration(root.getWallMicros());
        report.openWindow = root.getOpenWindow();
        report.windows = decodeWindows(root.getWindows());
        report.number = root.getNumber();
        report.rowPosition = {root.getRowEra(), root.getRowVersion()};
        report.nextWindow = root.getNextWindow();
        report.fixed = decodeWindows(root.getFixed());
    });
    return valid ? std::optional(std::move(report)) : std::nullopt;
}

} // namespace cornelshed
