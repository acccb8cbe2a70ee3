// Handles one caller's request in a gateway from its arrival to its response: the attempts at
// backend servers, the forwarding of their responses, and the time limits. Runs on the traffic
// thread.

#ifndef CORNELSHED_GATEWAYEXCHANGE_H
#define CORNELSHED_GATEWAYEXCHANGE_H

#include "attemptpolicy.h"
#include "backendclient.h"
#include "callerchannel.h"
#include "directscheduler.h"
#include "eventsplitter.h"
#include "ingressprotocol.h"
#include "promptquarantine.h"
#include "routetable.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace cornelshed::detail {

class GatewayExchange;

inline constexpr const char *promptCrashesMessage =
        "the prompt, or a part of it, crashes backend servers";

// Interface that the gateway provides to its exchanges.
class ExchangeServices
{
public:
    virtual ~ExchangeServices() = default;

    virtual const IngressProtocol &protocol() const = 0;
    virtual boost::asio::io_context &context() = 0;

    // Takes one retry from the service's budget; false if none is left.
    virtual bool tryTakeRetry(const std::string &service) = 0;

    // The head of an answer of the backend server arrived.
    virtual void replyReceived(const std::string &backend, const BackendReply &reply) = 0;

    // Whether the prompt may be what crashes backend servers.
    virtual bool isSuspect(const PromptIdentity &prompt) const = 0;

    // The answer to the prompt went on beyond its beginning.
    virtual void answerContinued(const PromptIdentity &prompt) = 0;
    // The answer to the prompt is complete.
    virtual void answerCompleted(const PromptIdentity &prompt) = 0;

    // Digest of a backend server's id and start, which names its crash.
    virtual std::uint64_t backendDigest(const std::string &backend) const = 0;

    // Queues the request for another attempt.
    virtual void requeue(GatewayExchange &exchange) = 0;

    // The current attempt received its first event of a stream.
    virtual void firstEvent(const RequestId &id) = 0;
    virtual void attemptEnded(const RequestId &id, const AttemptReport &report) = 0;

    // Reserves memory for more of a response that is buffered until it is complete; false if the
    // response, or all of them together, would exceed their limit. bufferedBytes: what this
    // response has reserved before.
    virtual bool tryBuffer(std::size_t bufferedBytes, std::size_t bytes) = 0;
    virtual void releaseBuffer(std::size_t bytes) = 0;

    // The exchange has ended. status: what the caller got; 0 if the connection was closed without a
    // complete response.
    virtual void exchangeEnded(GatewayExchange &exchange, std::uint32_t status) = 0;
};

// A request that passed admission control, with what was determined there.
struct AdmittedRequest
{
    RequestId id;
    IngressRequest request;
    CallerMetadata metadata;
    DirectRoute route;
    std::string service; // chosen from those of the route
    std::string organisation;
    double allowanceCost = 0;        // charged to the organisation's allowance
    std::uint64_t order = 0;         // smaller values are scheduled first
    std::uint32_t reservedSlots = 0; // slots of a backend server left free for higher ranks
    Instant deadline {};             // the caller's or the route's, whichever is earlier
    std::uint64_t configurationVersion = 0;
    PromptIdentity prompt;
};

class GatewayExchange final : public IngressExchange,
                              public std::enable_shared_from_this<GatewayExchange>
{
public:
    GatewayExchange(ExchangeServices &services, AdmittedRequest admitted,
                    std::shared_ptr<CallerChannel> channel);
    ~GatewayExchange() override;

    void start(); // starts the deadline timer

    bool isClosedByCaller() const { return m_channel->isClosedByCaller(); }

    // Sends the request to the backend server that the scheduler chose.
    void startAttempt(const BackendRecord &backend, BackendClient &client);

    // Ends the exchange after the scheduler refused the queued request. It may have run in an
    // earlier attempt.
    void handleRefusal(const RefuseAction &refusal);

    void callerDisconnected() override;

    // Ends the exchange because its prompt crashes backend servers and may not be tried again
    // before this time. A running attempt is cancelled.
    void endQuarantined(Duration untilTrial);

    // Ends the exchange because the process shuts down. The caller is told that the request was not
    // run only if that is certain.
    void shutDown();

    const AdmittedRequest &admitted() const { return m_admitted; }
    const AttemptHistory &history() const { return m_history; }
    const std::set<std::string> &triedBackends() const { return m_triedBackends; }
    // Whether an attempt is in progress, has run or may have run.
    bool everSent() const { return m_history.ran > 0 || m_attemptRunning; }
    const std::string &lastBackend() const { return m_backendId; }
    Duration attemptAge() const; // since the current attempt was sent
    // Whether the answer of the current attempt, or of the last one, had begun but went no further
    // than its beginning.
    bool answerJustBegun() const;
    // Whether the backend server broke the connection of the current attempt, or of the last one.
    bool wasCut() const { return m_cut; }
    // Whether the caller or this gateway has enough of an answer to know that it went on.
    bool answerWentOn() const;
    bool answerStarted() const { return m_history.answerStarted; }
    const char *lastProblem() const { return m_problem; }
    Duration timeInQueue() const { return m_timeInQueue; } // before the first attempt
    // From the arrival to the start of a streamed response; 0 before.
    Duration timeToFirstEvent() const { return m_timeToFirstEvent; }

private:
    class ResponseHandler;

    void armDeadline();
    void deadlineExpired();
    void armSilenceTimer();
    void silenceTimerExpired();
    Duration silenceLimit() const;

    void handleHead(std::uint32_t status, Headers headers);
    void handleBody(const std::string &data);
    void handleFinished();
    void handleFailed(BackendError error);
    void recordCut();
    bool isStreamedResponse() const;
    void forwardEvents(std::string_view data);
    void bufferBody(const std::string &data);
    std::string takeBody();
    void failAttempt(const char *problem);
    void beginResponse();

    void endAttempt(AttemptEnd end, AttemptOutcome outcome);
    void takeStep(NextStep step);
    void abandonAttempt();
    void deliver();
    Duration retryAfterDelay(Duration expected) const; // for a refused caller
    void fail(std::uint32_t status, const char *reason, std::optional<Duration> retryAfter);
    void abortResponse();
    void finish(std::uint32_t status);
    Headers responseHeaders() const;
    AttemptReport report(AttemptOutcome outcome) const;

    ExchangeServices &m_services;
    AdmittedRequest m_admitted;
    std::shared_ptr<CallerChannel> m_channel;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;
    AttemptHistory m_history;
    std::set<std::string> m_triedBackends;

    // --- current attempt ---
    bool m_attemptRunning = false;
    bool m_cut = false; // see wasCut()
    std::string m_backendId;
    std::shared_ptr<BackendExchange> m_call;
    std::shared_ptr<ResponseHandler> m_responseHandler;
    Instant m_attemptStart {};
    // When the attempt was sent, or its response got further by a head, a complete event or enough
    // of a body. Fewer bytes are no progress: a stalled server may still send one now and then.
    Instant m_lastProgressAt {};
    std::optional<std::uint32_t> m_status; // set once the response head was received
    Headers m_responseHeaders;
    BackendReply m_reply;
    std::string m_responseBody; // of a response that is not streamed; reserved by tryBuffer()
    std::size_t m_bodyBytesAtProgress = 0; // size of m_responseBody at m_lastProgressAt
    std::optional<EventSplitter> m_eventSplitter;
    Instant m_firstEventAt {};

    std::optional<std::uint64_t> m_lastEventId; // of the last event that the caller has
    Duration m_timeInQueue {};                  // from the arrival to the first attempt
    Duration m_timeToFirstEvent {};             // from the arrival; 0 before
    const char *m_problem = "";                 // latest failure, for the log; empty: none
    bool m_finished = false;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_GATEWAYEXCHANGE_H
