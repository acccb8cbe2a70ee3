// Relates quarantines to the attempts that were cut.

#include "promptcrashlog.h"

#include "promptidentity.h"
#include "stabledigest.h"

#include <algorithm>
#include <sstream>

namespace cornelshed {

namespace {

// Whether the request that was cut had the part, which is named by its digest.
bool hasPart(const LogEvent &cut, const std::string &kind, const std::string &part)
{
    if (kind == nameOf(PromptPartKind::Whole))
        return cut.field("content") == part;
    if (kind == nameOf(PromptPartKind::Last))
        return std::to_string(lastPartDigest(stableDigest(cut.field("last_part")))) == part;
    std::istringstream shared(cut.field("shared_parts"));
    for (std::string id; std::getline(shared, id, ',');) {
        if (std::to_string(stableDigest(id)) == part)
            return true;
    }
    return false;
}

} // namespace

void PromptCrashLog::add(const std::string &source, const LogEvent &event)
{
    if (event.name == "prompt_quarantined")
        m_quarantines.emplace_back(source, event);
    else if (event.name == "attempt_cut")
        m_cuts.emplace_back(source, event);
}

std::string PromptCrashLog::text(const std::string &source, const LogEvent &refused) const
{
    const std::string part = refused.field("part");
    const auto quarantine =
            std::find_if(m_quarantines.rbegin(), m_quarantines.rend(), [&](const auto &it) {
                return it.first == source && it.second.field("part") == part
                        && it.second.time <= refused.time;
            });
    if (quarantine == m_quarantines.rend())
        return {};
    const LogEvent &event = quarantine->second;
    std::string text = "  quarantined by" + event.text + '\n';
    std::istringstream crashes(event.field("crashes")); // crash@-milliseconds, separated by commas
    for (std::string crash; std::getline(crashes, crash, ',');) {
        const std::string id = crash.substr(0, crash.find('@'));
        bool found = false;
        for (const auto &[gateway, cut] : m_cuts) {
            if (cut.field("crash") != id || !hasPart(cut, event.field("kind"), part))
                continue;
            text += "    " + gateway + ": attempt_cut" + cut.text + '\n';
            found = true;
        }
        if (!found)
            text += "    crash " + crash + ": its gateway's log is not among these\n";
    }
    return text;
}

} // namespace cornelshed
