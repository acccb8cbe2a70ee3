// Guards against an operator's command that changes something although it reports a problem, or
// whose exit status does not match what happened.

#include "operatorcommands.h"
#include "answers.h"
#include "controlthread.h"
#include "modelplatform.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace cornelshed;

namespace {

// A temporary file, removed by the destructor.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
    {
        const int descriptor = mkstemp(m_path.data());
        REQUIRE(descriptor >= 0);
        close(descriptor);
        std::ofstream(m_path) << text;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const { return m_path; }

    std::string text() const
    {
        std::ostringstream text;
        text << std::ifstream(m_path).rdbuf();
        return text.str();
    }

private:
    std::string m_path = "/tmp/cornelshed-test-XXXXXX";
};

struct CapturedCommands
{
    std::ostringstream output;
    std::ostringstream errors;
    OperatorCommands commands {output, errors};
};

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string configurationWith(const std::string &organisation)
{
    const TemporaryFile answers(replaceFirst(questionnaireText(), "first-caller", organisation));
    const TemporaryFile output("");
    CapturedCommands op;
    REQUIRE(op.commands.generate(answers.path(), output.path()) == ExitStatus::Success);
    return output.text();
}

AcceptOptions options(const testing::ModelPlatform &platform, const TemporaryFile &file,
                      const std::string &name)
{
    AcceptOptions result;
    result.configurationPath = file.path();
    result.platform = {"127.0.0.1", platform.port()};
    result.operatorName = name;
    return result;
}

// Returns the word that follows the option in the text.
std::string valueOf(const std::string &option, const std::string &text)
{
    std::istringstream words(text.substr(text.find(option) + option.size()));
    std::string word;
    words >> word;
    return word;
}

bool contains(const std::ostringstream &stream, const std::string &text)
{
    return stream.str().find(text) != std::string::npos;
}

} // namespace

TEST_CASE("invalid answers leave the output file unchanged")
{
    const TemporaryFile answers(replaceFirst(questionnaireText(), "size = \"large\"", "size = 3"));
    const TemporaryFile output("before");
    CapturedCommands op;
    CHECK(op.commands.generate(answers.path(), output.path()) == ExitStatus::InvalidInput);
    CHECK(output.text() == "before");
    CHECK(contains(op.errors, "organisations[0].size: found 3, allowed: small | medium | large"));
    CHECK(op.commands.check("/nonexistent/answers.toml") == ExitStatus::InvalidInput);
}

TEST_CASE("of two concurrent operators one succeeds, and the other is told who it was and the "
          "difference")
{
    testing::ModelPlatform platform;
    const TemporaryFile fileOfAna(configurationWith("anas-caller"));
    const TemporaryFile fileOfBen(configurationWith("bens-caller"));
    CapturedCommands ana;
    CapturedCommands ben;
    auto anas = options(platform, fileOfAna, "ana");
    auto bens = options(platform, fileOfBen, "ben");
    anas.expectedVersion = 0;
    bens.expectedVersion = 0;
    CHECK(ana.commands.diff(fileOfAna.path(), anas.platform) == ExitStatus::Different);
    CHECK(ana.commands.accept(anas) == ExitStatus::Success);
    CHECK(ana.commands.diff(fileOfAna.path(), anas.platform) == ExitStatus::Success);
    CHECK(ben.commands.accept(bens) == ExitStatus::NotAccepted);
    CHECK(contains(ben.errors, "version 1 by ana"));
    CHECK(contains(ben.errors, "- organisations.anas-caller\n+ organisations.bens-caller\n"));
    CHECK(ben.commands.status(bens.platform) == ExitStatus::Success);
    CHECK(contains(ben.output, "configuration: version 1 by ana"));
}

TEST_CASE("an outage gives exit status Unavailable; after a lost answer the outcome is read back")
{
    testing::ModelPlatform platform;
    const TemporaryFile file(configurationWith("caller"));
    CapturedCommands op;
    auto accept = options(platform, file, "ana");
    platform.setTableDown(true);
    CHECK(op.commands.accept(accept) == ExitStatus::Unavailable);
    CHECK(op.commands.status(accept.platform) == ExitStatus::Unavailable);
    platform.setTableDown(false);
    platform.setLoseAnswers(true);
    CHECK(op.commands.accept(accept) == ExitStatus::Success);
    CHECK(contains(op.output, "accepted: version 1"));
}

TEST_CASE("the printed command determines an unknown outcome without a second acceptance")
{
    testing::ModelPlatform platform;
    const TemporaryFile file(configurationWith("caller"));
    CapturedCommands op;
    auto accept = options(platform, file, "ana");
    accept.changeId = "earlier";
    accept.expectedVersion = 0;
    platform.setTableDown(true);
    CHECK(op.commands.accept(accept) == ExitStatus::Unknown);
    platform.setTableDown(false);
    auto printed = options(platform, file, valueOf("--operator", op.errors.str()));
    printed.changeId = valueOf("--change", op.errors.str());
    printed.expectedVersion = std::stoull(valueOf("--seen", op.errors.str()));
    CHECK(valueOf("--configuration", op.errors.str()) == file.path());
    CHECK(op.commands.accept(printed) == ExitStatus::Success);
    CHECK(op.commands.accept(printed) == ExitStatus::Success); // not accepted again
    CHECK(contains(op.output, "accepted: version 1 (change earlier)"));
    CHECK_FALSE(contains(op.output, "version 2"));
}

TEST_CASE("accept waits until the change is in force in every listed entry daemon")
{
    testing::ModelPlatform platform;
    const std::uint16_t port = testing::freePort();
    const PlatformHost live {"a", "127.0.0.1", 1, port, "zone-a", "entry", "", "live"};
    platform.setHosts({live});
    ControlThread control({"a", 1, "zone-a", "127.0.0.1", port, "127.0.0.1", platform.port(),
                           CORNELSHED_SOURCE_DIR "/charts"},
                          [](auto) {});
    control.start();
    const TemporaryFile file(configurationWith("caller"));
    CapturedCommands op;
    auto accept = options(platform, file, "ana");
    accept.waitTimeout = std::chrono::seconds(4);
    CHECK(op.commands.accept(accept) == ExitStatus::Success);
    CHECK(control.configurationVersion() == 1);
    CHECK(op.commands.status(accept.platform) == ExitStatus::Success);
    CHECK(contains(op.output, "entry a: version 1"));
    PlatformHost gone = live;
    gone.name = "gone";
    gone.peerPort = testing::freePort();
    platform.setHosts({live, gone});
    accept.waitTimeout = std::chrono::milliseconds(1500); // enough for the live daemon
    CHECK(op.commands.accept(accept) == ExitStatus::NotInForce);
    CHECK(contains(op.errors, "not in force yet: gone"));
}

TEST_CASE("an endpoint consists of an address and a port")
{
    CHECK(parseEndpoint("127.0.0.1:80") == PlatformEndpoint {"127.0.0.1", 80});
    CHECK(parseEndpoint("[::1]:80") == PlatformEndpoint {"::1", 80});
    for (const char *it : {"", ":", "127.0.0.1", ":80", "a:", "a:0", "a:65536", "a:8x"})
        CHECK_FALSE(parseEndpoint(it).has_value());
}
