// JSON encoding of the rows and messages. Most slowness counts are zero, so the array holds only
// the others, as pairs of class index and count.

#include "rolloutrecords.h"

#include <boost/json.hpp>

#include <array>

namespace cornelshed {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> rolloutEndNames {"open", "done", "rolled_back",
                                                           "infeasible"};

// Records with a larger stage are rejected. The larger stage prevails when progress is merged, so a
// corrupt record could otherwise block a rollout for good.
constexpr std::uint64_t stageLimit = 100;

// Parses the text and runs the reader on the object. Returns std::nullopt if either throws: readers
// use the throwing accessors of Boost.JSON.
template<typename Reader>
auto parseObject(std::string_view text, Reader reader)
        -> std::optional<decltype(reader(json::object()))>
{
    try {
        return reader(json::parse(text).as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::uint64_t numberField(const json::object &object, std::string_view key)
{
    return object.at(key).to_number<std::uint64_t>();
}

std::string stringField(const json::object &object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

json::object progressObject(const RolloutProgress &progress)
{
    return {{"stage", progress.stage},
            {"end", rolloutEndName(progress.end)},
            {"reason", progress.reason}};
}

RolloutProgress readProgress(const json::object &object)
{
    RolloutProgress progress;
    const std::uint64_t stage = numberField(object, "stage");
    if (stage > stageLimit)
        throw std::out_of_range("stage");
    progress.stage = static_cast<std::uint32_t>(stage);
    progress.reason = stringField(object, "reason");
    const std::string end = stringField(object, "end");
    for (std::size_t n = 0; n < rolloutEndNames.size(); ++n) {
        if (rolloutEndNames[n] == end) {
            progress.end = static_cast<RolloutEnd>(n);
            return progress;
        }
    }
    throw std::out_of_range("end");
}

json::object evidenceObject(const EvidenceKey &key, const VersionCounts &counts)
{
    json::array slowness;
    for (std::size_t n = 0; n < counts.slowness.size(); ++n) {
        if (counts.slowness[n] == 0)
            continue;
        slowness.push_back(n);
        slowness.push_back(counts.slowness[n]);
    }
    return {{"rollout", key.rollout},
            {"daemon", key.daemon},
            {"route", key.route},
            {"new", key.newVersion},
            {"answers", counts.answers},
            {"failures", counts.failures},
            {"slowness", std::move(slowness)}};
}

void readEvidence(const json::object &object, Evidence &evidence)
{
    const EvidenceKey key {stringField(object, "rollout"), stringField(object, "daemon"),
                           stringField(object, "route"), object.at("new").as_bool()};
    VersionCounts counts;
    counts.answers = numberField(object, "answers");
    counts.failures = numberField(object, "failures");
    const json::array &slowness = object.at("slowness").as_array();
    for (std::size_t n = 0; n + 1 < slowness.size(); n += 2) {
        const auto index = slowness[n].to_number<std::size_t>();
        counts.slowness.at(index) = slowness[n + 1].to_number<std::uint64_t>();
    }
    if (counts.failures > counts.answers)
        throw std::out_of_range("failures");
    evidence[key].merge(counts);
}

} // namespace

std::string_view rolloutEndName(RolloutEnd end)
{
    return rolloutEndNames.at(static_cast<std::size_t>(end));
}

std::string formatLeaseRow(const LeaseRow &row)
{
    return json::serialize(json::object {
            {"holder", row.holder}, {"fencing", row.fencing}, {"renewals", row.renewals}});
}

std::optional<LeaseRow> parseLeaseRow(std::string_view text, std::uint64_t tableVersion)
{
    return parseObject(text, [&](const json::object &object) {
        return LeaseRow {tableVersion, cornelshed::stringField(object, "holder"),
                         numberField(object, "fencing"), numberField(object, "renewals")};
    });
}

std::string formatProgress(const RolloutProgress &progress, std::uint64_t fencing)
{
    json::object object = progressObject(progress);
    object["fencing"] = fencing;
    return json::serialize(object);
}

std::optional<RolloutProgress> parseProgress(std::string_view text)
{
    return parseObject(text, readProgress);
}

std::string formatGossip(const RolloutGossip &gossip)
{
    json::object progress;
    for (const auto &[rollout, it] : gossip.progress)
        progress[rollout] = progressObject(it);
    json::array evidence;
    for (const auto &[key, counts] : gossip.evidence)
        evidence.push_back(evidenceObject(key, counts));
    return json::serialize(
            json::object {{"progress", std::move(progress)}, {"evidence", std::move(evidence)}});
}

std::optional<RolloutGossip> parseGossip(std::string_view text)
{
    return parseObject(text, [](const json::object &object) {
        RolloutGossip gossip;
        for (const auto &it : object.at("progress").as_object())
            gossip.progress[std::string(it.key())] = readProgress(it.value().as_object());
        for (const json::value &it : object.at("evidence").as_array())
            readEvidence(it.as_object(), gossip.evidence);
        return gossip;
    });
}

std::string formatRolloutEvent(const std::string &rollout, const RolloutProgress &progress,
                               const std::string &entry)
{
    return json::serialize(json::object {{"rollout", rollout},
                                         {"end", rolloutEndName(progress.end)},
                                         {"reason", progress.reason},
                                         {"stage", progress.stage},
                                         {"told_by", entry}});
}

} // namespace cornelshed
