// Counting and storing of service-level burn.

#include "burnpart.h"

#include <boost/json.hpp>

#include <map>

namespace cornelshed {

namespace json = boost::json;

namespace {

class BurnPart final : public ControlPart
{
public:
    BurnPart(ControlPartHost &host, const std::string &entryName, Duration writeInterval)
        : m_host(host), m_key("burn/" + entryName), m_writeInterval(writeInterval)
    { }

    std::string name() const override { return "burn"; }

    void configurationInstalled(const std::shared_ptr<const Configuration> & /*configuration*/,
                                Instant /*now*/) override
    { }

    void outcomeRecorded(const ReportOutcome & /*outcome*/, Instant /*now*/) override { }

    void endingRecorded(const RequestEnding &ending, Instant now) override
    {
        m_counter.record(ending.tier, ending.organisation, ending.good, now);
        m_changed = true;
    }

    void messageReceived(const std::string & /*peer*/, const std::string & /*payload*/,
                         Instant /*now*/) override
    { }

    void contribute(RoutingView & /*view*/) const override { }

    void wake(Instant now) override
    {
        if (now < m_nextWrite)
            return;
        m_nextWrite = now + m_writeInterval;
        if (!m_changed)
            return;
        m_changed = false;
        // A write that fails is made up for by the next one.
        m_host.table().transact({{}, {{m_key, formatBurnRows(m_counter.report(now))}}},
                                [](const std::optional<TableError> &) {});
    }

    Instant nextWake() const override { return m_nextWrite; }

private:
    ControlPartHost &m_host;
    std::string m_key;
    Duration m_writeInterval;
    BurnCounter m_counter;
    bool m_changed = false;
    Instant m_nextWrite {};
};

} // namespace

std::string formatBurnRows(const std::vector<BurnRow> &rows)
{
    json::array result;
    for (const BurnRow &it : rows) {
        json::array counts;
        for (const BurnCount &count : it.counts)
            counts.push_back(json::array {count.total, count.bad});
        result.push_back(json::object {{"tier", it.key.tier},
                                       {"organisation", it.key.organisation},
                                       {"counts", std::move(counts)}});
    }
    return json::serialize(result);
}

std::optional<std::vector<BurnRow>> parseBurnRows(std::string_view text)
{
    try {
        std::vector<BurnRow> rows;
        const json::value parsed = json::parse(text);
        for (const json::value &it : parsed.as_array()) {
            const json::object &object = it.as_object();
            BurnRow row;
            row.key.tier = object.at("tier").to_number<TierRank>();
            row.key.organisation = std::string(object.at("organisation").as_string());
            const json::array &counts = object.at("counts").as_array();
            for (std::size_t n = 0; n < row.counts.size(); ++n) {
                const json::array &count = counts.at(n).as_array();
                row.counts[n] = {count.at(0).to_number<std::uint64_t>(),
                                 count.at(1).to_number<std::uint64_t>()};
            }
            rows.push_back(std::move(row));
        }
        return rows;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::vector<BurnRow> sumBurnRows(const std::vector<std::vector<BurnRow>> &all)
{
    std::map<BurnKey, BurnRow> sums;
    for (const std::vector<BurnRow> &rows : all) {
        for (const BurnRow &it : rows) {
            BurnRow &sum = sums.try_emplace(it.key, BurnRow {it.key, {}}).first->second;
            for (std::size_t n = 0; n < sum.counts.size(); ++n) {
                sum.counts[n].total += it.counts[n].total;
                sum.counts[n].bad += it.counts[n].bad;
            }
        }
    }
    std::vector<BurnRow> result;
    result.reserve(sums.size());
    for (auto &[key, row] : sums)
        result.push_back(std::move(row));
    return result;
}

std::unique_ptr<ControlPart> makeBurnPart(ControlPartHost &host, const std::string &entryName,
                                          Duration writeInterval)
{
    return std::make_unique<BurnPart>(host, entryName, writeInterval);
}

} // namespace cornelshed
