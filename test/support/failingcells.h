// Cells of the tables of error.failingserverstable: an answer up to the phase in which its server
// ends, the request and its path to the server, and the code for what the caller got.

#ifndef CORNELSHED_TEST_FAILINGCELLS_H
#define CORNELSHED_TEST_FAILINGCELLS_H

#include "agentrunner.h"
#include "endingserver.h"
#include "entryrunner.h"
#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cornelshed::testing {

enum class Phase { BeforeHead, InHead, AfterHead, InBody, InLastChunk, AfterEnd };

// The letters of the columns of each row, for requests in this order: plain, must not run twice;
// plain, may run twice; stream, must not run twice; stream, may run twice. The request has one
// attempt if it must not run twice, and two servers otherwise, of which the second one is sound.
//
// W  the answer of the failing server as complete: its bytes are all of it
// O  the complete answer, for which a second server was asked
// B  502, after one attempt
// D  504 after one attempt
// C  the events up to the end of the server, without the end of the stream
// E  (agent) the same, then an event that states an error with an unknown outcome
constexpr std::size_t columns = 4;

inline bool isStream(std::size_t column)
{
    return column >= 2;
}

inline bool mayRunTwice(std::size_t column)
{
    return column % 2 == 1;
}

inline const std::string plainBody = "0123456789";
inline const std::string plainPart = "01234";
constexpr int tableEventCount = 3;

inline std::string tableEvents(bool forAgent)
{
    std::string text;
    for (int id = 1; id <= tableEventCount; ++id)
        text += forAgent ? "data: t" + std::to_string(id) + "\n\n" : eventText(id);
    return text + (forAgent ? "data: [DONE]\n\n" : "");
}

// One event and the beginning of the next one.
inline std::string eventsPart(bool forAgent)
{
    return tableEvents(forAgent).substr(
            0, (forAgent ? std::string("data: t1\n\n") : eventText(1)).size() + 4);
}

struct Answer
{
    std::string head; // without the status line and the empty line
    std::string whole;
    std::string part;
    char framing = 'L';
    bool stream = false;

    Answer(char framedBy, bool isEvents, bool forAgent)
        : whole(isEvents ? tableEvents(forAgent) : plainBody),
          part(isEvents ? eventsPart(forAgent) : plainPart), framing(framedBy), stream(isEvents)
    {
        head = "X-Request-Id: {id}\r\nX-Response-Seal: s\r\nContent-Type: ";
        head += isEvents ? "text/event-stream\r\n" : "text/plain\r\n";
        if (framing == 'L')
            head += "Content-Length: " + std::to_string(whole.size()) + "\r\n";
        else if (framing == 'C')
            head += "Transfer-Encoding: chunked\r\n";
    }

    // The body as far as it is sent before the server ends.
    std::string body(Phase phase) const
    {
        if (phase == Phase::AfterHead)
            return {};
        const bool isPart = phase == Phase::InBody;
        if (framing != 'C')
            return isPart ? part : whole;
        if (isPart)
            return chunk(whole).substr(0, chunk(whole).size() - 2 - whole.size() + part.size());
        return chunk(whole) + (phase == Phase::InLastChunk ? "0\r\n" : "0\r\n\r\n");
    }

    std::string text(Phase phase, const std::string &line = "HTTP/1.1 200 OK") const
    {
        const std::string lines = line + "\r\n" + head;
        if (phase == Phase::BeforeHead)
            return {};
        if (phase == Phase::InHead)
            return lines.substr(0, lines.size() - 4);
        return lines + "\r\n" + body(phase);
    }
};

constexpr std::size_t smallUploadBytes = 10;
// More than the server's receive buffer and less than the peer's send buffer.
constexpr std::size_t bufferedUploadBytes = 300000;
// More than both.
constexpr std::size_t largeUploadBytes = 4500000;

// One request at a server that ends.
struct Cell
{
    std::string name;
    EndingScript script;
    std::size_t column = 0;
    char expected = 'B';
    bool throughAgent = false;
    std::size_t uploadBytes = smallUploadBytes;
    std::string marker; // the caller has received this before the server ends
    std::string sent;   // the body that the failing server sent
    std::string whole;
    char upload = 'D'; // a letter of the table
};

constexpr std::chrono::milliseconds silenceDeadline {1500};
constexpr std::chrono::milliseconds otherDeadline {2900};

inline std::string gatewayRequest(const Cell &cell)
{
    static const std::vector<std::string> paths {"/order/a", "/look/a", "/query/a", "/quote/a"};
    const bool isSilent = cell.script.end == ServerEnd::Silence && !mayRunTwice(cell.column);
    return "POST " + paths[cell.column] + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
            + cell.script.id + "\r\nX-Key: key-1\r\nConnection: close\r\nX-Deadline-Ms: "
            + std::to_string((isSilent ? silenceDeadline : otherDeadline).count()) + "\r\n";
}

inline std::string agentRequestText(const Cell &cell)
{
    const bool isSilent = cell.script.end == ServerEnd::Silence;
    return std::string("POST ") + (mayRunTwice(cell.column) ? "/status" : "/orders")
            + " HTTP/1.1\r\nHost: entry\r\nCornelshed-Organisation: acme\r\nX-Request-Id: "
            + cell.script.id + "\r\nConnection: close\r\nIdempotency-Key: " + cell.script.id
            + "\r\n" + "Cornelshed-Deadline-Ms: "
            + std::to_string((isSilent ? silenceDeadline : otherDeadline).count()) + "\r\n";
}

inline std::string withBody(const std::string &head, std::size_t bytes)
{
    return head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
}

inline std::string requestOf(const Cell &cell)
{
    return withBody(cell.throughAgent ? agentRequestText(cell) : gatewayRequest(cell),
                    cell.uploadBytes);
}

// A gateway in front of the server's two ports.
class GatewayPath
{
public:
    explicit GatewayPath(const EndingServer &server, int servers = 2)
    {
        RouteTableContent content = gatewayRouteTable();
        content.limits.bodyBytes = 8000000;
        std::vector<BackendRecord> records;
        records.reserve(static_cast<std::size_t>(servers));
        for (int n = 0; n < servers; ++n)
            records.push_back(gatewayBackend("i-" + std::to_string(n + 1),
                                             server.port(static_cast<std::size_t>(n))));
        m_runner.configure(content, records);
    }

    std::uint16_t port() const { return m_runner.port(); }

private:
    GatewayRunner m_runner;
};

// An entry daemon and an agent in front of the server's first port.
class AgentPath
{
public:
    explicit AgentPath(const EndingServer &server)
        : m_agent(ofAgent(server.port())), m_entry(ofEntry())
    {
        m_entry.configure(smallDeployment(),
                          {{"a1", "127.0.0.1", m_agent.daemon().entryPort(), "z1"}});
        m_entry.waitForAgents(1);
        waitUntilReady();
    }

    std::uint16_t port() const { return m_entry.port(); }

private:
    // An agent refuses requests until its probe has reached the server.
    void waitUntilReady()
    {
        for (int n = 0; n < 1000; ++n) {
            Caller admin(m_agent.daemon().adminPort());
            admin.send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
            if (admin.receive().status == 200)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    static AgentSettings ofAgent(std::uint16_t port)
    {
        AgentSettings settings = agentSettings(port, PoolKind::Service);
        settings.shutdownTimeoutMs = 20; // a silent server keeps its request
        return settings;
    }

    static EntrySettings ofEntry()
    {
        EntrySettings settings = entrySettings();
        settings.trafficThreads = 1;
        settings.bodyLimitBytes = 8000000;
        return settings;
    }

    AgentRunner m_agent;
    EntryRunner m_entry;
};

inline bool isCutStream(const Cell &cell, const ReceivedAnswer &answer)
{
    return answer.status == 200 && !answer.complete && cell.sent.starts_with(answer.body);
}

// The letter of the table for what the caller got; '?': none of them.
inline char letterOf(const Cell &cell, const ReceivedAnswer &answer, int arrivals)
{
    if (answer.status == 502 && answer.complete)
        return cell.throughAgent && answer.outcome != "unknown" ? '?' : 'B';
    if (answer.status == 504 && answer.complete && !cell.throughAgent)
        return 'D';
    if (isCutStream(cell, answer))
        return 'C';
    if (cell.throughAgent && answer.status == 200 && answer.outcome == "unknown")
        return answer.body.find("[DONE]") == std::string::npos
                        && answer.body.find("event: error") != std::string::npos
                ? 'E'
                : '?';
    if (answer.status != 200 || !answer.complete)
        return '?';
    if (arrivals == 1 || cell.throughAgent)
        return answer.body == cell.sent ? 'W' : '?';
    return answer.body == cell.whole && arrivals == 2 ? 'O' : '?';
}

// A connection that was reset before the request was written counts as none: the request is sent
// to another server or reported as not run.
inline bool isAllowed(const Cell &cell, const ReceivedAnswer &answer, char letter, int arrivals)
{
    const bool hasRefusal = answer.status == 503 && answer.complete;
    const bool mayBeUnsent =
            cell.upload == 'N' && cell.script.end == ServerEnd::Reset && !cell.script.awaitsCaller;
    if (letter == cell.expected)
        return cell.throughAgent || letter != 'B' || arrivals == 1;
    if (!mayBeUnsent)
        return false;
    return cell.throughAgent ? hasRefusal && answer.outcome == "not_run" : letter == 'O';
}

inline std::string describe(const Cell &cell, const ReceivedAnswer &answer, char letter,
                            int arrivals)
{
    return cell.name + ": expected " + cell.expected + ", got " + letter + " (status "
            + std::to_string(answer.status) + (answer.complete ? ", complete" : ", incomplete")
            + ", outcome '" + answer.outcome + "', " + std::to_string(arrivals)
            + " arrivals, body '" + answer.body.substr(0, 80) + "')";
}

// On a busy machine, the agent's grant may expire before the request has reached the agent, which
// then refuses it without sending it to the server.
inline bool isRefusedByBusyAgent(const Cell &cell, const ReceivedAnswer &answer, int arrivals)
{
    return cell.throughAgent && answer.status == 503 && answer.complete
            && answer.outcome == "not_run" && arrivals == 0;
}

// Returns a description of what went wrong; empty: nothing. A cell whose request was refused by a
// busy agent is played again.
inline std::string play(const Cell &cell)
{
    constexpr int limit = 20;
    for (int n = 1;; ++n) {
        EndingServer server(cell.script);
        ReceivedAnswer answer;
        if (cell.throughAgent) {
            AgentPath path(server);
            answer = exchangeWith(path.port(), requestOf(cell), cell.marker, server);
        } else {
            GatewayPath path(server);
            answer = exchangeWith(path.port(), requestOf(cell), cell.marker, server);
        }
        const int arrivals = server.arrivals();
        if (n < limit && isRefusedByBusyAgent(cell, answer, arrivals)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            continue;
        }
        const char letter = letterOf(cell, answer, arrivals);
        return isAllowed(cell, answer, letter, arrivals) ? std::string()
                                                         : describe(cell, answer, letter, arrivals);
    }
}

// Plays the cells on this number of threads.
inline void playOn(std::size_t threadCount, const std::vector<Cell> &cells)
{
    std::atomic<std::size_t> next {0};
    std::mutex mutex; // guards problems
    std::vector<std::string> problems;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < threadCount; ++n) {
        threads.emplace_back([&] {
            for (std::size_t at = next++; at < cells.size(); at = next++) {
                const std::string problem = play(cells[at]);
                const std::lock_guard lock(mutex);
                if (!problem.empty())
                    problems.push_back(problem);
            }
        });
    }
    for (std::thread &it : threads)
        it.join();
    MESSAGE(cells.size() << " cells");
    for (const std::string &it : problems)
        CHECK_MESSAGE(false, it);
}

// Large uploads are played on fewer threads, unless their servers are silent: agents that share the
// processors with many of them would be too late for their own grants. The other cells mostly wait.
inline void playAll(const std::vector<Cell> &cells)
{
    std::vector<Cell> uploads;
    std::vector<Cell> others;
    for (const Cell &it : cells) {
        const bool isUpload =
                it.uploadBytes > smallUploadBytes && it.script.end != ServerEnd::Silence;
        (isUpload ? uploads : others).push_back(it);
    }
    playOn(32, others);
    playOn(12, uploads);
}

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_FAILINGCELLS_H
