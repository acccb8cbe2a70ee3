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
#include "promptguard.h"
#include "promptquarantine.h"
#include "requestaudit.h"
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

    // Whether the service's budget has a retry left, and takes one if it has.
    virtual bool hasRetry(const std::string &service) = 0;
    virtual bool tryTakeRetry(const std::string &service) = 0;

    // The head of an answer of the backend server arrived.
    virtual void replyReceived(const RequestId &id, const std::string &backend,
                               const BackendReply &reply) = 0;

    // Whether the prompt may be what crashes backend servers.
    virtual bool isSuspect(const PromptIdentity &prompt) const = 0;

    // The answer to the prompt went on beyond its beginning.
    virtual void answerContinued(const PromptIdentity &prompt) = 0;
    // The answer to the prompt is complete.
    virtual void answerCompleted(const PromptIdentity &prompt) = 0;

    // Digest of a backend server's id and start, which names its crash.
    virtual std::uint64_t backendDigest(const std::string &backend) const = 0;

    // Whether a backend server that the request has not been sent to may run it, now or later.
    virtual bool hasOtherBackend(const GatewayExchange &exchange) = 0;

    // Queues the request for another attempt: calls setQueued(), and later startAttempt() or
    // handleRefusal(), unless the place in the queue is withdrawn.
    virtual void requeue(GatewayExchange &exchange) = 0;
    virtual void withdraw(GatewayExchange &exchange) = 0;

    // The request began to run: the first event of a stream arrived, or the head of another answer.
    // Called for each attempt.
    virtual void requestBegan(const GatewayExchange &exchange) = 0;
    // The current attempt received its first event of a stream.
    virtual void firstEvent(const GatewayExchange &exchange) = 0;
    virtual void attemptEnded(const GatewayExchange &exchange, const AttemptReport &report) = 0;

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

    // The request waits in the scheduler's queue under this id.
    void setQueued(const RequestId &id) { m_queuedId = id; }
    void leftQueue() { m_queuedId.reset(); }
    const std::optional<RequestId> &queuedId() const { return m_queuedId; }

    // Called before startAttempt(). Returns whether the request may be sent: a retry that was not
    // taken from the budget before the request was queued is taken now. Without one, the request
    // is queued again later.
    bool takeRetry();

    // Sends the request to the backend server that the scheduler chose. A silent attempt that is
    // still running is cancelled, or, if it may be at the end of its stream, set aside until the
    // new one goes on with the stream. id: that of the place in the queue.
    void startAttempt(const RequestId &id, const BackendRecord &backend, BackendClient &client);

    // The scheduler refused the queued request. Ends the exchange unless an attempt is running, or
    // the request may be queued again later.
    void handleRefusal(const RefuseAction &refusal);

    // The scheduler chose this backend server, but the gateway no longer has it.
    void handleMissingBackend(const std::string &backend);

    // What the running attempt has reserved by tryBuffer(), and a way to end that attempt because
    // all responses together need too much.
    std::size_t incompleteBytes() const
    {
        return (m_attempt.running ? m_attempt.reservedBytes : 0)
                + (m_silentAttempt ? m_silentAttempt->reservedBytes : 0);
    }
    void endLargeResponse();

    // Ends the exchange or queues it again after an audit has found it in this state.
    void recover(RequestState state);

    void callerDisconnected() override;

    // The running attempt is the last one, whatever becomes of it.
    void stopSearching() { m_history.retryable = false; }

    // Ends the exchange because its prompt crashes backend servers and may not be tried again
    // before this time. A running attempt is cancelled.
    void endQuarantined(Duration untilTrial);

    // Ends the exchange because the process shuts down. The caller is told that the request was not
    // run only if that is certain.
    void shutDown();

    OpenRequest openRequest() const;
    const AdmittedRequest &admitted() const { return m_admitted; }
    const AttemptHistory &history() const { return m_history; }
    const std::set<std::string> &triedBackends() const { return m_triedBackends; }
    // Those that the next attempt must not use.
    const std::set<std::string> &excludedBackends() const { return m_excludedBackends; }
    // Those that handleMissingBackend() was called with. The request is not offered to them again,
    // or the scheduler might choose them for ever.
    const std::set<std::string> &missingBackends() const { return m_missingBackends; }
    // Id under which the scheduler started the current attempt or the last one.
    const RequestId &attemptId() const { return m_attempt.id; }
    bool isRunning() const { return m_attempt.running; }
    // Whether an attempt is in progress, has run or may have run.
    bool everSent() const { return m_history.ran > 0 || m_attempt.running; }
    const std::string &lastBackend() const { return m_attempt.backendId; }
    Duration attemptAge() const; // since the current attempt was sent
    // How far the answer of the current attempt, or of the last one, has come.
    AnswerPhase answerPhase() const;
    // Whether the backend server broke the connection of the current attempt, or of the last one.
    bool wasCut() const { return m_attempt.cut; }
    // Whether nothing listened at its address instead.
    bool wasRefusedConnection() const { return m_attempt.connectionRefused; }
    // Whether the caller or this gateway has enough of an answer to know that it went on.
    bool answerWentOn() const;
    bool answerStarted() const { return m_history.answerStarted; }
    const char *lastProblem() const { return m_problem; }
    // If the scheduler refused it: what kept it from backend servers, and from how many, such as
    // "leaving:1,paused:2".
    const std::string &unavailable() const { return m_unavailable; }
    Duration timeInQueue() const { return m_timeInQueue; } // before the first attempt
    // From the arrival to the start of a streamed response; 0 before.
    Duration timeToFirstEvent() const { return m_timeToFirstEvent; }

private:
    class ResponseHandler;

    // The request at one backend server, and what has arrived of the answer.
    struct Attempt
    {
        bool running = false;
        RequestId id;
        bool cut = false;               // see wasCut()
        bool connectionRefused = false; // see wasRefusedConnection()
        std::string backendId;
        std::shared_ptr<BackendExchange> call;
        std::shared_ptr<ResponseHandler> handler;
        Instant start {};
        // When the attempt was sent, or its response got further by a head, a complete event or
        // enough of a body. Fewer bytes are no progress: a stalled server may still send one now
        // and then.
        Instant lastProgressAt {};
        std::optional<std::uint32_t> status; // set once the response head was received
        Headers responseHeaders;
        BackendReply reply;
        std::string responseBody; // of a response that is not streamed
        // Reserved by tryBuffer() for responseBody or the incomplete event of a stream.
        std::size_t reservedBytes = 0;
        std::size_t bodyBytesAtProgress = 0; // size of responseBody at lastProgressAt
        std::optional<EventSplitter> eventSplitter;
        Instant firstEventAt {};
    };

    void armDeadline();
    void deadlineExpired();
    void armSearchTimer(Instant at);
    void cancelSearchTimer();
    void searchTimerExpired();
    Duration silenceLimit() const;
    void recordProgress();
    void logSilence(const char *event, const Attempt &attempt) const;
    void cancelSilentAttempt();
    bool mayBeAtEnd() const;
    void setAsideSilentAttempt();
    void dropSilentAttempt(AttemptOutcome outcome);
    void returnToSilentAttempt();
    bool isSilentAttempt(const ResponseHandler &handler) const;
    void handleSilentBody(const std::string &data);
    void handleSilentFailed(BackendError error);
    bool hasTimeForRetry() const;
    bool mayRunAgain() const;
    bool mayResumeLater() const;
    void waitForPlace();

    void handleHead(std::uint32_t status, Headers headers);
    void handleBody(const std::string &data);
    void handleFinished();
    void handleFailed(BackendError error);
    void recordCut();
    bool isStreamedResponse() const;
    void forwardEvents(const std::string &completeEvents);
    void bufferBody(const std::string &data);
    std::string takeBody();
    bool tryReserve(Attempt &attempt, std::size_t bytes);
    void failAttempt(const char *problem);
    void beginResponse();

    void endAttempt(AttemptEnd end, AttemptOutcome outcome);
    void takeStep(NextStep step);
    void abandonAttempt();
    void stopAttempt(AttemptOutcome outcome);
    void releaseAttempt(AttemptOutcome outcome);
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
    SharedBody m_body; // of the request, moved from m_admitted
    boost::asio::steady_timer m_deadlineTimer;
    // Expires when a running attempt may have been silent for too long, or when a stream without
    // one may be queued again.
    boost::asio::steady_timer m_searchTimer;
    AttemptHistory m_history;
    std::set<std::string> m_triedBackends;
    std::set<std::string> m_excludedBackends; // a subset of m_triedBackends
    std::set<std::string> m_missingBackends;

    // Id of the place in the scheduler's queue; empty: none. While an attempt is running, it is
    // silent, and it is cancelled or set aside before the queued one starts.
    std::optional<RequestId> m_queuedId;
    bool m_searchTimerSet = false;
    bool m_cancelledSilent = false; // an attempt that might have answered
    bool m_retryTaken = false;      // from the budget, for the next attempt

    Attempt m_attempt; // the current one, or the last one
    // An attempt that has fallen silent, perhaps at the end of its stream, while m_attempt, which
    // runs, is to resume the stream. Whichever sends the next event, or the end, goes on, and the
    // other one is cancelled.
    std::optional<Attempt> m_silentAttempt;
    // The last attempt ended with an error of the backend server, which is delivered unless another
    // attempt starts.
    bool m_hasErrorAnswer = false;

    std::optional<std::uint64_t> m_lastEventId; // of the last event that the caller has
    Duration m_timeInQueue {};                  // from the arrival to the first attempt
    Duration m_timeToFirstEvent {};             // from the arrival; 0 before
    const char *m_problem = "";                 // latest failure, for the log; empty: none
    std::string m_unavailable;
    bool m_finished = false;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_GATEWAYEXCHANGE_H
