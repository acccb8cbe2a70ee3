// Compares the names of log events and metrics in the sources with docs/OPERATIONS.md. Guards
// against events and metrics that the page does not explain, and against events on the page that no
// code writes.

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

// Returns the first capture group of all matches of the pattern.
std::set<std::string> findCaptures(const std::string &text, const std::string &pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> captures;
    for (std::sregex_iterator it(text.begin(), text.end(), expression), end; it != end; ++it)
        captures.insert((*it)[1]);
    return captures;
}

// Returns the text of all .cpp files in src/.
std::string readSources()
{
    std::string text;
    for (const auto &it :
         std::filesystem::directory_iterator(std::string(CORNELSHED_SOURCE_DIR) + "/src")) {
        if (it.path().extension() == ".cpp")
            text += readFile(it.path());
    }
    return text;
}

} // namespace

TEST_CASE("every event and metric is explained in OPERATIONS.md, which lists no unknown events")
{
    const std::string code = readSources();
    const std::string page = readFile(std::string(CORNELSHED_SOURCE_DIR) + "/docs/OPERATIONS.md");
    auto emittedNames = findCaptures(code, R"re(EventLog\("([a-z_]+)")re");
    emittedNames.merge(findCaptures(code, R"re(EventLog\([^;"]*\? "([a-z_]+)" :)re"));
    emittedNames.merge(findCaptures(code, R"re(EventLog\([^;"]*\? "[a-z_]+" : "([a-z_]+)")re"));
    // The log writer writes this event itself, without EventLog.
    emittedNames.insert("log_lines_dropped");
    emittedNames.merge(
            findCaptures(code, R"re("(cornelshed_(?:gateway|admission)_[a-z_]+[a-z]))re"));
    // Counters are named in the code without the prefix that the gateway adds to them.
    for (const std::string &name : findCaptures(code, R"re([^.]counter\("([a-z_]+_total))re"))
        emittedNames.insert("cornelshed_gateway_" + name);
    REQUIRE(emittedNames.size() > 40);
    const auto explainedNames = findCaptures(page, R"re(`((?:cornelshed_)?[a-z]+(?:_[a-z]+)*)`)re");
    for (const std::string &it : emittedNames) {
        INFO(it);
        CHECK(explainedNames.contains(it));
    }
    const auto tableRowNames =
            findCaptures(page, R"re(\n\| `((?:cornelshed_)?[a-z]+(?:_[a-z]+)*)`)re");
    for (const std::string &it : tableRowNames) {
        INFO(it);
        if (!it.starts_with("cornelshed_"))
            CHECK(code.find(it) != std::string::npos);
    }
}
