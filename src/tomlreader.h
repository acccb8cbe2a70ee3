// Strict reading of TOML: every value is checked against what is allowed, unknown keys are errors,
// and all problems of a file are collected in one pass, so that an operator sees them at once.
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

// One thing wrong in a file, in the terms a user needs to mend it.
struct TomlProblem
{
    std::string file;
    std::uint32_t line = 0; // 1-based; 0 if the key is missing altogether
    std::string key;        // dotted path, such as limits.body_limit_bytes
    std::string found;      // the value as written, or "nothing"
    std::string allowed;

    auto operator<=>(const TomlProblem &) const = default;

    // file:line: key: found ..., allowed: ...
    std::string toString() const;
};

using TomlProblems = std::vector<TomlProblem>;

class TomlDocument;

// A table of the document. Reading a key marks it as known. A value that is missing without a
// default, of the wrong type or out of range becomes a problem, and a harmless value is returned.
class TomlSection
{
public:
    // Missing keys take the default; without one they are a problem.
    std::string text(std::string_view key, std::optional<std::string> byDefault = std::nullopt);
    std::string choice(std::string_view key, const std::vector<std::string> &allowed,
                       std::optional<std::string> byDefault = std::nullopt);
    std::int64_t integer(std::string_view key, std::int64_t least, std::int64_t most,
                         std::optional<std::int64_t> byDefault = std::nullopt);
    double number(std::string_view key, double least, double most,
                  std::optional<double> byDefault = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> byDefault = std::nullopt);
    std::vector<std::string> texts(std::string_view key); // missing: empty

    TomlSection table(std::string_view key);               // missing: an empty section
    std::vector<TomlSection> tables(std::string_view key); // array of tables; missing: empty

    bool has(std::string_view key) const;

    // Adds a problem about a key that was read but makes no sense to the caller.
    void reject(std::string_view key, std::string allowed);

private:
    friend class TomlDocument;
    class Private;
    explicit TomlSection(std::shared_ptr<Private> section);
    std::shared_ptr<Private> d; // shared: sections are handles into the document
};

class TomlDocument
{
public:
    // Syntax errors are added to problems, and the document is then empty. problems must outlive
    // the document and its sections.
    static TomlDocument parse(std::string_view text, const std::string &file,
                              TomlProblems &problems);

    TomlSection root() const;

    // Adds a problem for each key that no call has read.
    void reportUnknownKeys();

private:
    friend class TomlSection;
    class Private;
    explicit TomlDocument(std::shared_ptr<Private> document);
    std::shared_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_TOMLREADER_H
