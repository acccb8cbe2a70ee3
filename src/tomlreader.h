// Strict TOML reader: each value is checked for type and range, unknown keys are errors, and one
// pass collects all problems of a file, so that an operator sees them together.
//
// Example:
//     TomlProblems problems;
//     TomlDocument document = TomlDocument::parse(text, "entry.toml", problems);
//     TomlSection limits = document.root().table("limits");
//     settings.bodyLimitBytes = limits.integer("body_limit_bytes", 1, 1 << 30, 1 << 20);
//     document.reportUnknownKeys();

#ifndef CORNELSHED_TOMLREADER_H
#define CORNELSHED_TOMLREADER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// A validation error, with what an operator needs to correct the file.
struct TomlProblem
{
    std::string file;
    std::uint32_t line = 0; // 1-based; 0 if the key is missing altogether
    std::string key;        // dotted path, such as limits.body_limit_bytes
    std::string found;      // the value in the file, or "nothing"
    std::string allowed;    // description of the valid values

    auto operator<=>(const TomlProblem &) const = default;

    // file:line: key: found ..., allowed: ...
    std::string toString() const;
};

using TomlProblems = std::vector<TomlProblem>;

// Returns the first line with keys of so many parts that the TOML library, which nests them without
// a limit and destroys them by recursion, could overflow the stack.
std::optional<std::uint32_t> findTooDeepLine(std::string_view text);

class TomlDocument;

// Handle to a table of the document. Reading a key marks it as known. A value that has the wrong
// type, is out of range, or is missing and has no default adds a problem; the call then returns the
// default or else a placeholder, so that reading can go on.
class TomlSection
{
public:
    // A missing key yields defaultValue; without one, it is a problem.
    std::string text(std::string_view key, std::optional<std::string> defaultValue = std::nullopt);
    std::string choice(std::string_view key, const std::vector<std::string> &allowed,
                       std::optional<std::string> defaultValue = std::nullopt);
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                         std::optional<std::int64_t> defaultValue = std::nullopt);
    double number(std::string_view key, double minimum, double maximum,
                  std::optional<double> defaultValue = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> defaultValue = std::nullopt);
    std::vector<std::string> texts(std::string_view key); // empty if missing

    TomlSection table(std::string_view key);               // an empty section if missing
    std::vector<TomlSection> tables(std::string_view key); // array of tables, empty if missing

    bool has(std::string_view key) const;

    // Adds a problem for a key whose value, or absence, fails a check of the caller.
    void reject(std::string_view key, std::string allowed);

private:
    friend class TomlDocument;
    class Private;
    explicit TomlSection(std::shared_ptr<Private> section);
    std::shared_ptr<Private> d; // shared by copies of the handle
};

class TomlDocument
{
public:
    // A syntax error, or a key that is nested too deep, is added to problems and leaves the
    // document empty. problems must outlive the document and its sections.
    static TomlDocument parse(std::string_view text, const std::string &file,
                              TomlProblems &problems);

    TomlSection root() const;

    // Adds a problem for each key that was not read through a section.
    void reportUnknownKeys();

private:
    friend class TomlSection;
    class Private;
    explicit TomlDocument(std::shared_ptr<Private> document);
    std::shared_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_TOMLREADER_H
