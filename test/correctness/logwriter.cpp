// Guards against logging that blocks a daemon when the reader of its pipe stalls, that grows
// without bound under load, or that drops lines without reporting it.

#include "logwriter.h"
#include "monotonicclock.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

class Pipe
{
public:
    Pipe()
    {
        REQUIRE(::pipe(m_ends.data()) == 0);
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writeEnd() const { return m_ends[1]; }

    std::string readAll() const
    {
        std::string text;
        std::array<char, 65536> buf {};
        for (ssize_t n = 0; (n = ::read(m_ends[0], buf.data(), buf.size())) > 0;)
            text.append(buf.data(), static_cast<std::size_t>(n));
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

} // namespace

TEST_CASE("writing to a full pipe drops lines and does not block")
{
    const Pipe pipe;
    LogWriter log({pipe.writeEnd(), 1e9, 1e9});
    const Instant start = monotonicNow();
    const std::string line(200, 'x');
    for (int i = 0; i < 5000; ++i)
        log.write(EventLevel::Info, line);
    CHECK(monotonicNow() - start < 2s);
    CHECK(log.droppedLines() > 3000);
    // When the reader resumes, no line is truncated and the number of dropped lines is logged.
    const std::string before = pipe.readAll();
    CHECK(before.back() == '\n');
    log.write(EventLevel::Info, "event=after");
    const std::string after = pipe.readAll();
    CHECK(after.find("event=log_lines_dropped count=") != std::string::npos);
    CHECK(after.find("event=after") != std::string::npos);
}

TEST_CASE("a burst of lines drops informational lines before warnings")
{
    const Pipe pipe;
    LogWriter log({pipe.writeEnd(), 1, 100});
    for (int i = 0; i < 200; ++i)
        log.write(EventLevel::Info, "event=routine");
    for (int i = 0; i < 20; ++i)
        log.write(EventLevel::Warning, "event=failure");
    const std::string text = pipe.readAll();
    std::size_t failures = 0;
    for (std::size_t at = 0; (at = text.find("event=failure", at)) != std::string::npos; ++at)
        ++failures;
    CHECK(failures == 20);
    CHECK(std::count(text.begin(), text.end(), '\n') <= 101);
    CHECK(text.starts_with("time=2"));
}
