// Feeds the burn counter and writes its counts to the table.

#include "burnpart.h"

#include "burn.h"
#include "burnreport.h"

#include <map>

namespace cornelshed {

namespace {

class BurnPart final : public ControlPart
{
public:
    BurnPart(ControlPartHost &host, const std::string &entryName, Duration writeInterval)
        : m_host(host), m_key("burn/" + entryName), m_writeInterval(writeInterval)
    { }

    std::string name() const override { return "burn"; }

    void configurationInstalled(const std::shared_ptr<const Configuration> &configuration,
                                Instant /*now*/) override
    {
        for (const TierSettings &it : configuration->tiers)
            m_tierNames[it.rank] = it.name;
    }

    void outcomeRecorded(const ReportOutcome & /*outcome*/, Instant /*now*/) override { }

    void requestEnded(const EndedRequest &ending, Instant now) override
    {
        m_counter.record(ending.tier, ending.organisation, ending.good, now);
        m_changedSinceWrite = true;
    }

    void messageReceived(const std::string & /*peer*/, const std::string & /*payload*/,
                         Instant /*now*/) override
    { }

    void addToView(RoutingView & /*view*/) const override { }

    void wake(Instant now) override
    {
        if (now < m_nextWrite)
            return;
        m_nextWrite = now + m_writeInterval;
        if (!m_changedSinceWrite)
            return;
        m_changedSinceWrite = false;
        // A failed write is not retried: the next one contains its counts as well.
        m_host.table().transact({{}, {{m_key, formatBurnRow(makeLines(now))}}},
                                [](const std::optional<TableError> &) {});
    }

    Instant nextWakeTime() const override { return m_nextWrite; }

private:
    std::vector<BurnLine> makeLines(Instant now) const
    {
        std::vector<BurnLine> result;
        for (const BurnRow &row : m_counter.report(now)) {
            for (std::size_t n = 0; n < burnWindows.size(); ++n) {
                const BurnCount &count = row.counts[n];
                if (count.total > 0)
                    result.push_back({windowSeconds(burnWindows[n]), tierName(row.key.tier),
                                      row.key.organisation, count.total - count.bad, count.bad});
            }
        }
        return result;
    }

    static std::uint64_t windowSeconds(const BurnWindow &window)
    {
        return static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::seconds>(window.length).count());
    }

    std::string tierName(TierRank rank) const
    {
        const auto it = m_tierNames.find(rank);
        return it == m_tierNames.end() ? std::to_string(rank) : it->second;
    }

    ControlPartHost &m_host;
    std::string m_key;
    Duration m_writeInterval;
    BurnCounter m_counter;
    std::map<TierRank, std::string> m_tierNames;
    bool m_changedSinceWrite = false;
    Instant m_nextWrite {};
};

} // namespace

std::unique_ptr<ControlPart> makeBurnPart(ControlPartHost &host, const std::string &entryName,
                                          Duration writeInterval)
{
    return std::make_unique<BurnPart>(host, entryName, writeInterval);
}

} // namespace cornelshed
