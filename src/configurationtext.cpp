// Screening of configuration texts, and the lines of their entries.

#include "configurationtext.h"

#include "tomlreader.h"

#include <boost/json.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <system_error>

#include <filesystem>

namespace cornelshed {

namespace json = boost::json;

namespace {

// Rollouts are compared with each other, and each wrong element of an array is reported with the
// whole array.
constexpr std::size_t maxRollouts = 1000;
constexpr std::size_t maxArrayElements = 10000;
constexpr std::size_t maxIndexedKey = 64;

std::uint32_t lineAt(std::string_view text, std::size_t at)
{
    return static_cast<std::uint32_t>(1 + std::count(text.begin(), text.begin() + at, '\n'));
}

bool isBinary(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\n' && c != '\r' && c != '\t') || byte == 0x7f;
}

std::optional<TextProblem> screenLines(std::string_view text)
{
    std::uint32_t number = 1;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        if (line.size() > tomlLineLimit)
            return TextProblem {number,
                                "a line of " + std::to_string(line.size()) + " bytes; at most "
                                        + std::to_string(tomlLineLimit)
                                        + " are read, so this is hardly a configuration"};
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
    }
    return std::nullopt;
}

std::optional<TextProblem> screenArrays(const toml::table &table)
{
    for (const auto &[key, node] : table) {
        if (const toml::array *array = node.as_array()) {
            const bool hasTables = !array->empty() && array->front().is_table();
            const std::size_t limit = !hasTables ? maxArrayElements
                    : key.str() == "rollouts"    ? maxRollouts
                                                 : array->size();
            if (array->size() > limit)
                return TextProblem {static_cast<std::uint32_t>(node.source().begin.line),
                                    std::to_string(array->size()) + " elements of "
                                            + std::string(key.str().substr(0, maxIndexedKey))
                                            + "; at most " + std::to_string(limit)
                                            + " are checked"};
            for (const toml::node &it : *array) {
                if (const toml::table *inner = it.as_table()) {
                    if (auto problem = screenArrays(*inner))
                        return problem;
                }
            }
        } else if (const toml::table *inner = node.as_table()) {
            if (auto problem = screenArrays(*inner))
                return problem;
        }
    }
    return std::nullopt;
}

std::optional<TextProblem> screenToml(std::string_view text)
{
    if (auto problem = screenLines(text))
        return problem;
    if (const auto line = findTooDeepLine(text))
        return TextProblem {*line, "keys that are nested too deep"};
    try {
        return screenArrays(toml::parse(text));
    } catch (const toml::parse_error &) {
        return std::nullopt; // reported by the parser of the configuration
    }
}

// Parses line by line, so that an error is known with its line. The parser bounds the nesting.
std::optional<TextProblem> screenJson(std::string_view text)
{
    json::stream_parser parser;
    std::uint32_t number = 1;
    while (!text.empty()) {
        const std::size_t size = std::min(text.find('\n'), text.size() - 1) + 1;
        boost::system::error_code error;
        parser.write(text.data(), size, error);
        if (error)
            return TextProblem {number, "no valid JSON: " + error.message()};
        text.remove_prefix(size);
        number += text.empty() ? 0 : 1;
    }
    boost::system::error_code error;
    parser.finish(error);
    if (error)
        return TextProblem {number, "no valid JSON, perhaps truncated: " + error.message()};
    return std::nullopt;
}

std::string parentPath(const std::string &path)
{
    const std::size_t end = path.find_last_of(".[");
    return end == std::string::npos ? std::string() : path.substr(0, end);
}

// Scans valid JSON for the lines on which values begin.
class JsonLineScanner
{
public:
    JsonLineScanner(std::string_view text, std::map<std::string, std::uint32_t> &wanted)
        : m_text(text), m_wanted(wanted)
    { }

    void scan()
    {
        for (m_at = 0; m_at < m_text.size(); ++m_at)
            scanCharacter(m_text[m_at]);
    }

private:
    struct Level
    {
        bool isArray = false;
        std::size_t index = 0;
        std::string key;
        bool keyComes = false;
    };

    void scanCharacter(char c)
    {
        switch (c) {
        case '\n':
            ++m_line;
            break;
        case ' ':
        case '\t':
        case '\r':
        case ':':
            break;
        case '{':
        case '[':
            beginValue();
            m_levels.push_back({c == '[', 0, {}, c == '{'});
            break;
        case '}':
        case ']':
            m_levels.pop_back();
            break;
        case ',':
            ++m_levels.back().index;
            m_levels.back().keyComes = !m_levels.back().isArray;
            break;
        case '"':
            scanString();
            break;
        default:
            scanWord();
        }
    }

    void scanString()
    {
        const std::size_t begin = m_at + 1;
        for (++m_at; m_text[m_at] != '"'; ++m_at)
            m_at += m_text[m_at] == '\\' ? 1 : 0;
        if (!m_levels.empty() && m_levels.back().keyComes) {
            m_levels.back().key = m_text.substr(begin, std::min(m_at - begin, maxIndexedKey));
            m_levels.back().keyComes = false;
        } else {
            beginValue();
        }
    }

    // A number, true, false or null.
    void scanWord()
    {
        beginValue();
        while (m_at + 1 < m_text.size()
               && std::string_view(",]}: \t\r\n").find(m_text[m_at + 1]) == std::string_view::npos)
            ++m_at;
    }

    void beginValue()
    {
        constexpr std::size_t maxLevels = 3;
        if (m_levels.size() > maxLevels)
            return;
        std::string path;
        for (const Level &it : m_levels) {
            if (it.isArray)
                path += "[" + std::to_string(it.index) + "]";
            else
                path += (path.empty() ? "" : ".") + it.key;
        }
        const auto wanted = m_wanted.find(path);
        if (wanted != m_wanted.end() && wanted->second == 0)
            wanted->second = m_line;
    }

    std::string_view m_text;
    std::map<std::string, std::uint32_t> &m_wanted;
    std::vector<Level> m_levels;
    std::size_t m_at = 0;
    std::uint32_t m_line = 1;
};

} // namespace

Result<std::string, TextProblem> readConfigurationText(const std::string &path)
{
    std::error_code error;
    const auto status = std::filesystem::status(path, error);
    if (error || !std::filesystem::exists(status))
        return TextProblem {0, "no such file, or it cannot be read"};
    if (!std::filesystem::is_regular_file(status))
        return TextProblem {0, "not a regular file"};
    std::ifstream file(path, std::ios::binary);
    std::string text(configurationTextLimit + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (!file && !file.eof()))
        return TextProblem {0, "cannot be read"};
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

bool isJsonText(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

std::optional<TextProblem> screenConfigurationText(std::string_view text)
{
    if (text.size() > configurationTextLimit)
        return TextProblem {0,
                            "larger than " + std::to_string(configurationTextLimit)
                                    + " bytes, which no configuration needs"};
    const auto binary = std::find_if(text.begin(), text.end(), isBinary);
    if (binary != text.end()) {
        const auto at = static_cast<std::size_t>(binary - text.begin());
        return TextProblem {lineAt(text, at),
                            "binary data: byte " + std::to_string(at) + " is a control character"};
    }
    if (text.find_first_not_of(" \t\r\n") == std::string_view::npos)
        return TextProblem {0, "empty"};
    return isJsonText(text) ? screenJson(text) : screenToml(text);
}

std::vector<std::uint32_t> findTomlLines(std::string_view text,
                                         const std::vector<std::string> &paths)
{
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error &) {
        return std::vector<std::uint32_t>(paths.size(), 0);
    }
    std::vector<std::uint32_t> lines;
    lines.reserve(paths.size());
    for (const std::string &path : paths) {
        std::uint32_t line = 0;
        for (std::string it = path; !it.empty() && line == 0; it = parentPath(it)) {
            if (const auto node = table.at_path(it))
                line = static_cast<std::uint32_t>(node.node()->source().begin.line);
        }
        lines.push_back(line);
    }
    return lines;
}

std::vector<std::uint32_t> findJsonLines(std::string_view text,
                                         const std::vector<std::string> &paths)
{
    std::map<std::string, std::uint32_t> wanted;
    for (const std::string &path : paths) {
        for (std::string it = path; !it.empty(); it = parentPath(it))
            wanted.emplace(it, 0);
    }
    JsonLineScanner(text, wanted).scan();
    std::vector<std::uint32_t> lines;
    for (const std::string &path : paths) {
        std::uint32_t line = 0;
        for (std::string it = path; !it.empty() && line == 0; it = parentPath(it))
            line = wanted.at(it);
        lines.push_back(line);
    }
    return lines;
}

} // namespace cornelshed
