// Formats the gateways' configuration and describes differences.

#include "routetabletext.h"

#include "stabledigest.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

namespace cornelshed {

namespace {

std::string quoted(const std::string &text)
{
    std::string result = "\"";
    for (const char it : text) {
        // A line break would end the line of the value.
        const bool isControl = static_cast<unsigned char>(it) < 0x20 || it == 0x7f;
        result += isControl ? '?' : it;
    }
    return result + "\"";
}

std::string formatNumber(double value)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.10g", value);
    return buf.data();
}

std::string formatMs(Duration duration)
{
    return formatNumber(std::chrono::duration<double, std::milli>(duration).count()) + " ms";
}

std::string formatBoolean(bool value)
{
    return value ? "true" : "false";
}

std::string keyDigest(const std::string &key)
{
    std::array<char, 9> buf {};
    std::snprintf(buf.data(), buf.size(), "%08x", static_cast<unsigned>(stableDigest(key) >> 32U));
    return buf.data();
}

const char *kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "not idempotent";
    case RequestKind::Stream:
        return "stream";
    }
    return "";
}

class SectionWriter
{
public:
    void section(const char *name) { m_text += std::string("\n[[") + name + "]]\n"; }

    void line(const char *key, const std::string &value)
    {
        m_text += std::string(key) + " = " + value + "\n";
    }

    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

void write(SectionWriter &out, const DirectRoute &it)
{
    out.section("routes");
    out.line("name", quoted(it.name));
    out.line("host", quoted(it.host));
    out.line("prefix", quoted(it.prefix));
    out.line("kind", kindName(it.kind));
    out.line("resumable", formatBoolean(it.resumable));
    out.line("timeout", formatMs(it.timeout));
    out.line("objective", formatMs(it.objective));
    out.line("objective_between_events", formatMs(it.gapObjective));
    out.line("rank", std::to_string(it.rank));
    out.line("attempts", std::to_string(it.attemptLimit));
    out.line("exempt_from_keys", formatBoolean(it.authenticationExempt));
    std::string services;
    for (const WeightedService &part : it.services)
        services += (services.empty() ? "" : ", ") + part.service + " (weight "
                + std::to_string(part.weight) + ")";
    out.line("services", quoted(services));
}

void write(SectionWriter &out, const ServiceDefinition &it)
{
    out.section("services");
    out.line("name", quoted(it.name));
    out.line("cold_requests_per_second", formatNumber(it.coldRequestsPerSecond));
    out.line("scale",
             it.scale.has_value() ? std::to_string(it.scale->minServers) + " to "
                             + std::to_string(it.scale->maxServers) + " servers, boot "
                             + formatMs(it.scale->bootTime)
                                  : "none");
}

void write(SectionWriter &out, const Organisation &it)
{
    out.section("organisations");
    out.line("name", quoted(it.name));
    std::string keys;
    for (const std::string &key : it.keys)
        keys += (keys.empty() ? "" : ", ") + keyDigest(key);
    out.line("keys_(digests)", "[" + keys + "]");
    out.line("rank", std::to_string(it.rank));
    out.line("allowance",
             it.tokensPerSecond == 0 ? std::string("no limit")
                                     : formatNumber(it.tokensPerSecond)
                             + (it.countsRequests ? " requests" : " tokens") + " a second");
    out.line("burst", formatNumber(it.burstTokens));
    out.line("tokens_of_a_request_without_count", std::to_string(it.defaultRequestTokens));
}

// What operators call the entries of a section.
std::string entryKind(std::string_view section)
{
    constexpr std::array<std::pair<std::string_view, std::string_view>, 8> kinds {
            {{"tiers", "tier"},
             {"organisations", "organisation"},
             {"availability_zones", "zone"},
             {"pools", "pool"},
             {"routes", "route"},
             {"rollouts", "rollout"},
             {"services", "service"},
             {"limits", "limits"}}};
    const auto it = std::find_if(kinds.begin(), kinds.end(),
                                 [&](const auto &kind) { return kind.first == section; });
    return std::string(it == kinds.end() ? section : it->second);
}

// section.name to "kind name"
std::string describeEntry(std::string_view entry)
{
    const auto dot = entry.find('.');
    if (dot == std::string_view::npos)
        return std::string(entry);
    return entryKind(entry.substr(0, dot)) + " " + std::string(entry.substr(dot + 1));
}

std::string describeChange(std::string_view line)
{
    constexpr std::string_view separator = ": ";
    constexpr std::string_view arrow = " -> ";
    const auto arrowAt = line.find(arrow);
    const auto separatorAt = line.substr(0, arrowAt).rfind(separator);
    const auto dot = line.substr(0, separatorAt).rfind('.');
    if (arrowAt == std::string_view::npos || separatorAt == std::string_view::npos
        || dot == std::string_view::npos)
        return std::string(line);
    std::string key(line.substr(dot + 1, separatorAt - dot - 1));
    std::replace(key.begin(), key.end(), '_', ' ');
    const auto valueAt = separatorAt + separator.size();
    return describeEntry(line.substr(0, dot)) + ": " + key + " changes from "
            + std::string(line.substr(valueAt, arrowAt - valueAt)) + " to "
            + std::string(line.substr(arrowAt + arrow.size()));
}

} // namespace

std::string formatRouteTable(const RouteTableContent &content)
{
    SectionWriter out;
    for (const DirectRoute &it : content.routes)
        write(out, it);
    for (const ServiceDefinition &it : content.services)
        write(out, it);
    for (const Organisation &it : content.organisations)
        write(out, it);
    out.section("limits");
    out.line("of", quoted("callers"));
    out.line("header_bytes", std::to_string(content.limits.headerBytes));
    out.line("body_bytes", std::to_string(content.limits.bodyBytes));
    out.line("header_timeout", formatMs(content.limits.headerTimeout));
    out.line("idle_timeout", formatMs(content.limits.idleTimeout));
    return out.text();
}

std::vector<std::string> describeDifferences(const std::vector<std::string> &lines)
{
    std::vector<std::string> sentences;
    for (const std::string &it : lines) {
        const std::string_view rest =
                std::string_view(it).substr(std::min<std::size_t>(2, it.size()));
        if (it.starts_with("+ "))
            sentences.push_back(describeEntry(rest) + " is new");
        else if (it.starts_with("- "))
            sentences.push_back(describeEntry(rest) + " is removed");
        else
            sentences.push_back(describeChange(rest));
    }
    return sentences;
}

} // namespace cornelshed
