// Counting, audit and output of a run's outcomes.

#include "tally.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
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

bool isAnswer(Outcome outcome)
{
    return outcome == Outcome::InTime || outcome == Outcome::Late;
}

std::string ledgerKey(const std::string &idempotencyKey, const std::string &marker)
{
    return idempotencyKey.empty() ? "m/" + marker : "k/" + idempotencyKey;
}

double quantile95(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const std::size_t n = (values.size() - 1) * 95 / 100;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

json::object tierObject(const TierTally &tier)
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
    out << std::left << std::setw(12) << "tier" << std::right << std::setw(8) << "sent";
    for (const auto &[outcome, name] : outcomeNames)
        out << std::setw(13) << name;
    out << std::setw(12) << "duplicates" << std::setw(15) << "false_not_run" << std::setw(12)
        << "unrecorded" << '\n';
    for (const auto &[name, tier] : tiers) {
        out << std::left << std::setw(12) << name << std::right << std::setw(8) << tier.sent;
        for (const auto &[outcome, column] : outcomeNames)
            out << std::setw(13) << tier.count(outcome);
        out << std::setw(12) << tier.duplicates << std::setw(15) << tier.falseNotRun
            << std::setw(12) << tier.unrecorded << '\n';
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
        rows[name] = tierObject(tier);
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
    std::vector<double> firstBytes;
    for (const RequestRecord &it : records) {
        TierTally &tier = tally.tiers[it.tier];
        tier.sent += 1;
        tier.outcomes[it.outcome] += 1;
        if (!it.code.empty())
            tally.codes[it.code] += 1;
        if (it.stream && it.outcome == Outcome::InTime)
            firstBytes.push_back(it.firstByteMs);
    }
    tally.firstByteP95Ms = quantile95(std::move(firstBytes));
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
        tier.falseNotRun += it.claimsNotRun && n > 0 ? 1 : 0;
        tier.unrecorded += isAnswer(it.outcome) && n == 0 ? 1 : 0;
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
