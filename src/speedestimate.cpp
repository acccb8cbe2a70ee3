// Estimates of speed and queueing delay from exponentially decaying averages.

#include "speedestimate.h"

#include <algorithm>
#include <cmath>

namespace cornelshed {

namespace {

// The processing time of shorter prompts and outputs is mostly fixed overhead. A rate measured from
// them would overestimate the time of long requests, which would then be refused.
constexpr std::uint64_t minPrefillTokens = 256;
constexpr std::uint64_t minOutputTokens = 8;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

Duration duration(double s)
{
    // Limits the prediction to one hour for a server that reports a rate close to 0.
    return Duration(static_cast<Duration::rep>(std::clamp(s, 0.0, 3600.0) * 1e6));
}

// Returns the weight of a measurement, which halves with each half-life since it was made.
double decayedWeight(Instant measuredAt, Instant now, Duration halfLife)
{
    return std::exp2(-std::max(seconds(now - measuredAt), 0.0) / seconds(halfLife));
}

double exponentialAverage(double old, double sample, double smoothing)
{
    return old <= 0 ? sample : old + smoothing * (sample - old);
}

} // namespace

SpeedEstimate::SpeedEstimate(const SpeedSettings &settings) : m_settings(settings) { }

void SpeedEstimate::add(ServerSlot slot, SpeedClass speedClass)
{
    if (slot >= m_servers.size())
        m_servers.resize(slot + 1);
    if (speedClass >= m_classes.size())
        m_classes.resize(speedClass + 1);
    m_servers[slot] = Server {};
    m_servers[slot].speedClass = speedClass;
}

void SpeedEstimate::removeServer(ServerSlot slot)
{
    m_servers[slot] = Server {};
}

void SpeedEstimate::updateRate(Server &server, Rate Rates::*rate, double perSecond, Instant now)
{
    if (!(perSecond > 0) || !std::isfinite(perSecond))
        return;
    Rate &own = server.rates.*rate;
    Rate &average = m_classes[server.speedClass].rates.*rate;
    own = {exponentialAverage(own.perSecond, perSecond, m_settings.smoothing), now};
    // The class average uses a smaller weight, because all servers of the class contribute samples.
    average = {exponentialAverage(average.perSecond, perSecond, m_settings.smoothing / 4), now};
}

void SpeedEstimate::recordLoadReport(ServerSlot slot, const LoadReport &load, Instant now)
{
    Server &server = m_servers[slot];
    server.load = load;
    server.reportedAt = now;
    server.sentRequests = 0;
    server.sentTokens = 0;
    updateRate(server, &Rates::prefill, load.prefillTokensPerSecond, now);
    updateRate(server, &Rates::decode, load.decodeTokensPerSecond, now);
    server.reportedDelaySeconds = predictedDelaySeconds(server, load.running + load.waiting);
    double &average = m_classes[server.speedClass].queueDelaySeconds;
    average += m_settings.smoothing / 4 * (server.reportedDelaySeconds - average);
}

void SpeedEstimate::recordUsage(ServerSlot slot, const Usage &usage, Instant now)
{
    Server &server = m_servers[slot];
    if (usage.outputTokens == 0) {
        if (usage.totalTime > Duration::zero())
            updateRate(server, &Rates::serviceRequests, 1 / seconds(usage.totalTime), now);
        return;
    }
    const std::uint64_t prefilled =
            usage.promptTokens - std::min(usage.cachedTokens, usage.promptTokens);
    if (prefilled >= minPrefillTokens && usage.firstTokenTime > Duration::zero())
        updateRate(server, &Rates::prefill,
                   static_cast<double>(prefilled) / seconds(usage.firstTokenTime), now);
    const Duration decodeTime = usage.totalTime - usage.firstTokenTime;
    if (usage.outputTokens >= minOutputTokens && decodeTime > Duration::zero())
        updateRate(server, &Rates::decode,
                   static_cast<double>(usage.outputTokens - 1) / seconds(decodeTime), now);
}

void SpeedEstimate::recordDispatch(ServerSlot slot, const WorkSize &work)
{
    ++m_servers[slot].sentRequests;
    m_servers[slot].sentTokens += work.prefillTokens + work.outputTokens;
}

double SpeedEstimate::blendedRate(const Rate &own, const Rate &average, Instant now) const
{
    if (own.perSecond <= 0)
        return average.perSecond;
    const double weight = decayedWeight(own.measuredAt, now, m_settings.rateHalfLife);
    return weight * own.perSecond + (1 - weight) * average.perSecond;
}

Duration SpeedEstimate::serviceTime(ServerSlot slot, const WorkSize &work, Instant now) const
{
    const Server &server = m_servers[slot];
    const Rates &average = m_classes[server.speedClass].rates;
    if (work.outputTokens == 0) {
        const double rate = blendedRate(server.rates.serviceRequests, average.serviceRequests, now);
        return rate > 0 ? duration(1 / rate) : Duration::zero();
    }
    double total = 0;
    const double prefill = blendedRate(server.rates.prefill, average.prefill, now);
    if (prefill > 0)
        total += static_cast<double>(work.prefillTokens) / prefill;
    const double decode = blendedRate(server.rates.decode, average.decode, now);
    if (decode > 0)
        total += static_cast<double>(work.outputTokens) / decode;
    return duration(total);
}

// Returns the expected wait of a further request if the server has the given number of requests. It
// waits until as many others have finished as exceed the concurrency limit. One request is assumed
// to finish per half of the mean processing time divided by the limit. Half of the mean processing
// time is taken as 10 ms while the decode rate is unknown, and as at least 1 ms.
double SpeedEstimate::predictedDelaySeconds(const Server &server, double requests) const
{
    const double limit = std::max<std::uint32_t>(server.load.concurrencyLimit, 1);
    const double excess = requests + 1 - limit;
    if (excess <= 0)
        return 0;
    const double inSystem = std::max(requests, 1.0);
    const double tokens = static_cast<double>(server.load.outstandingTokens + server.sentTokens);
    const Rates &average = m_classes[server.speedClass].rates;
    const double own = server.rates.decode.perSecond;
    const double decode = own > 0 ? own : average.decode.perSecond;
    const double remainingSeconds = decode > 0 ? tokens / inSystem / decode / 2 : 0.01;
    return excess * std::max(remainingSeconds, 0.001) / limit;
}

Duration SpeedEstimate::queueDelay(ServerSlot slot, Instant now) const
{
    const Server &server = m_servers[slot];
    const ClassAverage &average = m_classes[server.speedClass];
    const double weight = decayedWeight(server.reportedAt, now, m_settings.reportHalfLife);
    const double decayedDelay =
            weight * server.reportedDelaySeconds + (1 - weight) * average.queueDelaySeconds;
    const double reportedRequests = server.load.running + server.load.waiting;
    const double delayWithSent = predictedDelaySeconds(
            server, reportedRequests + static_cast<double>(server.sentRequests));
    return duration(decayedDelay + std::max(delayWithSent - server.reportedDelaySeconds, 0.0));
}

std::uint64_t SpeedEstimate::lastReportedRequests(ServerSlot slot) const
{
    return std::uint64_t(m_servers[slot].load.running) + m_servers[slot].load.waiting;
}

} // namespace cornelshed
