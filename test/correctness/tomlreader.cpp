// Guards against settings that are silently ignored, accepted with the wrong type, or reported
// without the file, line and key to correct.

#include "tomlreader.h"

#include <doctest/doctest.h>

using namespace cornelshed;

namespace {

TomlProblems problemsAfterReading(const std::string &text, void (*read)(TomlSection &))
{
    TomlProblems problems;
    TomlDocument document = TomlDocument::parse(text, "f.toml", problems);
    TomlSection root = document.root();
    read(root);
    document.reportUnknownKeys();
    return problems;
}

} // namespace

TEST_CASE("valid values are read, and missing keys yield the default")
{
    const auto problems = problemsAfterReading(
            "count = 3\nshare = 1\nname = \"n\"\n[inner]\non = true\n", [](TomlSection &root) {
                CHECK(root.integer("count", 1, 5) == 3);
                CHECK(root.integer("other", 1, 5, 2) == 2);
                CHECK(root.number("share", 0, 1) == 1.0);
                CHECK(root.text("name") == "n");
                CHECK(root.table("inner").boolean("on"));
                CHECK(root.texts("list").empty());
                CHECK(root.tables("rows").empty());
            });
    CHECK(problems.empty());
}

TEST_CASE("one pass reports all problems with file, line, key, found and allowed values")
{
    const auto problems =
            problemsAfterReading("count = 9\nname = 5\nkind = \"x\"\nlist = [1]\non = 1\n"
                                 "extra = 1\nrows = 3\nwhole = 1.5\n",
                                 [](TomlSection &root) {
                                     root.integer("count", 1, 5);
                                     root.text("name");
                                     root.choice("kind", {"a", "b"});
                                     root.texts("list");
                                     root.boolean("on");
                                     root.tables("rows");
                                     root.integer("whole", 0, 9);
                                     root.text("missing");
                                 });
    REQUIRE(problems.size() == 9);
    CHECK(problems[0].toString() == "f.toml:1: count: found 9, allowed: an integer from 1 to 5");
    CHECK(problems[1] == TomlProblem {"f.toml", 2, "name", "5", "a non-empty string"});
    CHECK(problems[2].allowed == "a | b");
    CHECK(problems[6].line == 8);
    CHECK(problems[7] == TomlProblem {"f.toml", 0, "missing", "nothing", "a non-empty string"});
    CHECK(problems[8] == TomlProblem {"f.toml", 6, "extra", "1", "no such key"});
}

TEST_CASE("unknown keys are reported in nested tables and in arrays of tables")
{
    const auto problems = problemsAfterReading(
            "[[rows]]\na = 1\n[[rows]]\na = 2\nb = 3\n[inner]\nc = 4\n", [](TomlSection &root) {
                for (TomlSection &it : root.tables("rows"))
                    it.integer("a", 0, 9);
                root.table("inner");
            });
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].key == "inner.c");
    CHECK(problems[1].key == "rows[1].b");
}

TEST_CASE("a syntax error is reported as one problem with its line")
{
    const auto problems = problemsAfterReading("a = 1\nb = = 2\n", [](TomlSection &) {});
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].line == 2);
}

// Guards against memory by the square of a file's size: each wrong element is reported with the
// whole array.
TEST_CASE("the number of problems and the length of a value in them are bounded")
{
    std::string list;
    for (int i = 0; i < 3000; ++i)
        list += "\"-\", ";
    const auto problems = problemsAfterReading("list = [" + list + "]\n", [](TomlSection &root) {
        const std::size_t n = root.texts("list").size();
        for (std::size_t i = 0; i < n; ++i)
            root.reject("list", "names");
    });
    CHECK(problems.size() == 1000);
    CHECK(problems.front().found.size() <= 403);
    CHECK(problems.front().found.capacity() <= 1000);
}

// Guards against a stack overflow: a file of 60 KB ended the process that read it.
TEST_CASE("keys that are nested too deep are one problem with its line")
{
    std::string deepKey;
    for (int i = 0; i < 100000; ++i)
        deepKey += "a.";
    deepKey += "a";
    for (const std::string &text :
         {"\n" + deepKey + " = 1", "\n[" + deepKey + "]", "\nx = {" + deepKey + " = 1}",
          // Strings that end in a way that could hide what follows them.
          "x = {s = \"\"\"\n\"\"\", " + deepKey + " = 1}",
          "x = {s = \"\"\"\n\"\"\"\", " + deepKey + " = 1}",
          "x = {s = '''\n''''', " + deepKey + " = 1}", "\nx = {s = \"\\\\\", " + deepKey + " = 1}",
          "# \"\n" + deepKey + " = 1", "x = 'it''\n" + deepKey + " = 1"}) {
        CAPTURE(text.substr(0, 20));
        const auto problems = problemsAfterReading(text, [](TomlSection &) {});
        REQUIRE(problems.size() == 1);
        CHECK(problems[0].line == 2);
        CHECK(problems[0].found == "keys that are nested too deep");
    }
    // Dots in strings and comments nest nothing.
    const std::string dots(1000, '.');
    CHECK(problemsAfterReading("x = [\"" + dots + "\", '" + dots + "', \"\"\"\\\"" + dots
                                       + "\n\"\"\"] # " + dots,
                               [](TomlSection &root) { CHECK(root.texts("x").size() == 3); })
                  .empty());
}
