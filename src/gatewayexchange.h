// One caller's request in the gateway, from its arrival to its answer: the attempts at backend
// servers, what is passed on of their answers, and the time limits. Runs on the traffic thread.

#ifndef CORNELSHED_GATEWAYEXCHANGE_H
#define CORNELSHED_GATEWAYEXCHANGE_H

#include "attemptpolicy.h"
#include "backendclient.h"
#include "callerchannel.h"
#include "directscheduler.h"
#include "eventsplitter.h"
#include "ingressprotocol.h"
#include "routetable.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace cornelshed::detail {

class GatewayExchange;

// What an exchange needs of the gateway.
class ExchangeServices
{
public:
    virtual ~ExchangeServices() = default;

    virtual const IngressProtocol &protocol() const = 0;
    virtual boost::asio::io_context &context() = 0;

    // Takes one repeat from the budget of the service.
    virtual bool tryRepeat(const std::string &service) = 0;

    // Puts the request into the queue again.
    virtual void offerAgain(GatewayExchange &exchange) = 0;

    virtual void firstEvent(const RequestId &id) = 0;
    virtual void attemptEnded(const RequestId &id, const AttemptReport &report) = 0;

    // The exchange is over; status is what the caller got, 0 for a connection closed on it.
    virtual void exchangeEnded(GatewayExchange &exchange, std::uint32_t status) = 0;
};

// What is known about a request when it is admitted.
struct AdmittedRequest
{
    RequestId id;
    IngressRequest request;
    CallerFacts facts;
    DirectRoute route;
    std::string service; // chosen among those of the route
    std::string organisation;
    double allowanceCost = 0; // taken from the organisation's allowance
    std::uint64_t order = 0;
    std::uint32_t leaveFree = 0;
    Instant deadline {}; // the caller's or the route's, whichever is first
    std::uint64_t configurationVersion = 0;
};

class GatewayExchange final : public IngressExchange,
                              public std::enable_shared_from_this<GatewayExchange>
{
public:
    GatewayExchange(ExchangeServices &services, AdmittedRequest admitted,
                    std::shared_ptr<CallerChannel> channel);
    ~GatewayExchange() override;

    void start(); // arms the deadline

    bool callerClosed() const { return m_channel->callerClosed(); }

    // The scheduler chose a backend server.
    void startAttempt(const BackendRecord &backend, BackendClient &client);

    // The scheduler refused the request; it has not run in the last attempt.
    void refused(const RefuseAction &refusal);

    void callerLeft() override;

    // The process shuts down; ends the exchange in the most truthful way.
    void shutDown();

    const AdmittedRequest &admitted() const { return m_admitted; }
    const AttemptHistory &history() const { return m_history; }
    const std::set<std::string> &triedBackends() const { return m_tried; }
    bool everSent() const { return m_history.ran > 0 || m_running; }
    const std::string &lastBackend() const { return m_backend; }
    Duration attemptAge() const; // since the present attempt was sent
    bool answerBegun() const { return m_history.answerBegun; }
    const char *lastProblem() const { return m_problem; }
    Duration timeInQueue() const { return m_queueTime; } // until the first attempt
    Duration timeToFirstEvent() const { return m_firstEventTime; }

private:
    class Answer;

    void armDeadline();
    void deadlinePassed();
    void watchSilence();
    void silenceChecked();
    Duration silenceLimit() const;

    void handleHead(std::uint32_t status, Headers headers);
    void handleBody(const std::string &data);
    void handleFinished();
    void handleFailed(BackendError error);
    bool streamsAnswer() const;
    void passEvents(std::string_view data);
    void beginAnswer();

    void endAttempt(AttemptEnd end, AttemptOutcome outcome);
    void takeStep(NextStep step);
    void abandonAttempt();
    void deliver();
    Duration returnAfter(Duration expected) const; // time to tell a refused caller
    void fail(std::uint32_t status, const char *reason, std::optional<Duration> retryAfter);
    void breakOff();
    void finish(std::uint32_t status);
    Headers answerHeaders() const;
    AttemptReport report(AttemptOutcome outcome) const;

    ExchangeServices &m_services;
    AdmittedRequest m_admitted;
    std::shared_ptr<CallerChannel> m_channel;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;
    AttemptHistory m_history;
    std::set<std::string> m_tried;

    // --- the attempt under way ---
    bool m_running = false;
    std::string m_backend; // id
    std::shared_ptr<BackendCall> m_call;
    std::shared_ptr<Answer> m_answer;
    Instant m_attemptStart {};
    Instant m_lastProgress {};
    std::optional<std::uint32_t> m_status; // set once the head was received
    Headers m_answerHeaders;
    BackendReply m_reply;
    std::string m_body; // of an answer that is not streamed
    std::optional<EventSplitter> m_events;
    Instant m_firstEventAt {};

    std::optional<std::uint64_t> m_lastEvent; // passed to the caller
    Duration m_queueTime {};                  // from the arrival to the first attempt
    Duration m_firstEventTime {};             // from the arrival; 0 before
    const char *m_problem = "";
    bool m_over = false;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_GATEWAYEXCHANGE_H
