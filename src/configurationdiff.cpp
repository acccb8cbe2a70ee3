// Compares the formatted texts rather than the parsed configurations: formatConfiguration writes
// each entry as a section with one key per line, so a new part of the configuration needs no change
// here.

#include "configurationdiff.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace cornelshed {

namespace {

using Entry = std::map<std::string, std::string>; // key to formatted value
using Entries = std::map<std::string, Entry>;     // "section.name" to the entry's keys

struct Line
{
    std::string key;
    std::string value;
};

Line parseLine(std::string_view line)
{
    const auto at = line.find(" = ");
    if (at == std::string_view::npos)
        return {std::string(line), ""};
    return {std::string(line.substr(0, at)), std::string(line.substr(at + 3))};
}

std::string withoutQuotes(const std::string &value)
{
    return value.size() >= 2 && value.front() == '"' ? value.substr(1, value.size() - 2) : value;
}

// The first key of each section is its name or path.
Entries parseEntries(std::string_view text)
{
    Entries entries;
    std::string section;
    std::string name = "deployment";
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty())
            continue;
        if (line.starts_with("[[")) {
            section = line.substr(2, line.size() - 4);
            name.clear();
            continue;
        }
        const Line parts = parseLine(line);
        if (name.empty())
            name = section + "." + withoutQuotes(parts.value);
        entries[name][parts.key] = parts.value;
    }
    return entries;
}

void compareEntry(const std::string &name, const Entry &from, const Entry &to,
                  std::vector<std::string> &lines)
{
    for (const auto &[key, value] : to) {
        const auto old = from.find(key);
        if (old != from.end() && old->second == value)
            continue;
        std::ostringstream line;
        line << "~ " << name << "." << key << ": ";
        line << (old == from.end() ? "nothing" : old->second) << " -> " << value;
        lines.push_back(line.str());
    }
}

} // namespace

std::vector<std::string> diffConfigurations(std::string_view from, std::string_view to)
{
    const Entries before = parseEntries(from);
    const Entries after = parseEntries(to);
    std::vector<std::string> lines;
    for (const auto &[name, entry] : before) {
        if (after.count(name) == 0)
            lines.push_back("- " + name);
    }
    for (const auto &[name, entry] : after) {
        const auto old = before.find(name);
        if (old == before.end())
            lines.push_back("+ " + name);
        else
            compareEntry(name, old->second, entry, lines);
    }
    return lines;
}

} // namespace cornelshed
