// Admits, schedules and logs requests; each has a GatewayExchange.

#include "gateway.h"

#include "admissionclient.h"
#include "backendstatements.h"
#include "callerchannel.h"
#include "eventlog.h"
#include "gatewayadmission.h"
#include "gatewayexchange.h"
#include "listener.h"
#include "monotonicclock.h"
#include "peerconfigurations.h"
#include "promptguard.h"
#include "requestaudit.h"
#include "stabledigest.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <unordered_map>
#include <unordered_set>

namespace cornelshed {

namespace asio = boost::asio;
using detail::AdmittedRequest;
using detail::CallerChannel;
using detail::GatewayExchange;
using detail::IngressExchange;
using detail::IngressRequest;

namespace {

using namespace std::chrono_literals;

// Time limits of connections to backend servers.
constexpr Duration backendConnectLimit = 300ms; // a round trip takes a few milliseconds
constexpr Duration backendIdleLimit = 8s;
constexpr Duration backendUnacknowledgedLimit = 1s;
// A queued request is refused after this share of its route's objective: a response that starts
// later would miss the objective, and the caller can still try another gateway.
constexpr double maxWaitObjectiveShare = 0.75;
// A shutdown ends the remaining requests this long before its time limit, at which the process must
// have exited.
constexpr Duration shutdownMargin = 300ms;
// A peer that has run for less does not know yet what its peers know.
constexpr Duration peerStartTime = 1s;
// Retry-After of requests that are refused in the last part of a shutdown; callers can switch to
// another gateway at once.
constexpr Duration shutdownRetryAfter = 50ms;
// Interval at which the open requests are compared with the scheduler.
constexpr Duration auditInterval = 1s;
// After a request was cut, the port of its backend server is checked this many times: a process
// that ends may close its connections before it stops listening.
constexpr std::uint32_t portChecks = 3;
constexpr Duration portCheckInterval = 100ms;
// Interval at which a shutdown checks whether the last responses have been written.
constexpr Duration drainCheckInterval = 20ms;
// The connections that the listener still passes on are known before a shutdown ends.
static_assert(detail::Listener::handshakeTime < drainCheckInterval);
// Closed connections are removed from the list of all when it is twice as long as needed, and this
// many longer.
constexpr std::size_t channelSweepMinimum = 64;

std::string retryAfterText(Duration duration)
{
    return std::to_string(std::chrono::duration<double>(duration).count());
}

} // namespace

class Gateway::Private final : public detail::ExchangeServices,
                               public std::enable_shared_from_this<Private>
{
public:
    struct BackendEntry
    {
        std::unique_ptr<BackendClient> client;
        std::string address;
        std::uint16_t port = 0;
        std::int64_t startedAtMs = 0;
    };

    Private(asio::io_context &asioContext, const IngressProtocol &callerProtocol,
            GatewayTrafficSettings traffic, StateChart rolloutChart, Metrics &metricsRegistry)
        : ioContext(asioContext), ingressProtocol(callerProtocol), settings(std::move(traffic)),
          metrics(metricsRegistry),
          listener(std::make_shared<detail::Listener>(std::vector {&asioContext})),
          scheduler(settings.scheduling), statements(scheduler, metrics), dueTimer(asioContext),
          drainTimer(asioContext), drainLimitTimer(asioContext), auditTimer(asioContext),
          firstEventTimes(metrics.summary("cornelshed_gateway_first_event_seconds",
                                          "From a request's arrival to its first event")),
          answerTimes(metrics.summary("cornelshed_gateway_answer_seconds",
                                      "From a request's arrival to the end of its answer")),
          admission(ingressProtocol,
                    {settings.keyCheckMaxProofAge, settings.allowanceWindow,
                     settings.allowanceTolerance}),
          rollouts(std::move(rolloutChart),
                   {settings.name + "#" + std::to_string(settings.incarnation),
                    settings.exposureShare, settings.exposureConstant}),
          prompts(metrics), agents(asioContext, scheduler, settings.incarnation, settings.agentPort,
                                   [this] { advance(monotonicNow()); })
    {
        // The metrics are formatted on the traffic thread, so these functions need no lock.
        metrics.gauge("cornelshed_gateway_waiting", "Requests that wait for a backend server",
                      [this] { return static_cast<double>(scheduler.waiting()); });
        metrics.gauge("cornelshed_gateway_running", "Requests at backend servers",
                      [this] { return static_cast<double>(scheduler.running()); });
        metrics.gauge("cornelshed_gateway_unowned_requests",
                      "Requests that nothing would end before their time limit", [this] {
                          return static_cast<double>(
                                  auditRequests(openRequests(), scheduler).faults());
                      });
        metrics.gauge("cornelshed_gateway_request_body_bytes",
                      "Bodies of requests that are received or in progress",
                      [this] { return static_cast<double>(requestBodies->heldBytes()); });
        metrics.gauge("cornelshed_gateway_buffered_bytes",
                      "Bytes of responses that are not complete yet",
                      [this] { return static_cast<double>(bufferedBytes); });
        metrics.gauge("cornelshed_gateway_backends", "Backend servers listed",
                      [this] { return static_cast<double>(backends.size()); });
        metrics.gauge("cornelshed_gateway_configuration_version", "Version in force; 0: none",
                      [this] { return static_cast<double>(versionInForce()); });
        metrics.gauge("cornelshed_gateway_configuration_age_seconds",
                      "Age of the proof that it is the newest; -1: never proven", [this] {
                          const Duration age = proofAge();
                          return age == Duration::max()
                                  ? -1
                                  : std::chrono::duration<double>(age).count();
                      });
    }

    Counter &counter(const std::string &name, const char *help)
    {
        return metrics.counter("cornelshed_gateway_" + name, help);
    }

    // --- admission ---

    std::shared_ptr<IngressExchange> admit(IngressRequest request,
                                           const std::shared_ptr<CallerChannel> &channel)
    {
        counter("requests_total", "Requests received").add();
        const Instant now = monotonicNow();
        CallerMetadata metadata;
        auto result = admission.admit(std::move(request), proofAge(), metadata, now);
        channel->setRequestId(metadata.requestId);
        if (const auto *refusal = std::get_if<detail::AdmissionRefusal>(&result))
            return refuse(channel, metadata, refusal->error, refusal->retryAfter);
        auto &admitted = std::get<AdmittedRequest>(result);
        admitted.prompt = identifyPrompt(admitted.metadata, admitted.service, admitted.organisation,
                                         admitted.request.method, admitted.request.target,
                                         admitted.request.body);
        // It would be cut off at the end of the shutdown.
        if (closing && admitted.deadline > requestsEndAt) {
            refundAllowance(admitted);
            return refuse(channel, metadata, {503, "shutdown", "shutting down"},
                          shutdownRetryAfter);
        }
        if (const auto untilTrial =
                    prompts.refusal(admitted.prompt, admitted.metadata.requestId, now)) {
            refundAllowance(admitted);
            return refuse(channel, metadata,
                          {503, "prompt_quarantined", detail::promptCrashesMessage}, untilTrial);
        }
        if (const auto wait =
                    prompts.probationWait(admitted.prompt, admitted.metadata.requestId, now)) {
            refundAllowance(admitted);
            return refuse(channel, metadata,
                          {503, "prompt_on_probation", detail::promptCrashesMessage}, wait);
        }
        admitted.id = {settings.incarnation, ++lastRequestNumber};
        const auto exchange =
                std::make_shared<GatewayExchange>(*this, std::move(admitted), channel);
        const AdmittedRequest &stored = exchange->admitted();
        exchanges.emplace(stored.id, exchange);
        exchange->start();
        retryBudget(stored.service).firstAttempt(now);
        enqueue(*exchange, stored.id, now);
        return exchange;
    }

    void refundAllowance(const AdmittedRequest &admitted)
    {
        if (admitted.allowanceCost > 0)
            admission.allowances().refund(admitted.organisation, admitted.allowanceCost);
    }

    // Each place in the queue has an id of its own: agents lease slots by it, and a request may
    // have one while an attempt is running.
    void enqueue(GatewayExchange &exchange, const RequestId &id, Instant now)
    {
        exchange.setQueued(id);
        queued.emplace(id, exchange.shared_from_this());
        scheduler.add(directRequest(exchange, id, now));
        advance(now);
    }

    DirectRequest directRequest(const GatewayExchange &exchange, const RequestId &id, Instant now)
    {
        const AdmittedRequest &admitted = exchange.admitted();
        const bool retry = !exchange.triedBackends().empty();
        const bool requeued = id != admitted.id;
        const auto wait = std::chrono::duration_cast<Duration>(admitted.route.objective
                                                               * maxWaitObjectiveShare);
        DirectRequest request;
        request.id = id;
        request.service = admitted.service;
        request.order = admitted.order;
        request.reservedSlots = retry ? 0 : admitted.reservedSlots;
        request.arrivedAt = now;
        const Instant waitUntil = (retry ? now : admitted.request.receivedAt) + wait;
        request.waitUntil = std::min(waitUntil, admitted.deadline);
        request.deadline = admitted.deadline;
        request.promptTokens = admitted.metadata.promptTokens;
        request.outputTokens = admitted.metadata.outputTokens;
        request.sessionAffinityKey = admitted.metadata.sessionAffinityKey;
        if (settings.scheduling.promptCache.enabled)
            request.promptParts = promptCacheParts(admitted.metadata);
        const std::set<std::string> &missing = exchange.missingBackends();
        request.excluded = exchange.excludedBackends();
        request.excluded.insert(missing.begin(), missing.end());
        request.version =
                rollouts.choose(admitted.service, admitted.metadata.requestId, requeued, now);
        request.isRetry = requeued;
        // Where there is no other backend server, one that failed may run it again. One that
        // refused it is left alone, and so is the one of a silent attempt.
        const bool mayRunAgainThere = exchange.history().refused == 0 && !exchange.isRunning();
        if (mayRunAgainThere && !scheduler.hasUsableBackend(request))
            request.excluded = missing;
        return request;
    }

    // Sends the response to a request that was not admitted.
    std::shared_ptr<IngressExchange> refuse(const std::shared_ptr<CallerChannel> &channel,
                                            const CallerMetadata &metadata, const InputError &error,
                                            std::optional<Duration> retryAfter)
    {
        counter("refused_total{reason=\"" + error.code + "\"}", "Requests not admitted").add();
        EventLog("request_refused", EventLevel::Warning)
                .field("request", metadata.requestId)
                .field("status", error.status)
                .field("reason", error.code)
                .field("configuration", versionInForce())
                .field("proof_age_ms", proofAge() == Duration::max() ? -1 : proofAge() / 1ms)
                .field("retry_after_ms", retryAfter ? *retryAfter / 1ms : -1);
        Headers responseHeaders {{"Content-Type", "text/plain"}};
        if (retryAfter)
            responseHeaders.emplace_back("Retry-After", retryAfterText(*retryAfter));
        channel->respond(error.status, std::move(responseHeaders), error.message + "\n");
        return nullptr;
    }

    // --- scheduling ---

    void advance(Instant now)
    {
        // Starting a request may end another one, which calls advance() again.
        if (advancing) {
            advanceAgain = true;
            return;
        }
        advancing = true;
        do {
            advanceAgain = false;
            for (const DirectAction &action : scheduler.advance(now)) {
                if (const auto *start = std::get_if<StartAction>(&action))
                    startRequest(*start);
                else if (const auto *refusal = std::get_if<RefuseAction>(&action))
                    refuseRequest(*refusal);
                else if (const auto *slotRequest = std::get_if<RequestSlotAction>(&action))
                    agents.requestSlot(*slotRequest, now);
                else
                    agents.release(std::get<ReleaseSlotAction>(action));
            }
        } while (advanceAgain);
        advancing = false;
        armDueTimer(now);
    }

    void startRequest(const StartAction &action)
    {
        const auto found = queued.find(action.request);
        if (found == queued.end()) {
            // The place was withdrawn after the scheduler had chosen the backend server.
            neverSent(action.request);
            return;
        }
        const auto exchange = found->second; // a copy, as ending an exchange releases it
        queued.erase(found);
        exchange->leftQueue();
        if (drainEnded) {
            neverSent(action.request);
            exchange->shutDown();
            return;
        }
        if (exchange->isClosedByCaller()) {
            neverSent(action.request);
            exchange->callerDisconnected();
            return;
        }
        const auto record = scheduler.backend(action.backend);
        const auto entry = backends.find(action.backend);
        if (!record || entry == backends.end()) {
            neverSent(action.request);
            exchange->handleMissingBackend(action.backend);
            return;
        }
        // Before the prompt's trial, which a request that is not sent must not use up.
        if (!exchange->takeRetry()) {
            neverSent(action.request);
            return;
        }
        // The prompt may have been quarantined while the request waited. A stream that is resumed
        // has shown that the parts of its prompt crash nothing.
        const AdmittedRequest &admitted = exchange->admitted();
        const Instant now = monotonicNow();
        const bool resumes = exchange->answerStarted();
        const auto untilTrial =
                prompts.refusalAtStart(resumes ? admitted.prompt.wholeOnly() : admitted.prompt,
                                       admitted.metadata.requestId, now);
        const auto untilTurn = resumes
                ? std::nullopt
                : prompts.probationWait(admitted.prompt, admitted.metadata.requestId, now);
        if (untilTrial || untilTurn) {
            neverSent(action.request);
            if (exchange->isRunning() && (resumes || !untilTrial))
                exchange->stopSearching();
            else
                exchange->endQuarantined(untilTrial ? *untilTrial : *untilTurn);
            return;
        }
        prompts.quarantine().recordProbationTrial(admitted.prompt, now);
        exchange->startAttempt(action.request, *record, *entry->second.client);
    }

    // The scheduler started the request, but it was not sent.
    void neverSent(const RequestId &id)
    {
        scheduler.ended(id, {AttemptOutcome::NeverSent, {}, {}}, monotonicNow());
    }

    void refuseRequest(const RefuseAction &action)
    {
        const auto found = queued.find(action.request);
        if (found == queued.end())
            return;
        const auto exchange = found->second; // a copy, as ending an exchange releases it
        queued.erase(found);
        exchange->leftQueue();
        exchange->handleRefusal(action);
    }

    std::vector<OpenRequest> openRequests() const
    {
        std::vector<OpenRequest> open;
        for (const auto &[id, exchange] : exchanges)
            open.push_back(exchange->openRequest());
        return open;
    }

    // Gives requests that nothing would end back to the queue, or answers them.
    void audit()
    {
        if (advancing) // with actions that are not carried out yet
            return;
        const RequestAudit found = auditRequests(openRequests(), scheduler);
        if (found.faults() == 0)
            return;
        counter("unowned_requests_total", "Requests that were found to be unowned")
                .add(found.faults());
        for (const auto &[id, state] : found.unowned) {
            const auto entry = exchanges.find(id);
            if (entry == exchanges.end())
                continue;
            const auto exchange = entry->second; // a copy, as ending an exchange releases it
            EventLog("request_unowned", EventLevel::Error)
                    .field("request", exchange->admitted().metadata.requestId)
                    .field("state", nameOf(state));
            if (exchange->queuedId())
                queued.erase(*exchange->queuedId());
            exchange->recover(state);
        }
        for (const RequestId &it : found.strayQueued) {
            EventLog("request_unowned", EventLevel::Error)
                    .field("sequence", it.sequence)
                    .field("state", "ended_but_queued");
            queued.erase(it);
            scheduler.remove(it);
        }
        for (const RequestId &it : found.strayStarted) {
            EventLog("request_unowned", EventLevel::Error)
                    .field("sequence", it.sequence)
                    .field("state", "ended_but_started");
            neverSent(it);
        }
        advance(monotonicNow());
    }

    void auditAtInterval()
    {
        audit();
        auditTimer.expires_after(auditInterval);
        auditTimer.async_wait([weak = weak_from_this()](auto ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->auditAtInterval();
        });
    }

    void armDueTimer(Instant now)
    {
        const Instant due = scheduler.nextDue();
        // While requests wait, poll: capacity may become free without an event, such as when a
        // backend server's pause ends or a peer reports.
        const Instant wake = scheduler.waiting() > 0 ? std::min<Instant>(due, now + 10ms) : due;
        if (wake == instantNever || wake == dueAt)
            return;
        dueAt = wake;
        dueTimer.expires_at(toSteadyTime(wake, now));
        dueTimer.async_wait([self = shared_from_this()](auto ec) {
            if (ec)
                return;
            self->dueAt = instantNever;
            self->advance(monotonicNow());
        });
    }

    WindowedRetryBudget &retryBudget(const std::string &service)
    {
        return retryBudgets.try_emplace(service, settings.retryBudget).first->second;
    }

    // --- ExchangeServices ---

    const IngressProtocol &protocol() const override { return ingressProtocol; }
    asio::io_context &context() override { return ioContext; }

    bool hasRetry(const std::string &service) override
    {
        return retryBudget(service).hasRetry(view.possiblyAliveCount, monotonicNow());
    }

    bool tryTakeRetry(const std::string &service) override
    {
        const bool allowed =
                retryBudget(service).tryTakeRetry(view.possiblyAliveCount, monotonicNow());
        counter(allowed ? "repeats_total" : "repeats_denied_total",
                allowed ? "Further attempts" : "Further attempts denied by the budget")
                .add();
        return allowed;
    }

    bool hasOtherBackend(const GatewayExchange &exchange) override
    {
        const AdmittedRequest &admitted = exchange.admitted();
        DirectRequest request;
        request.service = admitted.service;
        const std::set<std::string> &missing = exchange.missingBackends();
        request.excluded = exchange.triedBackends();
        request.excluded.insert(missing.begin(), missing.end());
        request.version = rollouts.choose(admitted.service, admitted.metadata.requestId, true,
                                          monotonicNow());
        return scheduler.hasUsableBackend(request);
    }

    void requeue(GatewayExchange &exchange) override
    {
        enqueue(exchange, {settings.incarnation, ++lastRequestNumber}, monotonicNow());
    }

    void withdraw(GatewayExchange &exchange) override
    {
        const RequestId id = *exchange.queuedId();
        exchange.leftQueue();
        queued.erase(id);
        scheduler.remove(id);
        advance(monotonicNow());
    }

    void requestBegan(const GatewayExchange &exchange) override
    {
        const AdmittedRequest &admitted = exchange.admitted();
        if (countUsage && !admitted.organisation.empty()
            && begunRequests.insert(admitted.id).second)
            countUsage(admitted.organisation);
    }

    void firstEvent(const GatewayExchange &exchange) override
    {
        requestBegan(exchange);
        scheduler.firstEvent(exchange.attemptId(), monotonicNow());
        if (rollouts.active())
            recordOutcome(exchange, {AttemptOutcome::Answered, exchange.attemptAge(), {}}, false);
    }

    void attemptEnded(const GatewayExchange &exchange, const AttemptReport &report) override
    {
        if (rollouts.active())
            recordOutcome(exchange, report, exchange.answerStarted());
        const Instant now = monotonicNow();
        scheduler.ended(exchange.attemptId(), report, now);
        if (report.outcome != AttemptOutcome::Broken)
            return;
        if (exchange.wasCut())
            recordCut(exchange, now);
        else if (exchange.wasRefusedConnection())
            recordClosedPort(exchange.lastBackend(), now);
    }

    void replyReceived(const RequestId &id, const std::string &backend,
                       const BackendReply &reply) override
    {
        statements.replyReceived(id, backend, reply);
    }

    // --- prompts that crash backend servers ---

    bool isSuspect(const PromptIdentity &prompt) const override
    {
        return prompts.quarantine().isSuspect(prompt);
    }

    void answerContinued(const PromptIdentity &prompt) override
    {
        prompts.quarantine().recordAnswer(prompt, monotonicNow());
    }

    void answerCompleted(const PromptIdentity &prompt) override
    {
        prompts.recordCompletion(prompt, monotonicNow());
    }

    std::uint64_t backendDigest(const std::string &backend) const override
    {
        // A backend server that starts again under its id is another one that can crash.
        const auto entry = backends.find(backend);
        const std::int64_t startedAtMs = entry == backends.end() ? 0 : entry->second.startedAtMs;
        return stableDigest(backend, static_cast<std::uint64_t>(startedAtMs));
    }

    void recordCut(const GatewayExchange &exchange, Instant now)
    {
        const std::string &backend = exchange.lastBackend();
        // At the end of a planned stop, the requests that are still running are cut, too.
        if (scheduler.isStopping(backend))
            return;
        prompts.recordCut({exchange.admitted().prompt, backend, backendDigest(backend),
                           now - exchange.attemptAge(), now},
                          exchange.answerPhase());
        enforceQuarantine(now);
        if (prompts.isUnconfirmed(backend) && portsInCheck.insert(backend).second)
            checkPort(backend, portChecks);
    }

    // Finds out whether the backend server has ended. The list of backend servers shows that only
    // once its record has expired, when its successor may be running already, or never while the
    // store is silent.
    void checkPort(const std::string &backend, std::uint32_t checksLeft)
    {
        const auto entry = backends.find(backend);
        if (entry == backends.end() || checksLeft == 0 || !prompts.isUnconfirmed(backend)) {
            portsInCheck.erase(backend);
            return;
        }
        counter("port_checks_total", "Connections that show whether a backend server has ended")
                .add();
        entry->second.client->checkPort(
                [weak = weak_from_this(), backend, checksLeft](PortState state) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    if (state == PortState::Closed)
                        self->recordClosedPort(backend, monotonicNow());
                    const auto timer = std::make_shared<asio::steady_timer>(self->ioContext);
                    timer->expires_after(portCheckInterval);
                    timer->async_wait([weak, backend, checksLeft, timer](auto ec) {
                        const auto then = weak.lock();
                        if (!ec && then)
                            then->checkPort(backend, checksLeft - 1);
                    });
                });
    }

    // Nothing listens at the address of the backend server. It has crashed, unless it was to stop
    // or still runs requests.
    void recordClosedPort(const std::string &backend, Instant now)
    {
        if (!prompts.isUnconfirmed(backend) || scheduler.isStopping(backend)
            || runsOlderRequest(backend, now))
            return;
        prompts.recordBackendEnd(backend, CrashEvidence::ConnectionRefused, now);
        enforceQuarantine(now);
    }

    // Whether the backend server still has a request that was sent before the one that it cut.
    bool runsOlderRequest(const std::string &backend, Instant now) const
    {
        const Instant cutAt = prompts.firstCutAt(backend).value_or(now);
        return std::any_of(exchanges.begin(), exchanges.end(), [&](const auto &it) {
            const GatewayExchange &exchange = *it.second;
            return exchange.isRunning() && exchange.lastBackend() == backend
                    && now - exchange.attemptAge() < cutAt;
        });
    }

    // Takes requests back whose prompt was quarantined just now, before they crash further backend
    // servers.
    void enforceQuarantine(Instant now)
    {
        if (!prompts.takeNewlyQuarantined(now))
            return;
        std::vector<std::shared_ptr<GatewayExchange>> held;
        for (const auto &[id, exchange] : exchanges) {
            if (!exchange->answerStarted()
                && prompts.quarantine().refusal(exchange->admitted().prompt, now))
                held.push_back(exchange);
        }
        // Posted: the caller of this function may be handling one of these requests.
        asio::post(ioContext, [self = shared_from_this(), held = std::move(held)] {
            const Instant then = monotonicNow();
            for (const auto &it : held) {
                const AdmittedRequest &admitted = it->admitted();
                // It may have ended meanwhile.
                if (it->answerStarted() || !self->exchanges.contains(admitted.id))
                    continue;
                if (const auto untilTrial = self->prompts.refusal(
                            admitted.prompt, admitted.metadata.requestId, then))
                    it->endQuarantined(*untilTrial);
            }
        });
    }

    // Applies what was stored before this gateway started.
    void restoreQuarantine(Instant now)
    {
        if (state->quarantine == nullptr || restoredQuarantine == state->quarantine)
            return;
        restoredQuarantine = state->quarantine;
        prompts.restore(*restoredQuarantine, now - state->quarantineReadAt, now);
        enforceQuarantine(now);
    }

    // One gateway stores the quarantined prompts; those that hear it know them from its reports.
    void storeQuarantine(Instant now)
    {
        if (!writeQuarantine || restoredQuarantine == nullptr || view.rankAmongHeard != 0)
            return;
        if (const auto changed = prompts.takeChangedQuarantine(now))
            writeQuarantine(*changed);
    }

    void recordOutcome(const GatewayExchange &exchange, const AttemptReport &report,
                       bool responseBegun)
    {
        const AdmittedRequest &admitted = exchange.admitted();
        const auto backend = scheduler.backend(exchange.lastBackend());
        if (!backend)
            return;
        // The time to the first event of a stream depends only on the prompt, not on the output.
        const bool stream = admitted.route.kind == RequestKind::Stream;
        rollouts.recordOutcome({admitted.service, backend->version, admitted.route.name, report,
                                admitted.route.objective, admitted.metadata.promptTokens,
                                stream ? 0 : admitted.metadata.outputTokens, responseBegun});
    }

    bool tryBuffer(std::size_t responseBytes, std::size_t bytes) override
    {
        if (responseBytes + bytes > settings.answerLimitBytes)
            return false;
        const bool fits = bufferedBytes + bytes <= settings.bufferedAnswersLimitBytes
                && memory->budget.makeRoom(bytes, MemoryUse::Response, nullptr, monotonicNow());
        if (!fits && !endLargerResponse(responseBytes + bytes))
            return false;
        bufferedBytes += bytes;
        memory->budget.take(bytes);
        return true;
    }

    // Ends the attempt with the largest incomplete response if that is larger than this one, and
    // returns whether its memory will be free soon. Otherwise a few large responses that never end
    // would make every other one fail.
    bool endLargerResponse(std::size_t bytes)
    {
        // The limit is exceeded by one response at most.
        if (bufferedBytes + bytes > settings.bufferedAnswersLimitBytes + settings.answerLimitBytes)
            return false;
        if (endingLargest)
            return true;
        const auto largest = std::max_element(
                exchanges.begin(), exchanges.end(), [](const auto &a, const auto &b) {
                    return a.second->incompleteBytes() < b.second->incompleteBytes();
                });
        if (largest == exchanges.end() || largest->second->incompleteBytes() <= bytes)
            return false;
        endingLargest = true;
        // Posted, because the caller of this function is processing a response.
        asio::post(ioContext, [weak = weak_from_this(), exchange = largest->second] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->endingLargest = false;
            exchange->endLargeResponse();
        });
        return true;
    }

    void releaseBuffer(std::size_t bytes) override
    {
        bufferedBytes -= bytes;
        memory->budget.release(bytes);
    }

    void exchangeEnded(GatewayExchange &exchange, std::uint32_t status) override
    {
        const Instant now = monotonicNow();
        const AdmittedRequest &admitted = exchange.admitted();
        if (!exchange.everSent())
            refundAllowance(admitted);
        recordCompletion(exchange, status, now);
        begunRequests.erase(admitted.id);
        exchanges.erase(admitted.id);
        advance(now);
        if (draining && exchanges.empty())
            finishDrain();
    }

    void recordCompletion(const GatewayExchange &exchange, std::uint32_t status, Instant now)
    {
        const AdmittedRequest &admitted = exchange.admitted();
        const bool answered = status >= 200 && status < 500;
        counter("answered_total{status=\"" + std::to_string(status) + "\"}",
                "Requests by the status that the caller got; 0: connection closed")
                .add();
        const Duration total = now - admitted.request.receivedAt;
        if (answered)
            answerTimes.record(total);
        if (exchange.timeToFirstEvent() > Duration::zero())
            firstEventTimes.record(exchange.timeToFirstEvent());
        const AttemptHistory &history = exchange.history();
        const bool routine = answered && history.ran + history.refused <= 1;
        if (routine && ++routineAnswerCount % settings.answeredLogInterval != 0)
            return;
        EventLog("request_ended", answered ? EventLevel::Info : EventLevel::Warning)
                .field("request", admitted.metadata.requestId)
                .field("status", status)
                .field("problem", exchange.lastProblem())
                .field("route", admitted.route.name)
                .field("rank", admitted.route.rank)
                .field("organisation", admitted.organisation)
                .field("backend", exchange.lastBackend())
                .field("tried", exchange.triedBackends().size())
                .field("ran", history.ran)
                .field("not_run", history.refused)
                .field("kept_from", exchange.unavailable())
                .field("queue_ms", exchange.timeInQueue() / 1ms)
                .field("total_ms", total / 1ms)
                .field("first_event_ms", exchange.timeToFirstEvent() / 1ms)
                .field("prompt_tokens", admitted.metadata.promptTokens)
                .field("waiting", scheduler.waiting())
                .field("running", scheduler.running())
                .field("configuration", admitted.configurationVersion);
    }

    // --- rollouts ---

    void tickRollouts(Instant now)
    {
        if (!rollouts.active())
            return;
        const RolloutTick tick = rollouts.tick(
                [this](const std::string &service, const std::string &version) {
                    return scheduler.otherVersionsIdle(service, version);
                },
                now);
        for (const RolloutStep &it : tick.steps) {
            EventLog("rollout_step")
                    .field("service", it.service)
                    .field("version", it.version)
                    .field("stage", it.progress.stage)
                    .field("open", it.progress.end == RolloutEnd::Open)
                    .field("reason", it.progress.reason)
                    .field("evidence", it.evidence);
        }
        for (const RolloutStatus &it : tick.writes) {
            if (writeRolloutStatus)
                writeRolloutStatus(it);
        }
    }

    // --- state ---

    std::uint64_t versionInForce() const
    {
        return state && state->routes ? state->routes->content().version : 0;
    }

    // Age of the proof that the configuration in force is the newest.
    Duration proofAge() const { return ageOf(Duration(confirmedAtMicros.load())); }

    static Duration ageOf(Duration provenTime)
    {
        return provenTime == Duration::zero() ? Duration::max() : timeSinceBoot() - provenTime;
    }

    void updateConfirmation()
    {
        const bool isOutdated =
                peerConfigurations.outdates(versionInForce(), hasPeers(), timeSinceBoot());
        if (isOutdated && !std::exchange(loggedAsOutdated, isOutdated))
            EventLog("configuration_outdated", EventLevel::Warning)
                    .field("in_force", versionInForce())
                    .field("at_peers", peerConfigurations.newest());
        loggedAsOutdated = isOutdated;
        const auto confirmedTime =
                isOutdated ? std::nullopt : freshness.confirmedAt(RowTable::Orders);
        confirmedAtMicros = confirmedTime.value_or(Duration::zero()).count();
    }

    bool hasPeers() const
    {
        return state
                && std::any_of(state->gateways.begin(), state->gateways.end(),
                               [&](const auto &it) { return it.name != settings.name; });
    }

    Duration provenAt(RowTable table) const
    {
        return Duration(provenAtMicros.at(static_cast<std::size_t>(table)).load());
    }

    void publishProof(RowTable table)
    {
        const auto provenTime = freshness.provenAt(table).value_or(Duration::zero());
        provenAtMicros.at(static_cast<std::size_t>(table)).store(provenTime.count());
    }

    void applyBackends(Instant now)
    {
        std::unordered_set<std::string> listedIds;
        for (const BackendRecord &it : state->backends) {
            listedIds.insert(it.id);
            BackendEntry &entry = backends[it.id];
            const bool unchanged = entry.client && entry.address == it.address
                    && entry.port == it.port && entry.startedAtMs == it.startedAtMs;
            if (unchanged)
                continue;
            prompts.recordBackendEnd(it.id, CrashEvidence::List, now);
            EventLog("backend_listed")
                    .field("backend", it.id)
                    .field("service", it.service)
                    .field("zone", it.availabilityZone)
                    .field("version", it.version)
                    .field("cold_ms", it.coldRemaining / 1ms);
            BackendClientSettings clientSettings;
            clientSettings.connectTimeout = backendConnectLimit;
            clientSettings.idleTimeout = backendIdleLimit;
            clientSettings.tcpUserTimeout = backendUnacknowledgedLimit;
            clientSettings.acceptsCloseDelimitedBody = true;
            entry = {
                    std::make_unique<BackendClient>(ioContext, it.address, it.port, clientSettings),
                    it.address, it.port, it.startedAtMs};
        }
        agents.setBackends(state->backends);
        std::erase_if(backends, [&](const auto &it) {
            const bool gone = !listedIds.contains(it.first);
            if (gone) {
                prompts.recordBackendEnd(it.first, CrashEvidence::List, now);
                EventLog("backend_gone").field("backend", it.first);
            }
            return gone;
        });
        enforceQuarantine(now);
        scheduler.setBackends(state->backends, coldRates(), now);
        scheduler.setWithdrawnZones(state->withdrawnZones);
    }

    std::map<std::string, double> coldRates() const
    {
        std::map<std::string, double> rates;
        if (!state->routes)
            return rates;
        for (const ServiceDefinition &it : state->routes->content().services)
            rates[it.name] = it.coldRequestsPerSecond;
        return rates;
    }

    // --- shutdown ---

    // Accepts the connections that wait, and no further ones.
    void stopListening()
    {
        listening = false;
        listener->stopAfterHandshakes();
    }

    // Ends what is left of the requests and connections at the end of a shutdown.
    void endDrain()
    {
        closing = true;
        drainEnded = true;
        const auto unfinished = exchanges;
        for (const auto &[id, exchange] : unfinished)
            exchange->shutDown();
        stopListening();
        for (const auto &it : channels) {
            if (const auto channel = it.lock())
                channel->closeWhenIdle();
        }
        checkDrainedLater(); // the listener still passes on connections that it has accepted
    }

    void checkDrainedLater()
    {
        drainTimer.expires_after(drainCheckInterval);
        drainTimer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->finishDrain();
        });
    }

    // Completes the shutdown once every response is written and its connection closed, or the drain
    // deadline has passed.
    void finishDrain()
    {
        if (!closing || !exchanges.empty())
            return;
        audit();
        std::erase_if(channels, [](const auto &it) { return it.expired(); });
        if (channels.empty() && listening) {
            stopListening(); // may pass on connections that have been established
        } else if (channels.empty() || monotonicNow() >= drainDeadline) {
            if (const auto done = std::exchange(onDrained, nullptr))
                done();
            return;
        }
        checkDrainedLater();
    }

    void accept(asio::ip::tcp::socket socket)
    {
        memory->budget.setIdleTimeout(limits().idleTimeout);
        if (!memory->budget.makeConnectionRoom(monotonicNow())) {
            counter("connections_refused_total", "Connections closed at once at their limit").add();
            return; // closes it
        }
        const std::weak_ptr<Private> weak = weak_from_this();
        auto channel = CallerChannel::create(
                std::move(socket),
                [weak](IngressRequest request, const std::shared_ptr<CallerChannel> &caller)
                        -> std::shared_ptr<IngressExchange> {
                    const auto self = weak.lock();
                    return self ? self->admit(std::move(request), caller) : nullptr;
                },
                [weak] {
                    const auto self = weak.lock();
                    return self ? self->limits() : CallerLimits {};
                },
                pendingWrites, requestBodies, memory);
        if (draining)
            channel->announceClose();
        if (channels.size() >= 2 * memory->budget.connectionCount() + channelSweepMinimum)
            std::erase_if(channels, [](const auto &it) { return it.expired(); });
        channels.push_back(channel);
        channel->start();
        if (draining && !listening)
            channel->closeWhenIdle();
    }

    CallerLimits limits() const
    {
        return state && state->routes ? state->routes->content().limits : CallerLimits {};
    }

    asio::io_context &ioContext;
    const IngressProtocol &ingressProtocol;
    GatewayTrafficSettings settings;
    Metrics &metrics;
    std::shared_ptr<detail::Listener> listener;
    DirectScheduler scheduler;
    detail::BackendStatements statements;
    asio::steady_timer dueTimer;
    asio::steady_timer drainTimer;
    asio::steady_timer drainLimitTimer;
    asio::steady_timer auditTimer;
    DurationSummary &firstEventTimes;
    DurationSummary &answerTimes;
    detail::GatewayAdmission admission;
    GatewayRollouts rollouts;
    PromptGuard prompts;
    std::function<void(const RolloutStatus &)> writeRolloutStatus;
    std::function<void(const std::vector<QuarantineAge> &)> writeQuarantine;
    std::function<void(const std::string &)> countUsage;
    std::unordered_set<RequestId> begunRequests; // ids of exchanges, if usage is counted
    // What was read at the start; null before that.
    std::shared_ptr<const std::vector<QuarantineAge>> restoredQuarantine;
    std::unordered_map<std::string, WindowedRetryBudget> retryBudgets; // by service
    std::shared_ptr<const DeploymentState> state;
    std::unordered_map<std::string, BackendEntry> backends; // by id
    std::unordered_set<std::string> portsInCheck;           // ids of backend servers
    AdmissionClient agents;
    std::unordered_map<RequestId, std::shared_ptr<GatewayExchange>> exchanges; // by admitted().id
    // By id of the place in the scheduler's queue; holds those of exchanges with a queuedId().
    std::unordered_map<RequestId, std::shared_ptr<GatewayExchange>> queued;
    std::vector<std::weak_ptr<CallerChannel>> channels;
    std::shared_ptr<detail::CallerMemory> memory =
            std::make_shared<detail::CallerMemory>(settings.memory);
    std::shared_ptr<detail::PendingWrites> pendingWrites = std::make_shared<detail::PendingWrites>(
            std::min(settings.pendingWritesLimitBytes, settings.memory.totalBytes / 2),
            std::shared_ptr<MemoryBudget>(memory, &memory->budget)); // of the channels
    std::shared_ptr<detail::RequestBodies> requestBodies =
            std::make_shared<detail::RequestBodies>(settings.requestBodiesLimitBytes);
    GossipView view;
    FreshnessTracker freshness;
    // Copy of the proof times in freshness for other threads: microseconds since boot; 0: never.
    std::array<std::atomic<std::int64_t>, sharedTables.size()> provenAtMicros {};
    PeerConfigurations peerConfigurations;
    bool loggedAsOutdated = false;
    // When the configuration in force was last confirmed to be the newest, in microseconds since
    // boot; 0: never, or a peer has a newer one.
    std::atomic<std::int64_t> confirmedAtMicros {0};
    std::atomic<bool> draining {false};
    Instant dueAt = instantNever; // when dueTimer expires
    std::function<void()> onDrained;
    const Instant startedAt = monotonicNow();
    std::uint64_t lastRequestNumber = 0;
    mutable std::uint64_t lastReportNumber = 0;
    std::uint64_t routineAnswerCount = 0;
    std::size_t bufferedBytes = 0; // of responses and events that are not complete yet
    bool endingLargest = false;    // the attempt with the most of them ends in the next handler
    bool advancing = false;
    bool advanceAgain = false;            // advance() was called while it was running
    Instant drainDeadline = instantNever; // the process exits
    Instant requestsEndAt = instantNever; // a shutdown ends the remaining requests
    bool closing = false;                 // requests that could outlast the shutdown are refused
    bool listening = true;                // until the end of a shutdown
    bool drainEnded = false;              // no request is started any more
};

Gateway::Gateway(asio::io_context &context, const IngressProtocol &protocol,
                 GatewayTrafficSettings settings, StateChart rolloutChart, Metrics &metrics)
    : d(std::make_shared<Private>(context, protocol, std::move(settings), std::move(rolloutChart),
                                  metrics))
{
    d->auditAtInterval();
}

Gateway::~Gateway()
{
    d->dueTimer.cancel();
    d->drainTimer.cancel();
    d->drainLimitTimer.cancel();
    d->auditTimer.cancel();
    d->listener->stop();
}

std::optional<std::string> Gateway::listen(const std::string &address, std::uint16_t port)
{
    d->listener->setBufferSizes(d->settings.memory.receiveBufferBytes,
                                d->settings.memory.sendBufferBytes);
    return d->listener->listen(address, port, [weak = std::weak_ptr<Private>(d)](auto socket) {
        if (const auto self = weak.lock())
            self->accept(std::move(socket));
    });
}

std::uint16_t Gateway::port() const
{
    return d->listener->port();
}

std::optional<std::string> Gateway::openAdmissionSocket(const std::string &address,
                                                        std::uint16_t port)
{
    return d->agents.open(address, port);
}

void Gateway::reload(const GatewayTrafficSettings &settings)
{
    d->admission.setKeyCheckMaxProofAge(settings.keyCheckMaxProofAge);
    d->settings.keyCheckMaxProofAge = settings.keyCheckMaxProofAge;
    d->settings.readyMaxProofAge = settings.readyMaxProofAge;
    d->settings.answeredLogInterval = settings.answeredLogInterval;
}

void Gateway::applyState(std::shared_ptr<const DeploymentState> state, const GossipView &view)
{
    setView(view);
    const Instant now = monotonicNow();
    const bool newRoutes = !d->state || d->state->routes != state->routes;
    d->state = std::move(state);
    if (newRoutes)
        d->admission.setRoutes(d->state->routes, now);
    d->applyBackends(now);
    d->restoreQuarantine(now);
    d->rollouts.setOrders(d->state->rollouts, d->state->rolloutStatuses, now);
    d->rollouts.setBackends(d->state->backends);
    d->advance(now);
}

void Gateway::recordTableRead(RowTable table, const ReadProof &proof)
{
    d->freshness.recordOwnRead(table, proof);
    d->publishProof(table);
    if (table == RowTable::Orders)
        d->peerConfigurations.recordRead(d->versionInForce(), proof.sentAt);
    d->updateConfirmation();
}

Duration Gateway::provenAt(RowTable table) const
{
    return d->provenAt(table);
}

GossipReport Gateway::composeReport() const
{
    return {d->settings.name,
            d->settings.incarnation,
            ++d->lastReportNumber,
            d->draining,
            monotonicNow() - d->startedAt,
            d->scheduler.ownLoads(monotonicNow()),
            d->admission.allowances().ownTotals(),
            d->freshness.share(),
            d->rollouts.active() ? d->rollouts.reports(monotonicNow())
                                 : std::vector<RolloutReport> {},
            d->prompts.quarantine().reports(monotonicNow()),
            d->versionInForce(),
            d->freshness.lastReturn(timeSinceBoot())};
}

std::vector<RowTable> Gateway::applyPeerReport(const GossipReport &report)
{
    std::vector<RowTable> tablesBehind;
    const Duration sinceBoot = timeSinceBoot();
    for (std::size_t i = 0; i < sharedTables.size(); ++i) {
        if (!report.proofs[i])
            continue;
        const RowTable table = sharedTables[i];
        const ProofUse use = d->freshness.recordPeerRead(table, *report.proofs[i], sinceBoot);
        d->counter(std::string("peer_proofs_total{use=\"") + nameOf(use) + "\"}",
                   "Peers' proofs of freshness by their use")
                .add();
        // Gateways announce themselves to their peers; their registry is read at its own interval,
        // or a restart of the fleet would cause each gateway to read each registration.
        if (use == ProofUse::Behind && table != RowTable::Gateways)
            tablesBehind.push_back(table);
        else if (use == ProofUse::Extended)
            d->publishProof(table);
    }
    if (report.storeReturn)
        d->freshness.recordPeerReturn(*report.storeReturn, sinceBoot);
    d->peerConfigurations.recordPeer(report.configurationVersion, sinceBoot);
    d->updateConfirmation();
    const Instant now = monotonicNow();
    d->scheduler.peerReport(stableDigest(report.name), report.loads, now);
    for (const RolloutReport &it : report.rollouts)
        d->rollouts.mergePeerReport(it, now);
    if (report.uptime < peerStartTime)
        d->prompts.quarantine().peerStarted(now);
    d->prompts.quarantine().merge(report.promptParts, now);
    d->enforceQuarantine(now);
    for (const auto &[organisationDigest, consumed] : report.consumedTokens)
        d->admission.allowances().recordPeerTotal(report.incarnation, report.uptime,
                                                  organisationDigest, consumed, now);
    // What the report changes for requests that wait is applied at the next poll (armDueTimer()).
    return tablesBehind;
}

void Gateway::setView(const GossipView &view)
{
    d->view = view;
    d->updateConfirmation();
    d->scheduler.setGateways(view.possiblyAliveCount, view.rank, view.heardTimeout);
    d->rollouts.setGateways(view.possiblyAliveCount, view.rankAmongHeard);
    d->prompts.quarantine().setGateways(view.heardCount, view.rankAmongHeard);
    const Instant now = monotonicNow();
    d->prompts.quarantine().advance(now);
    d->enforceQuarantine(now);
    d->storeQuarantine(now);
    d->admission.allowances().setGateways(view.heardCount, view.possiblyAliveCount);
    // The lag is on average half an interval longer than the interval itself.
    d->admission.allowances().setReportLag(view.interval * 3 / 2);
}

void Gateway::setUsageCounter(std::function<void(const std::string &organisation)> count)
{
    d->countUsage = std::move(count);
}

void Gateway::setRolloutStatusWriter(std::function<void(const RolloutStatus &)> write)
{
    d->writeRolloutStatus = std::move(write);
}

void Gateway::setQuarantineWriter(std::function<void(const std::vector<QuarantineAge> &)> write)
{
    d->writeQuarantine = std::move(write);
}

bool Gateway::tickRollouts()
{
    d->tickRollouts(monotonicNow());
    return d->rollouts.active();
}

bool Gateway::ready() const
{
    // Keys are checked for a while without confirmation, such as just after a return of the store.
    return !d->draining
            && Private::ageOf(d->provenAt(RowTable::Orders)) < d->settings.readyMaxProofAge
            && d->proofAge() < d->settings.keyCheckMaxProofAge;
}

const MemoryBudget &Gateway::callerMemory() const
{
    return d->memory->budget;
}

void Gateway::drain(Duration announce, Duration limit, std::function<void()> done)
{
    d->draining = true;
    d->onDrained = std::move(done);
    d->drainDeadline = monotonicNow() + limit - shutdownMargin / 2;
    d->requestsEndAt = monotonicNow() + limit - shutdownMargin;
    for (const auto &it : d->channels) {
        if (const auto channel = it.lock())
            channel->announceClose();
    }
    d->drainTimer.expires_after(announce);
    d->drainTimer.async_wait([self = d](auto ec) {
        if (ec)
            return;
        self->closing = true;
        self->checkDrainedLater();
    });
    d->drainLimitTimer.expires_after(limit - shutdownMargin);
    d->drainLimitTimer.async_wait([self = d](auto ec) {
        if (!ec)
            self->endDrain();
    });
}

} // namespace cornelshed
