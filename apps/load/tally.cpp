// Counts and audits the outcomes of a load run and prints them as a table or as JSON.

#include "tally.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <iomanip>
#include <sstream>
#include <utility>

namespace cornelshed::load {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<Outcome, const char *>, 11> outcomeNames {{
        {Outcome::InTime, "in_time"},
        {Outcome::Late, "late"},
        {Outcome::NotRun, "not_run"},
        {Outcome::Unknown, "unknown"},
        {Outcome::ServerError, "server_error"},
        {Outcome::Rejected, "rejected"},
        {Outcome::Broken, "broken"},
        {Outcome::Unsent, "unsent"},
        {Outcome::MixedUp, "mixed_up"},
        {Outcome::Truncated, "truncated"},
        {Outcome::Lost, "lost"},
}};

bool isCompleteAnswer(Outcome outcome)
{
    return outcome == Outcome::InTime || outcome == Outcome::Late;
}

// Orders are matched with ledger rows by idempotency key, completions by marker. The prefixes keep
// the two apart.
std::string ledgerKey(const std::string &idempotencyKey, const std::string &marker)
{
    return idempotencyKey.empty() ? "m/" + marker : "k/" + idempotencyKey;
}

double percentile95(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const std::size_t n = (values.size() - 1) * 95 / 100;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

constexpr int tierWidth = 12;
constexpr int columnWidth = 14;

struct Column
{
    const char *name;
    std::function<std::uint64_t(const TierTally &)> value;
    bool alwaysShown; // even if the value is 0 in all tiers
};

std::vector<Column> allColumns()
{
    std::vector<Column> columns {{"sent", &TierTally::sent, true}};
    for (const auto &[outcome, name] : outcomeNames) {
        const bool alwaysShown = outcome == Outcome::InTime || outcome == Outcome::Late
                || outcome == Outcome::NotRun || outcome == Outcome::Unknown;
        const Outcome counted = outcome;
        columns.push_back(
                {name, [counted](const TierTally &it) { return it.count(counted); }, alwaysShown});
    }
    columns.push_back({"duplicates", &TierTally::duplicates, true});
    columns.push_back({"false_not_run", &TierTally::falseNotRun, true});
    columns.push_back({"unrecorded", &TierTally::unrecorded, false});
    return columns;
}

// Leaves out the columns that are 0 in all tiers, unless they are always shown.
std::vector<Column> shownColumns(const Tally &tally)
{
    std::vector<Column> columns = allColumns();
    const auto isEmpty = [&](const Column &column) {
        return !column.alwaysShown
                && std::all_of(tally.tiers.begin(), tally.tiers.end(),
                               [&](const auto &it) { return column.value(it.second) == 0; });
    };
    columns.erase(std::remove_if(columns.begin(), columns.end(), isEmpty), columns.end());
    return columns;
}

json::object tierToJson(const TierTally &tier)
{
    json::object object {{"sent", tier.sent}};
    for (const auto &[outcome, name] : outcomeNames)
        object[name] = tier.count(outcome);
    object["duplicates"] = tier.duplicates;
    object["false_not_run"] = tier.falseNotRun;
    object["unrecorded"] = tier.unrecorded;
    return object;
}

} // namespace

std::uint64_t TierTally::count(Outcome outcome) const
{
    const auto it = outcomes.find(outcome);
    return it == outcomes.end() ? 0 : it->second;
}

std::uint64_t Tally::total(Outcome outcome) const
{
    std::uint64_t sum = 0;
    for (const auto &[name, tier] : tiers)
        sum += tier.count(outcome);
    return sum;
}

std::uint64_t Tally::violationCount() const
{
    std::uint64_t sum = total(Outcome::MixedUp) + total(Outcome::Truncated) + total(Outcome::Lost);
    for (const auto &[name, tier] : tiers)
        sum += tier.duplicates + tier.falseNotRun + tier.unrecorded;
    return sum;
}

std::string Tally::toTable() const
{
    std::ostringstream out;
    const std::vector<Column> columns = shownColumns(*this);
    out << std::left << std::setw(tierWidth) << "tier" << std::right;
    for (const Column &it : columns)
        out << std::setw(columnWidth) << it.name;
    out << '\n';
    for (const auto &[name, tier] : tiers) {
        out << std::left << std::setw(tierWidth) << name << std::right;
        for (const Column &it : columns)
            out << std::setw(columnWidth) << it.value(tier);
        out << '\n';
    }
    for (const auto &[code, n] : codes)
        out << "refusals code=" << code << " count=" << n << '\n';
    out << "first byte p95 of streams in time: " << std::fixed << std::setprecision(1)
        << firstByteP95Ms << " ms\n";
    if (!audited)
        out << "ledgers were not read: duplicates and false_not_run are not counted\n";
    return out.str();
}

std::string Tally::toJson() const
{
    json::object rows;
    for (const auto &[name, tier] : tiers)
        rows[name] = tierToJson(tier);
    json::object refusals;
    for (const auto &[code, n] : codes)
        refusals[code] = n;
    return json::serialize(json::object {{"tiers", std::move(rows)},
                                         {"refusal_codes", std::move(refusals)},
                                         {"first_byte_p95_ms", firstByteP95Ms},
                                         {"audited", audited},
                                         {"violations", violationCount()}});
}

Tally countRecords(const std::vector<RequestRecord> &records)
{
    Tally tally;
    std::vector<double> firstByteTimesMs;
    for (const RequestRecord &it : records) {
        TierTally &tier = tally.tiers[it.tier];
        tier.sent += 1;
        tier.outcomes[it.outcome] += 1;
        if (!it.code.empty())
            tally.codes[it.code] += 1;
        if (it.stream && it.outcome == Outcome::InTime)
            firstByteTimesMs.push_back(it.firstByteMs);
    }
    tally.firstByteP95Ms = percentile95(std::move(firstByteTimesMs));
    return tally;
}

void auditRecords(Tally &tally, const std::vector<RequestRecord> &records,
                  const std::vector<LedgerRow> &ledger)
{
    std::map<std::string, std::uint64_t> runs;
    for (const LedgerRow &it : ledger)
        runs[ledgerKey(it.idempotencyKey, it.marker)] += it.count;
    for (const RequestRecord &it : records) {
        const auto found = runs.find(ledgerKey(it.idempotencyKey, it.marker));
        const std::uint64_t n = found == runs.end() ? 0 : found->second;
        TierTally &tier = tally.tiers[it.tier];
        tier.duplicates += n > 1 ? 1 : 0;
        tier.falseNotRun += it.reportedNotRun && n > 0 ? 1 : 0;
        tier.unrecorded += isCompleteAnswer(it.outcome) && n == 0 ? 1 : 0;
    }
    tally.audited = true;
}

std::vector<LedgerRow> parseLedger(const std::string &text)
{
    std::vector<LedgerRow> rows;
    const json::value ledger = json::parse(text);
    for (const json::value &value : ledger.as_array()) {
        const json::object &it = value.as_object();
        rows.push_back({json::value_to<std::string>(it.at("idempotency_key")),
                        json::value_to<std::string>(it.at("marker")),
                        json::value_to<std::uint64_t>(it.at("count"))});
    }
    return rows;
}

} // namespace cornelshed::load
