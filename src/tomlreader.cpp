// Strict TOML reader on top of toml++. The nodes that were read are kept in a hash set, so that one
// walk over the document finds all unknown keys. Dotted paths are built only for problems, because
// a configuration with 31,000 organisations has about 93,000 keys.

#include "tomlreader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <sstream>
#include <unordered_set>

namespace cornelshed {

namespace {

// With 128 inline tables in each other, which need at least one line each, this gives 12,800
// levels. A stack of 8 MB overflowed between 25,000 and 30,000.
constexpr std::size_t maxDotsPerLine = 100;

// Counts the dots of each line outside of strings and comments.
class DotScanner
{
public:
    explicit DotScanner(std::string_view text) : m_text(text) { }

    std::optional<std::uint32_t> findLineWithMoreThan(std::size_t limit)
    {
        for (m_at = 0; m_at < m_text.size(); ++m_at) {
            const char c = m_text[m_at];
            if (c == '\n') {
                endLine();
            } else if (c == '"' || c == '\'') {
                skipString(c);
            } else if (c == '#') {
                m_at = std::min(m_text.find('\n', m_at), m_text.size()) - 1;
            } else if (c == '.' && ++m_dots > limit) {
                return m_line;
            }
        }
        return std::nullopt;
    }

private:
    void endLine()
    {
        ++m_line;
        m_dots = 0;
    }

    bool isTripleQuote(char quote) const { return m_text.substr(m_at, 3) == std::string(3, quote); }

    bool isEscape(char quote) const
    {
        return quote == '"' && m_text[m_at] == '\\' && m_at + 1 < m_text.size()
                && m_text[m_at + 1] != '\n';
    }

    // Leaves m_at at the last character of the string.
    void skipString(char quote)
    {
        if (isTripleQuote(quote))
            skipMultiLineString(quote);
        else
            skipLineString(quote);
    }

    // A string without an end, which the library reports, ends with its line.
    void skipLineString(char quote)
    {
        for (++m_at; m_at < m_text.size() && m_text[m_at] != quote; ++m_at) {
            if (m_text[m_at] == '\n') {
                --m_at;
                return;
            }
            m_at += isEscape(quote) ? 1 : 0;
        }
    }

    void skipMultiLineString(char quote)
    {
        for (m_at += 3; m_at < m_text.size() && !isTripleQuote(quote); ++m_at) {
            if (m_text[m_at] == '\n')
                endLine();
            m_at += isEscape(quote) ? 1 : 0;
        }
        m_at += 2;
        // Up to two quotes before the closing ones belong to the string.
        for (int i = 0; i < 2 && m_at + 1 < m_text.size() && m_text[m_at + 1] == quote; ++i)
            ++m_at;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
    std::uint32_t m_line = 1;
    std::size_t m_dots = 0; // on this line
};

} // namespace

std::optional<std::uint32_t> findTooDeepLine(std::string_view text)
{
    return DotScanner(text).findLineWithMoreThan(maxDotsPerLine);
}

std::string TomlProblem::toString() const
{
    return file + ":" + std::to_string(line) + ": " + key + ": found " + found
            + ", allowed: " + allowed;
}

class TomlDocument::Private
{
public:
    Private(std::string file, TomlProblems &problems)
        : m_file(std::move(file)), m_problems(problems)
    { }

    // A problem states the whole value, so a file with long wrong arrays would otherwise take
    // memory by the square of its size.
    void addProblem(const toml::node *node, const std::string &path, std::string allowed)
    {
        constexpr std::size_t maxProblems = 1000;
        constexpr std::size_t maxFoundBytes = 400;
        if (m_problems.size() >= maxProblems)
            return;
        std::ostringstream found;
        if (node == nullptr)
            found << "nothing";
        else
            node->visit([&](const auto &it) { found << it; });
        const std::uint32_t line = node == nullptr ? 0 : node->source().begin.line;
        std::string value = found.str();
        if (value.size() > maxFoundBytes)
            value = value.substr(0, maxFoundBytes) + "..."; // does not keep the memory of the rest
        m_problems.push_back({m_file, line, path, std::move(value), std::move(allowed)});
    }

    void addUnknownKeys(const toml::table &table, const std::string &prefix)
    {
        for (const auto &[key, node] : table)
            addUnknownKey(node, prefix, key.str());
    }

    toml::table m_table;
    std::string m_file;
    TomlProblems &m_problems;
    std::unordered_set<const toml::node *> m_readNodes; // values of the keys that were read

private:
    void addUnknownKey(const toml::node &node, const std::string &prefix, std::string_view key)
    {
        if (m_readNodes.count(&node) == 0) {
            addProblem(&node, prefix + std::string(key), "no such key");
            return;
        }
        if (const toml::table *inner = node.as_table())
            addUnknownKeys(*inner, prefix + std::string(key) + ".");
        if (const toml::array *array = node.as_array()) {
            for (std::size_t n = 0; n < array->size(); ++n) {
                if (const toml::table *row = array->get(n)->as_table())
                    addUnknownKeys(*row,
                                   prefix + std::string(key) + "[" + std::to_string(n) + "].");
            }
        }
    }
};

class TomlSection::Private
{
public:
    Private(std::shared_ptr<TomlDocument::Private> document, const toml::table *table,
            std::string prefix)
        : m_document(std::move(document)), m_table(table), m_prefix(std::move(prefix))
    { }

    std::string path(std::string_view key) const { return m_prefix + std::string(key); }

    const toml::node *find(std::string_view key)
    {
        const toml::node *node = m_table == nullptr ? nullptr : m_table->get(key);
        if (node != nullptr)
            m_document->m_readNodes.insert(node);
        return node;
    }

    void addProblem(const toml::node *node, std::string_view key, std::string allowed)
    {
        m_document->addProblem(node, path(key), std::move(allowed));
    }

    // Returns the value if it has the given type and passes the test; adds a problem otherwise.
    template<typename Value, typename Test>
    Value read(std::string_view key, std::optional<Value> defaultValue, const std::string &allowed,
               Test test)
    {
        const toml::node *node = find(key);
        if (node == nullptr && defaultValue.has_value())
            return *defaultValue;
        const std::optional<Value> value = node == nullptr ? std::nullopt : node->value<Value>();
        if (value.has_value() && test(*value))
            return *value;
        addProblem(node, key, allowed);
        return defaultValue.value_or(Value {});
    }

    std::shared_ptr<TomlDocument::Private> m_document;
    const toml::table *m_table; // null if the file lacks the table
    std::string m_prefix;
};

TomlSection::TomlSection(std::shared_ptr<Private> section) : d(std::move(section)) { }

std::string TomlSection::text(std::string_view key, std::optional<std::string> defaultValue)
{
    const bool emptyAllowed = defaultValue.has_value() && defaultValue->empty();
    return d->read<std::string>(key, std::move(defaultValue), "a non-empty string",
                                [&](const std::string &it) { return emptyAllowed || !it.empty(); });
}

std::string TomlSection::choice(std::string_view key, const std::vector<std::string> &allowed,
                                std::optional<std::string> defaultValue)
{
    std::string list;
    for (const std::string &it : allowed)
        list += (list.empty() ? "" : " | ") + it;
    const std::string first = allowed.front();
    const auto test = [&](const std::string &value) {
        return std::find(allowed.begin(), allowed.end(), value) != allowed.end();
    };
    const std::string value = d->read<std::string>(key, std::move(defaultValue), list, test);
    return value.empty() ? first : value;
}

std::int64_t TomlSection::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                                  std::optional<std::int64_t> defaultValue)
{
    const std::string allowed =
            "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const toml::node *node = d->find(key);
    if (node != nullptr && !node->is_integer()) {
        d->addProblem(node, key, allowed);
        return defaultValue.value_or(minimum);
    }
    return d->read<std::int64_t>(key, defaultValue, allowed,
                                 [&](std::int64_t it) { return it >= minimum && it <= maximum; });
}

double TomlSection::number(std::string_view key, double minimum, double maximum,
                           std::optional<double> defaultValue)
{
    std::ostringstream allowed;
    allowed << "a number from " << minimum << " to " << maximum;
    return d->read<double>(key, defaultValue, allowed.str(),
                           [&](double it) { return it >= minimum && it <= maximum; });
}

bool TomlSection::boolean(std::string_view key, std::optional<bool> defaultValue)
{
    const toml::node *node = d->find(key);
    if (node != nullptr && !node->is_boolean()) {
        d->addProblem(node, key, "true | false");
        return defaultValue.value_or(false);
    }
    return d->read<bool>(key, defaultValue, "true | false", [](bool) { return true; });
}

std::vector<std::string> TomlSection::texts(std::string_view key)
{
    const toml::node *node = d->find(key);
    if (node == nullptr)
        return {};
    const toml::array *values = node->as_array();
    if (values == nullptr || !std::all_of(values->begin(), values->end(), [](const toml::node &it) {
            return it.is_string();
        })) {
        d->addProblem(node, key, "an array of strings");
        return {};
    }
    std::vector<std::string> result;
    for (const toml::node &it : *values)
        result.push_back(it.value_or(std::string()));
    return result;
}

TomlSection TomlSection::table(std::string_view key)
{
    const toml::node *node = d->find(key);
    const toml::table *inner = node == nullptr ? nullptr : node->as_table();
    if (node != nullptr && inner == nullptr)
        d->addProblem(node, key, "a table");
    return TomlSection(std::make_shared<Private>(d->m_document, inner, d->path(key) + "."));
}

std::vector<TomlSection> TomlSection::tables(std::string_view key)
{
    const toml::node *node = d->find(key);
    if (node == nullptr)
        return {};
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        d->addProblem(node, key, "an array of tables");
        return {};
    }
    std::vector<TomlSection> result;
    for (std::size_t n = 0; n < array->size(); ++n) {
        const toml::table *row = array->get(n)->as_table();
        if (row == nullptr) {
            d->addProblem(array->get(n), key, "a table");
            continue;
        }
        const std::string prefix = d->path(key) + "[" + std::to_string(n) + "].";
        result.push_back(TomlSection(std::make_shared<Private>(d->m_document, row, prefix)));
    }
    return result;
}

bool TomlSection::has(std::string_view key) const
{
    return d->m_table != nullptr && d->m_table->contains(key);
}

void TomlSection::reject(std::string_view key, std::string allowed)
{
    d->addProblem(d->find(key), key, std::move(allowed));
}

TomlDocument::TomlDocument(std::shared_ptr<Private> document) : d(std::move(document)) { }

TomlDocument TomlDocument::parse(std::string_view text, const std::string &file,
                                 TomlProblems &problems)
{
    auto document = std::make_shared<Private>(file, problems);
    if (const auto line = findTooDeepLine(text)) {
        problems.push_back({file, *line, "(syntax)", "keys that are nested too deep",
                            "at most " + std::to_string(maxDotsPerLine) + " dots on a line"});
        return TomlDocument(std::move(document));
    }
    try {
        document->m_table = toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        problems.push_back({file, static_cast<std::uint32_t>(error.source().begin.line), "(syntax)",
                            std::string(error.description()), "valid TOML"});
    }
    return TomlDocument(std::move(document));
}

TomlSection TomlDocument::root() const
{
    return TomlSection(std::make_shared<TomlSection::Private>(d, &d->m_table, ""));
}

void TomlDocument::reportUnknownKeys()
{
    d->addUnknownKeys(d->m_table, "");
}

} // namespace cornelshed
