// Draws arrival times and request properties at random, and estimates the capacity of engines.

#include "workload.h"

#include <algorithm>
#include <cmath>

namespace cornelshed::measure {

namespace {

// Size of a request in tokens.
struct Size
{
    std::uint64_t prompt;
    std::uint64_t output;
};

// Tokens per prefix hash: prefixes are cached in blocks of this size.
constexpr std::uint32_t prefixBlockTokens = 256;

double exponential(RandomSource &random, double mean)
{
    return -mean * std::log(1 - random.unit());
}

std::uint64_t uniform(RandomSource &random, std::uint64_t low, std::uint64_t high)
{
    return low + random.below(high - low + 1);
}

Size randomSize(RandomSource &random, bool isShort)
{
    if (isShort)
        return {uniform(random, 40, 200), uniform(random, 8, 40)};
    return {uniform(random, 4000, 12000), uniform(random, 800, 2400)};
}

// Callers wait a few seconds for a short answer, and for a long one about twice the time that it
// usually takes.
Duration randomDeadline(RandomSource &random, bool isShort)
{
    return isShort ? std::chrono::milliseconds(uniform(random, 3000, 6000))
                   : std::chrono::milliseconds(uniform(random, 90000, 150000));
}

TierRank randomTier(RandomSource &random, const WorkloadSettings &settings)
{
    const double fraction = random.unit();
    if (fraction < settings.tierShares[0])
        return 0;
    return fraction < settings.tierShares[0] + settings.tierShares[1] ? 1 : 2;
}

// Five organisations: two large ones with 70% of the requests, and three small ones.
std::string randomOrganisation(RandomSource &random)
{
    const double fraction = random.unit();
    if (fraction < 0.4)
        return "reeds";
    if (fraction < 0.7)
        return "mats";
    return "small-" + std::to_string(random.below(3));
}

void addPrefix(SimulatedRequest &request, const WorkloadSettings &settings, RandomSource &random)
{
    const bool shared = settings.prefixCount > 0 && random.unit() < settings.sharedPrefixShare;
    if (!shared)
        return;
    const std::uint64_t prefix = 1 + random.below(settings.prefixCount);
    request.job.prefixTokensPerHash = prefixBlockTokens;
    for (std::uint64_t n = 0; n < settings.prefixTokens / prefixBlockTokens; ++n)
        request.job.prefixHashes.push_back(prefix * 0x9e3779b97f4a7c15ULL + n);
    request.job.promptTokens += settings.prefixTokens;
}

SimulatedRequest randomRequest(const WorkloadSettings &settings, RandomSource &random)
{
    SimulatedRequest request;
    const bool isShort = random.unit() < settings.shortShare;
    const Size size = randomSize(random, isShort);
    request.job.promptTokens = size.prompt;
    request.job.outputTokens = size.output;
    // Callers' estimates of the answer length are off by up to 20%.
    const double error = 0.8 + 0.4 * random.unit();
    request.expectedOutputTokens =
            static_cast<std::uint64_t>(static_cast<double>(size.output) * error);
    request.tier = randomTier(random, settings);
    request.organisation = randomOrganisation(random);
    request.deadline = randomDeadline(random, isShort);
    addPrefix(request, settings, random);
    return request;
}

// Means of the distributions in randomSize().
Size meanSize(bool isShort)
{
    return isShort ? Size {120, 24} : Size {8000, 1600};
}

// Engine time per request of this size when the engine runs the largest batch whose steps are
// within the step time target.
double engineSecondsPerRequest(const EngineSettings &engine, Size size)
{
    const double prefill = static_cast<double>(size.prompt) / engine.prefillTokensPerSecond;
    const std::uint64_t context = size.prompt + size.output;
    const std::uint32_t batch = EngineModel::batchWithinStepTarget(engine, context);
    const Duration step = EngineModel::stepTime(engine, batch, context * batch);
    const double stepSeconds = static_cast<double>(step.count()) / 1e6;
    return prefill + static_cast<double>(size.output) * stepSeconds / batch;
}

} // namespace

WorkloadSettings morning()
{
    return {};
}

WorkloadSettings evening()
{
    WorkloadSettings settings;
    settings.shortShare = 0.6;
    settings.sharedPrefixShare = 0.7;
    settings.prefixCount = 24;
    settings.prefixTokens = 4096;
    settings.length = std::chrono::seconds(240);
    return settings;
}

Workload generate(const WorkloadSettings &settings, std::uint64_t seed)
{
    SeededRandom random(seed);
    Workload workload;
    const double length = static_cast<double>(settings.length.count()) / 1e6;
    constexpr std::uint64_t burstSize = 8;
    // A burst counts as one arrival.
    const double arrivals = settings.requestsPerSecond * (1 - settings.burstShare)
            + settings.requestsPerSecond * settings.burstShare / burstSize;
    const double burstChance =
            settings.requestsPerSecond * settings.burstShare / burstSize / arrivals;
    for (double t = exponential(random, 1 / arrivals); t < length;
         t += exponential(random, 1 / arrivals)) {
        const std::uint64_t count = random.unit() < burstChance ? burstSize : 1;
        for (std::uint64_t n = 0; n < count; ++n) {
            workload.push_back(randomRequest(settings, random));
            workload.back().arrival = Instant(Duration(static_cast<Duration::rep>(t * 1e6)));
        }
    }
    return workload;
}

std::vector<EngineSettings> threeGenerations(std::size_t count)
{
    std::vector<EngineSettings> engines;
    for (std::size_t n = 0; n < count; ++n) {
        EngineSettings engine;
        // The default settings are the fastest generation.
        if (n % 3 == 1) {
            engine.prefillTokensPerSecond = 15000;
            engine.stepBase = std::chrono::milliseconds(12);
            engine.stepPerRequest = std::chrono::microseconds(350);
            engine.memoryTokens = 250000;
        }
        if (n % 3 == 2) {
            engine.prefillTokensPerSecond = 9000;
            engine.stepBase = std::chrono::milliseconds(16);
            engine.stepPerRequest = std::chrono::microseconds(500);
            engine.prefillChunkTokens = 256;
            engine.memoryTokens = 150000;
        }
        engine.maximumBatch = EngineModel::batchWithinStepTarget(engine);
        engines.push_back(engine);
    }
    return engines;
}

double capacity(const std::vector<EngineSettings> &engines, const WorkloadSettings &settings)
{
    Size longRequest = meanSize(false);
    double rate = 0;
    for (const EngineSettings &it : engines) {
        const double seconds = settings.shortShare * engineSecondsPerRequest(it, meanSize(true))
                + (1 - settings.shortShare) * engineSecondsPerRequest(it, longRequest);
        rate += 1 / seconds;
    }
    return rate;
}

} // namespace cornelshed::measure
