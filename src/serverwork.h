// Requests on one backend server: their progress, what it shows about the server's pace, and
// whether the server bears one more.

#ifndef CORNELSHED_SERVERWORK_H
#define CORNELSHED_SERVERWORK_H

#include "adaptivelimit.h"
#include "agentscheduler.h"
#include "serverrates.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelshed {

struct RequestSize
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected

    bool operator==(const RequestSize &) const = default;
};

// Places held by grants.
struct HeldPlaces
{
    Occupancy occupancy;
    std::uint64_t promptTokens = 0;

    bool operator==(const HeldPlaces &) const = default;
};

struct RunningRequest
{
    SessionId session = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected
    Instant grantedAt;
    Instant startedAt;
    bool orphaned = false; // its session is gone, nobody receives the answer

    // Progress.
    std::uint64_t promptTokensAhead = 0; // not yet processed at the start, with its own
    Occupancy beside;                    // at the start, without itself
    std::uint32_t companions = 0;        // largest number of running requests seen, with itself
    std::optional<Instant> firstTokenAt;
    std::uint64_t producedTokens = 0;
    std::uint64_t tokensSinceSuccess = 0;                 // at good pace
    bool slow = false;                                    // judged slow at least once
    LatencyClass latestPace = LatencyClass::WithinTarget; // of the last observation

    // Window over which the time per token is measured.
    Instant windowStart;
    std::uint64_t windowTokens = 0;
    std::uint64_t windowPromptTokens = 0; // processed or waiting beside it during the window
};

struct ServiceEstimate
{
    Duration firstToken {}; // 0 while unknown
    Duration total {};

    bool operator==(const ServiceEstimate &) const = default;
};

class ServerWork
{
public:
    explicit ServerWork(const AgentLimits &limits);

    // True if the server bears one more request beside what runs and the places held by grants.
    // A prompt waits for those before it, so no further one is admitted while they take more than
    // a quarter of the target for the first token.
    bool admits(const HeldPlaces &held, const RequestSize &size, Instant now) const;

    // True if the request holds its place for a few seconds only.
    bool isShort(const RequestSize &size) const;

    void start(RequestId request, const RunningRequest &running);
    RunningRequest *find(RequestId request);
    void firstToken(RequestId request, Instant now);
    void tokens(RequestId request, std::uint64_t count, Instant now);

    // Takes the request off the server. The usage returned has the times as observed here.
    Usage finish(RequestId request, Usage usage, Instant now);
    void fail(RequestId request, bool serverFault, Instant now);

    // The server restarted or cannot be reached: back to the cold limit.
    void resetToCold(Instant now) { m_limit.resetToCold(now); }

    void setMaximumConcurrency(std::uint32_t maximum) { m_limit.setMaximumConcurrency(maximum); }

    // Time a request would need now, by the observed rates and what is on the server.
    ServiceEstimate estimate(std::uint64_t promptTokens, std::uint64_t outputTokens) const;

    // Requests of a session, in no order.
    std::vector<RequestId> ofSession(SessionId session) const;

    // True if the server makes no progress, or made none for a time that its baseline and what runs
    // do not explain, and has not shown its usual pace since. Nothing is admitted beside what runs.
    bool suspect(Instant now) const { return m_suspect || stalled(now); }

    std::size_t size() const { return m_running.size(); }
    Occupancy occupancy() const;
    LoadReport load() const;
    const AdaptiveLimit &limit() const { return m_limit; }

private:
    std::uint32_t batch() const { return static_cast<std::uint32_t>(m_running.size()); }
    bool stalled(Instant now) const;
    void progressed(Instant now);
    void learnGap(Duration gap);
    void judgeStart(RunningRequest &running, Instant now);
    LatencyClass judgeFirstToken(const RunningRequest &running, Duration time) const;
    LatencyClass judgeInterval(Duration perToken, Duration allowance) const;
    LatencyClass presentPace() const;
    void countSuccess(RunningRequest &running, LatencyClass latencyClass);
    void closeWindow(RunningRequest &running, Instant now);
    void learnPrefill(const RunningRequest &running, const Usage &usage);
    LatencyClass observeWhole(const RunningRequest &running, Duration total);
    void note(RunningRequest &running, LatencyClass latencyClass, Instant now);
    void clearSuspicion(Instant since);
    void relearnIfStuck(Instant now);
    void remove(RequestId request, Instant now);

    AgentLimits m_limits;
    AdaptiveLimit m_limit;
    ServerRates m_rates;
    std::unordered_map<RequestId, RunningRequest> m_running;
    std::uint64_t m_heldTokens = 0;    // prompt and expected output of what runs
    std::uint64_t m_pendingPrompt = 0; // prompt tokens of requests without a first token
    Instant m_lastProgress;            // last token or end, or start on an empty server
    std::uint32_t m_prefilling = 0;    // requests without a first token
    std::uint32_t m_startsSinceProgress = 0;
    bool m_gapHasPrompts = false; // prompts were processed since the last progress
    Duration m_usualGap {};       // largest gap of late at usual pace beside prompts
    bool m_suspect = false;       // set by a gap in the progress
    Duration m_suspectGap {};
    Instant m_suspectSince;
};

} // namespace cornelshed

#endif // CORNELSHED_SERVERWORK_H
