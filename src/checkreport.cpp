// Text and JSON of a check's result. Text of a file is shortened and stripped of control
// characters, which could change what a terminal shows.

#include "checkreport.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cornelshed {

namespace json = boost::json;

namespace {

constexpr std::size_t maxFindings = 200;
constexpr std::size_t maxDifferences = 1000;
constexpr std::size_t maxTextBytes = 400;

// Bytes outside ASCII are replaced as well: they need not be valid UTF-8, as JSON requires.
std::string printable(const std::string &text)
{
    std::string result = text.substr(0, maxTextBytes);
    const auto isUnprintable = [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte >= 0x7f;
    };
    std::replace_if(result.begin(), result.end(), isUnprintable, '?');
    return text.size() > maxTextBytes ? result + "..." : result;
}

const char *severityName(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

std::string countOf(std::size_t n, const std::string &noun)
{
    return std::to_string(n) + " " + noun + (n == 1 ? "" : "s");
}

} // namespace

std::size_t CheckReport::count(FindingSeverity severity) const
{
    return static_cast<std::size_t>(
            std::count_if(findings.begin(), findings.end(),
                          [&](const LocatedFinding &it) { return it.severity == severity; }));
}

std::string formatReportText(const CheckReport &report)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(report.findings.size(), maxFindings); ++i) {
        const LocatedFinding &it = report.findings[i];
        text += printable(report.source) + (it.line > 0 ? ":" + std::to_string(it.line) : "") + ": "
                + severityName(it.severity) + ": " + printable(it.text) + " [" + it.rule + "]\n";
    }
    if (report.findings.size() > maxFindings)
        text += "... and " + countOf(report.findings.size() - maxFindings, "more finding") + "\n";
    if (!report.inForce.empty()) {
        text += "compared with " + printable(report.inForce) + ": "
                + countOf(report.differences.size(), "difference") + "\n";
        for (std::size_t i = 0; i < std::min(report.differences.size(), maxDifferences); ++i)
            text += "  " + printable(report.differences[i]) + "\n";
        if (report.differences.size() > maxDifferences)
            text += "  ... and more\n";
    }
    for (const std::string &it : report.notChecked)
        text += "not checked: " + it + "\n";
    if (!report.unavailable.empty())
        text += "not compared: " + printable(report.unavailable) + "\n";
    return text + printable(report.source) + ": "
            + countOf(report.count(FindingSeverity::Error), "error") + ", "
            + countOf(report.count(FindingSeverity::Warning), "warning") + "\n";
}

std::string formatReportJson(const CheckReport &report)
{
    json::array findings;
    for (std::size_t i = 0; i < std::min(report.findings.size(), maxFindings); ++i) {
        const LocatedFinding &it = report.findings[i];
        findings.push_back(json::object {{"severity", severityName(it.severity)},
                                         {"rule", it.rule},
                                         {"line", it.line},
                                         {"path", printable(it.path)},
                                         {"text", printable(it.text)}});
    }
    json::array differences;
    for (std::size_t i = 0; i < std::min(report.differences.size(), maxDifferences); ++i)
        differences.push_back(json::string(printable(report.differences[i])));
    const auto nullIfEmpty = [](const std::string &text) {
        return text.empty() ? json::value(nullptr) : json::value(json::string(printable(text)));
    };
    const json::object object {{"source", printable(report.source)},
                               {"errors", report.count(FindingSeverity::Error)},
                               {"warnings", report.count(FindingSeverity::Warning)},
                               {"findings", std::move(findings)},
                               {"compared_with", nullIfEmpty(report.inForce)},
                               {"difference_count", report.differences.size()},
                               {"differences", std::move(differences)},
                               {"not_checked", json::value_from(report.notChecked)},
                               {"unavailable", nullIfEmpty(report.unavailable)}};
    return json::serialize(object) + "\n";
}

} // namespace cornelshed
