// Interpreter of the scenario language: parses each line, passes events to the scheduler and
// compares the actions that it returns with the expectations as text.

#include "scenariorunner.h"

#include "entryscheduler.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

namespace cornelshed::testing {

using std::chrono::milliseconds;

namespace {

// Names of the enumerators of RejectReason, NotRunReason and UnknownReason, in their order.
constexpr std::array rejectReasons {"queue_full",           "draining",
                                    "zone_withdrawn",       "unknown_model",
                                    "deadline_unreachable", "shed"};
constexpr std::array notRunReasons {"no_backend_server", "waiting_limit", "deadline_unreachable",
                                    "deadline_passed",   "retry_budget",  "shutting_down",
                                    "caller_gone"};
constexpr std::array unknownReasons {"session_lost", "engine_error", "stream_cut",
                                     "deadline_passed", "caller_gone"};

// One line of a scenario, split at white space; words of the form key=value are options.
struct Line
{
    std::vector<std::string> words;
    std::map<std::string, std::string> options;

    std::string word(std::size_t i) const { return i < words.size() ? words[i] : std::string(); }
    std::string option(const std::string &key, const std::string &defaultValue) const
    {
        const auto it = options.find(key);
        return it == options.end() ? defaultValue : it->second;
    }
    int number(const std::string &key, int defaultValue) const
    {
        return std::stoi(option(key, std::to_string(defaultValue)));
    }
    RequestId request(std::size_t i) const { return {1, std::stoull(word(i))}; }
};

Line parse(const std::string &text)
{
    Line line;
    std::istringstream in(text.substr(0, text.find('#')));
    for (std::string it; in >> it;) {
        const std::size_t equals = it.find('=');
        if (equals == std::string::npos)
            line.words.push_back(it);
        else
            line.options[it.substr(0, equals)] = it.substr(equals + 1);
    }
    return line;
}

// Formats an action as it is written after "expect".
struct ActionFormatter
{
    std::string operator()(const SendToAgent &action) const
    {
        const std::string &server = action.backendServer.name;
        return std::visit([&](const auto &it) { return formatMessage(it, server); },
                          action.message);
    }
    std::string operator()(const EndRequest &action) const
    {
        const std::string request = std::to_string(action.request.sequence);
        if (const auto *it = std::get_if<NotRun>(&action.ending))
            return "not_run " + request + " " + notRunReasons[std::size_t(it->reason)];
        if (const auto *it = std::get_if<Unknown>(&action.ending))
            return "unknown " + request + " " + unknownReasons[std::size_t(it->reason)];
        return "answered " + request;
    }
    std::string operator()(const ReportOutcome &action) const
    {
        const std::string result = action.failed ? "failed" : action.inTime ? "ok" : "late";
        return "report " + action.backendServer.name + " " + result;
    }

private:
    static std::string joinWords(const char *name, RequestId request, const std::string &server)
    {
        return name + (" " + std::to_string(request.sequence)) + " " + server;
    }
    static std::string formatMessage(const Reserve &it, const std::string &server)
    {
        return joinWords("reserve", it.request, server);
    }
    static std::string formatMessage(const Withdraw &it, const std::string &server)
    {
        return joinWords("withdraw", it.request, server);
    }
    static std::string formatMessage(const Dispatch &it, const std::string &server)
    {
        return joinWords("dispatch", it.request, server);
    }
    static std::string formatMessage(const Decline &it, const std::string &server)
    {
        return joinWords("decline", it.request, server);
    }
    static std::string formatMessage(const Cancel &it, const std::string &server)
    {
        return joinWords("cancel", it.request, server);
    }
    static std::string formatMessage(const Hello & /*it*/, const std::string & /*server*/)
    {
        return "hello";
    }
    static std::string formatMessage(const ConfigurationNotice & /*it*/,
                                     const std::string & /*server*/)
    {
        return "configuration";
    }
};

// State of one scenario run.
class ScenarioRun
{
public:
    void processLine(const Line &line, const std::string &text)
    {
        if (line.words.empty())
            return;
        if (line.word(0) == "expect") {
            expect(text.substr(text.find("expect") + 7));
            return;
        }
        finishEvent();
        m_event = text;
        if (line.word(0) == "limits")
            setLimits(line);
        else
            recordActions(applyEvent(line));
    }
    std::vector<std::string> finish()
    {
        finishEvent();
        return m_problems;
    }

private:
    void setLimits(const Line &line)
    {
        m_limits.waitingRequestLimit = static_cast<std::uint32_t>(line.number("waiting", 4096));
        m_limits.reservationCount = static_cast<std::uint32_t>(line.number("reservations", 3));
        m_limits.retryBudgetBurst = static_cast<std::uint32_t>(line.number("retries", 16));
    }

    EntryScheduler &scheduler()
    {
        if (!m_scheduler)
            m_scheduler = std::make_unique<EntryScheduler>(m_limits, view({}), m_random);
        return *m_scheduler;
    }

    static std::shared_ptr<const RoutingView> view(const Line &line)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->availabilityZones = {{"z1", "r"}, {"z2", "r"}};
        for (auto &it : configuration->availabilityZones)
            if (it.name == line.option("withdrawn", ""))
                it.state = AvailabilityZoneState::Withdrawn;
        configuration->routes = {{"/r", {"p"}}};
        auto view = std::make_shared<RoutingView>();
        view->configuration = configuration;
        if (line.options.contains("leaving"))
            view->leavingServers = {line.option("leaving", "")};
        if (line.options.contains("share"))
            view->versionShares = {{"rollout",
                                    "p",
                                    "v1",
                                    "v2",
                                    {},
                                    std::stod(line.option("share", "0")),
                                    line.number("takenback", 0) != 0}};
        return view;
    }

    EntryActions connect(const Line &line)
    {
        Welcome welcome;
        welcome.backendServer = {line.word(1),
                                 static_cast<std::uint64_t>(line.number("incarnation", 1))};
        welcome.pool = "p";
        welcome.availabilityZone = line.option("zone", "z1");
        welcome.version = line.option("version", "v1");
        welcome.load.decodeTokensPerSecond = line.number("decode", 0);
        m_servers[line.word(1)] = welcome.backendServer;
        return scheduler().connected(welcome, m_now);
    }

    EntryActions submit(const Line &line)
    {
        RequestArrival arrival;
        arrival.request = line.request(1);
        arrival.tier = static_cast<TierRank>(line.number("tier", 0));
        arrival.route = line.option("route", "/r");
        arrival.promptTokens = 100;
        arrival.outputTokens = 100;
        if (const auto prefix = static_cast<std::uint64_t>(line.number("prefix", 0))) {
            arrival.promptTokens = 2000;
            arrival.prefixTokensPerHash = 2000;
            arrival.prefixHashes = {prefix};
        }
        arrival.deadline = m_now + milliseconds(line.number("deadline", 1000));
        return scheduler().submit(arrival, m_now);
    }

    EntryActions handleMessage(const Line &line, const AgentMessage &message)
    {
        return scheduler().handle(m_servers[line.word(1)], message, m_now);
    }

    EntryActions applyEvent(const Line &line)
    {
        const std::string &name = line.words.front();
        if (name == "server")
            return connect(line);
        if (name == "submit")
            return submit(line);
        if (name == "grant")
            return handleMessage(line,
                                 Grant {line.request(2),
                                        {1, static_cast<std::uint64_t>(line.number("id", 1))},
                                        {},
                                        milliseconds(line.number("total", 0)),
                                        {}});
        if (name == "reject")
            return handleMessage(line, Reject {line.request(2), rejectReason(line.word(3)), {}});
        if (name == "chunk")
            return handleMessage(line, Chunk {line.request(2), "x"});
        if (name == "finished")
            return handleMessage(line, Finished {line.request(2), {}, {}});
        if (name == "failed")
            return handleMessage(line,
                                 Failed {line.request(2),
                                         line.word(3) == "not_run",
                                         line.word(3) == "not_run" ? FailReason::GrantExpired
                                                                   : FailReason::EngineError,
                                         {}});
        if (name == "leaving")
            return handleMessage(line, Leaving {});
        if (name == "lose")
            return scheduler().disconnected(m_servers[line.word(1)], m_now);
        if (name == "gone")
            return scheduler().callerDisconnected(line.request(1), m_now);
        if (name == "view")
            return scheduler().setView(view(line), m_now);
        if (name == "wait") {
            m_now += milliseconds(std::stoi(line.word(1)));
            return scheduler().tick(m_now);
        }
        if (name == "shutdown")
            scheduler().beginShutdown();
        else
            m_problems.push_back("unknown event: " + m_event);
        return {};
    }

    static RejectReason rejectReason(const std::string &name)
    {
        const auto *it = std::find(rejectReasons.begin(), rejectReasons.end(), name);
        return static_cast<RejectReason>(it - rejectReasons.begin());
    }

    void recordActions(const EntryActions &actions)
    {
        for (const EntryAction &it : actions)
            m_actions.push_back(std::visit(ActionFormatter(), it));
    }

    void expect(std::string wanted)
    {
        wanted = wanted.substr(0, wanted.find(" #"));
        const auto it = std::find(m_actions.begin(), m_actions.end(), wanted);
        if (it == m_actions.end())
            m_problems.push_back("missing action after '" + m_event + "': " + wanted);
        else
            m_actions.erase(it);
    }

    void finishEvent()
    {
        for (const std::string &it : m_actions)
            m_problems.push_back("unexpected action after '" + m_event + "': " + it);
        m_actions.clear();
    }

    EntryLimits m_limits;
    SeededRandom m_random {1};
    std::unique_ptr<EntryScheduler> m_scheduler;
    Instant m_now {};
    std::map<std::string, BackendServerId> m_servers;
    std::string m_event;
    // Actions of the last event that no expect line has named yet.
    std::vector<std::string> m_actions;
    std::vector<std::string> m_problems;
};

} // namespace

std::vector<std::string> runScenario(const std::string &path)
{
    std::ifstream in(path);
    ScenarioRun run;
    bool empty = true;
    for (std::string text; std::getline(in, text); empty = false)
        run.processLine(parse(text), text);
    std::vector<std::string> problems = run.finish();
    if (empty)
        problems.push_back("scenario is empty or cannot be read: " + path);
    return problems;
}

} // namespace cornelshed::testing
