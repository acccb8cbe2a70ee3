// Parses, sums and formats the burn rows.

#include "burnreport.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <map>
#include <sstream>
#include <tuple>

namespace cornelshed {

namespace {

using BurnKey = std::tuple<std::uint64_t, std::string, std::string>;

std::string formatNumber(const char *pattern, double value)
{
    std::array<char, 48> buf {};
    std::snprintf(buf.data(), buf.size(), pattern, value);
    return buf.data();
}

std::string windowName(std::uint64_t seconds)
{
    if (seconds % 86400 == 0)
        return std::to_string(seconds / 86400) + "d";
    if (seconds % 3600 == 0)
        return std::to_string(seconds / 3600) + "h";
    if (seconds % 60 == 0)
        return std::to_string(seconds / 60) + "min";
    return std::to_string(seconds) + "s";
}

// Escapes HTML. Entry daemons write only names from the accepted configuration, but other programs
// can write the rows too.
std::string escapeHtml(const std::string &text)
{
    std::string result;
    for (const char it : text) {
        if (it == '<')
            result += "&lt;";
        else if (it == '>')
            result += "&gt;";
        else if (it == '&')
            result += "&amp;";
        else if (it == '"')
            result += "&quot;";
        else
            result += it;
    }
    return result;
}

std::string htmlTableRow(const BurnLine &it, double objective)
{
    std::ostringstream row;
    row << "<tr><td>" << windowName(it.windowSeconds) << "</td><td>" << escapeHtml(it.tier)
        << "</td><td>" << escapeHtml(it.organisation) << "</td><td>" << it.good << "</td><td>"
        << it.bad << "</td><td>" << formatNumber("%.2f", burnRate(it, objective)) << "</td></tr>\n";
    return row.str();
}

std::vector<BurnLine> withoutOrganisations(std::vector<BurnLine> lines)
{
    for (BurnLine &it : lines)
        it.organisation.clear();
    return sumBurn(lines);
}

// Horizontal bar chart with one bar per window and tier, scaled to the highest rate. A dashed line
// marks rate 1.
std::string barChart(const std::vector<BurnLine> &lines, double objective)
{
    constexpr int rowHeight = 24;
    constexpr int labelWidth = 180;
    constexpr double barWidth = 480;
    double highestRate = 1;
    for (const BurnLine &it : lines)
        highestRate = std::max(highestRate, burnRate(it, objective));
    const int height = rowHeight * static_cast<int>(lines.size()) + 8;
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"" << height << "\">\n";
    int y = 4;
    for (const BurnLine &it : lines) {
        const double rate = burnRate(it, objective);
        svg << "<text x=\"0\" y=\"" << y + 15 << "\">" << escapeHtml(it.tier) << " "
            << windowName(it.windowSeconds) << "</text><rect x=\"" << labelWidth << "\" y=\"" << y
            << "\" width=\"" << formatNumber("%.1f", rate / highestRate * barWidth)
            << "\" height=\"18\" fill=\"" << (rate > 1 ? "#c0392b" : "#2e7d32") << "\"/><text x=\""
            << formatNumber("%.1f", labelWidth + rate / highestRate * barWidth + 6) << "\" y=\""
            << y + 15 << "\">" << formatNumber("%.2f", rate) << "</text>\n";
        y += rowHeight;
    }
    const std::string rateOneX = formatNumber("%.1f", labelWidth + barWidth / highestRate);
    svg << "<line x1=\"" << rateOneX << "\" x2=\"" << rateOneX << "\" y1=\"0\" y2=\"" << height
        << "\" stroke=\"#555\" stroke-dasharray=\"4 3\"/>\n</svg>\n";
    return svg.str();
}

bool parseNumber(const std::string &digits, std::uint64_t &value)
{
    const char *end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

std::optional<BurnLine> parseLine(const std::string &line)
{
    std::istringstream fields(line);
    BurnLine result;
    std::string window;
    std::string good;
    std::string bad;
    std::string excess;
    fields >> window >> result.tier >> result.organisation >> good >> bad;
    if (fields >> excess || !parseNumber(window, result.windowSeconds)
        || !parseNumber(good, result.good) || !parseNumber(bad, result.bad))
        return std::nullopt;
    return result;
}

} // namespace

std::string formatBurnRow(const std::vector<BurnLine> &lines)
{
    std::string value;
    for (const BurnLine &it : lines) {
        value += std::to_string(it.windowSeconds) + " " + it.tier + " " + it.organisation + " "
                + std::to_string(it.good) + " " + std::to_string(it.bad) + "\n";
    }
    return value;
}

std::optional<std::vector<BurnLine>> parseBurnRow(const std::string &value)
{
    std::vector<BurnLine> lines;
    std::istringstream text(value);
    for (std::string line; std::getline(text, line);) {
        const auto parsed = parseLine(line);
        if (!parsed.has_value())
            return std::nullopt;
        lines.push_back(*parsed);
    }
    return lines;
}

std::vector<BurnLine> sumBurn(const std::vector<BurnLine> &lines)
{
    std::map<BurnKey, BurnLine> sums;
    for (const BurnLine &it : lines) {
        BurnLine &sum = sums[{it.windowSeconds, it.tier, it.organisation}];
        sum.windowSeconds = it.windowSeconds;
        sum.tier = it.tier;
        sum.organisation = it.organisation;
        sum.good += it.good;
        sum.bad += it.bad;
    }
    std::vector<BurnLine> result;
    result.reserve(sums.size());
    for (const auto &[key, line] : sums)
        result.push_back(line);
    return result;
}

double burnRate(const BurnLine &line, double objective)
{
    const auto all = static_cast<double>(line.good + line.bad);
    return all == 0 ? 0 : static_cast<double>(line.bad) / all / (1 - objective);
}

std::string burnTable(const std::vector<BurnLine> &lines, double objective)
{
    std::ostringstream table;
    table << "window\ttier\torganisation\tgood\tbad\tburn_rate\n";
    for (const BurnLine &it : lines) {
        table << windowName(it.windowSeconds) << "\t" << it.tier << "\t" << it.organisation << "\t"
              << it.good << "\t" << it.bad << "\t" << formatNumber("%.2f", burnRate(it, objective))
              << "\n";
    }
    return table.str();
}

std::string burnHtml(const std::vector<BurnLine> &lines, double objective)
{
    std::ostringstream html;
    html << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
            "<title>Service-level burn</title><style>body{font-family:sans-serif}"
            "td,th{padding:2px 12px;text-align:left}</style></head><body>\n"
         << "<h1>Service-level burn</h1>\n<p>Objective: " << formatNumber("%.3f", objective * 100)
         << "% of requests good. A rate above 1 spends the error budget too fast.</p>\n"
         << barChart(withoutOrganisations(lines), objective)
         << "<table><tr><th>window</th><th>tier</th><th>organisation</th><th>good</th>"
            "<th>bad</th><th>burn rate</th></tr>\n";
    for (const BurnLine &it : lines)
        html << htmlTableRow(it, objective);
    html << "</table>\n</body></html>\n";
    return html.str();
}

} // namespace cornelshed
