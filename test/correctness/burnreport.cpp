// Guards against counts that are lost between the entry daemons' rows and the report, and against
// HTML injection through names in the rows.

#include "burnreport.h"

#include <doctest/doctest.h>

using namespace cornelshed;

TEST_CASE("counts of several entry daemons are summed")
{
    auto lines = *parseBurnRow("300 high org 90 10\n3600 high org 1 0\n");
    const auto otherLines = *parseBurnRow("300 high org 100 0\n");
    lines.insert(lines.end(), otherLines.begin(), otherLines.end());
    const auto sums = sumBurn(lines);
    REQUIRE(sums.size() == 2);
    CHECK(sums[0] == BurnLine {300, "high", "org", 190, 10});
    CHECK(burnRate(sums[0], 0.995) == doctest::Approx(10));
    CHECK(burnRate({300, "high", "org", 0, 0}, 0.995) == 0);
    CHECK(burnTable(sums, 0.995).find("5min\thigh\torg\t190\t10\t10.00\n") != std::string::npos);
}

TEST_CASE("malformed rows are rejected")
{
    for (const char *it :
         {"300 high org 1", "x high org 1 1", "300 high org 1 -1", "300 high org 1 1 1",
          "-300 high org 1 1", "300 high org 1 99999999999999999999"})
        CHECK_FALSE(parseBurnRow(it).has_value());
    CHECK(parseBurnRow("")->empty());
}

TEST_CASE("the HTML page is self-contained and escapes names")
{
    const std::string html = burnHtml({{300, "<b>", "o&\"", 1, 1}}, 0.99);
    CHECK(html.find("<b>") == std::string::npos);
    CHECK(html.find("&lt;b&gt;") != std::string::npos);
    CHECK(html.find("o&amp;&quot;") != std::string::npos);
    CHECK(html.find("<svg") != std::string::npos);
    for (const char *it : {"<script", "src=", "href="})
        CHECK(html.find(it) == std::string::npos);
}
