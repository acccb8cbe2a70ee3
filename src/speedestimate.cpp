// Speed and queue estimate of backend servers.

#include "speedestimate.h"

#include <algorithm>
#include <cmath>

namespace cornelshed {

namespace {

// Shorter prompts and answers say little about the rate, because their time is mostly fixed cost. A
// rate learnt from them would make long requests look too slow and have them refused.
constexpr std::uint64_t leastPrefillTokens = 256;
constexpr std::uint64_t leastOutputTokens = 8;

double seconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

Duration duration(double s)
{
    // An hour bounds the prediction of a server that reports a rate close to 0.
    return Duration(static_cast<Duration::rep>(std::clamp(s, 0.0, 3600.0) * 1e6));
}

// Weight of a figure of the given age.
double weight(Instant measuredAt, Instant now, Duration halfLife)
{
    return std::exp2(-std::max(seconds(now - measuredAt), 0.0) / seconds(halfLife));
}

double mean(double old, double sample, double smoothing)
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

void SpeedEstimate::forget(ServerSlot slot)
{
    m_servers[slot] = Server {};
}

void SpeedEstimate::learn(Server &server, Rate Rates::*rate, double perSecond, Instant now)
{
    if (!(perSecond > 0) || !std::isfinite(perSecond))
        return;
    Rate &own = server.rates.*rate;
    Rate &average = m_classes[server.speedClass].rates.*rate;
    own = {mean(own.perSecond, perSecond, m_settings.smoothing), now};
    // The class average moves slower, because all servers of the class feed it.
    average = {mean(average.perSecond, perSecond, m_settings.smoothing / 4), now};
}

void SpeedEstimate::report(ServerSlot slot, const LoadReport &load, Instant now)
{
    Server &server = m_servers[slot];
    server.load = load;
    server.reportedAt = now;
    server.sentRequests = 0;
    server.sentTokens = 0;
    learn(server, &Rates::prefill, load.prefillTokensPerSecond, now);
    learn(server, &Rates::decode, load.decodeTokensPerSecond, now);
    server.reportedDelaySeconds = delaySeconds(server, load.running + load.waiting);
    double &average = m_classes[server.speedClass].delaySeconds;
    average += m_settings.smoothing / 4 * (server.reportedDelaySeconds - average);
}

void SpeedEstimate::finished(ServerSlot slot, const Usage &usage, Instant now)
{
    Server &server = m_servers[slot];
    if (usage.outputTokens == 0) {
        if (usage.totalTime > Duration::zero())
            learn(server, &Rates::plainRequests, 1 / seconds(usage.totalTime), now);
        return;
    }
    const std::uint64_t prefilled =
            usage.promptTokens - std::min(usage.cachedTokens, usage.promptTokens);
    if (prefilled >= leastPrefillTokens && usage.firstTokenTime > Duration::zero())
        learn(server, &Rates::prefill,
              static_cast<double>(prefilled) / seconds(usage.firstTokenTime), now);
    const Duration decodeTime = usage.totalTime - usage.firstTokenTime;
    if (usage.outputTokens >= leastOutputTokens && decodeTime > Duration::zero())
        learn(server, &Rates::decode,
              static_cast<double>(usage.outputTokens - 1) / seconds(decodeTime), now);
}

void SpeedEstimate::sent(ServerSlot slot, const WorkSize &work)
{
    ++m_servers[slot].sentRequests;
    m_servers[slot].sentTokens += work.prefillTokens + work.outputTokens;
}

double SpeedEstimate::blended(const Rate &own, const Rate &average, Instant now) const
{
    if (own.perSecond <= 0)
        return average.perSecond;
    const double w = weight(own.measuredAt, now, m_settings.rateHalfLife);
    return w * own.perSecond + (1 - w) * average.perSecond;
}

Duration SpeedEstimate::serviceTime(ServerSlot slot, const WorkSize &work, Instant now) const
{
    const Server &server = m_servers[slot];
    const Rates &average = m_classes[server.speedClass].rates;
    if (work.outputTokens == 0) {
        const double rate = blended(server.rates.plainRequests, average.plainRequests, now);
        return rate > 0 ? duration(1 / rate) : Duration::zero();
    }
    double total = 0;
    const double prefill = blended(server.rates.prefill, average.prefill, now);
    if (prefill > 0)
        total += static_cast<double>(work.prefillTokens) / prefill;
    const double decode = blended(server.rates.decode, average.decode, now);
    if (decode > 0)
        total += static_cast<double>(work.outputTokens) / decode;
    return duration(total);
}

// Requests over the limit wait until as many others have finished; the server finishes one after
// the time of half a request divided by the limit.
double SpeedEstimate::delaySeconds(const Server &server, double requests) const
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
    const double held = decode > 0 ? tokens / inSystem / decode / 2 : 0.01;
    return excess * std::max(held, 0.001) / limit;
}

Duration SpeedEstimate::queueDelay(ServerSlot slot, Instant now) const
{
    const Server &server = m_servers[slot];
    const Class &average = m_classes[server.speedClass];
    const double w = weight(server.reportedAt, now, m_settings.reportHalfLife);
    const double aged = w * server.reportedDelaySeconds + (1 - w) * average.delaySeconds;
    const double reported = server.load.running + server.load.waiting;
    const double withSent =
            delaySeconds(server, reported + static_cast<double>(server.sentRequests));
    return duration(aged + std::max(withSent - server.reportedDelaySeconds, 0.0));
}

std::uint64_t SpeedEstimate::lastReportedRequests(ServerSlot slot) const
{
    return std::uint64_t(m_servers[slot].load.running) + m_servers[slot].load.waiting;
}

} // namespace cornelshed
