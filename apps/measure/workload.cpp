// Draws of arrivals and sizes.

#include "workload.h"

#include <algorithm>
#include <cmath>

namespace cornelshed::measure {

namespace {

struct Size
{
    std::uint64_t prompt;
    std::uint64_t output;
};

// Prefixes are remembered in blocks of this many tokens.
constexpr std::uint32_t blockTokens = 256;

double exponential(RandomSource &random, double mean)
{
    return -mean * std::log(1 - random.unit());
}

std::uint64_t between(RandomSource &random, std::uint64_t low, std::uint64_t high)
{
    return low + random.below(high - low + 1);
}

Size sizeOf(RandomSource &random, bool isShort)
{
    if (isShort)
        return {between(random, 40, 200), between(random, 8, 40)};
    return {between(random, 4000, 12000), between(random, 800, 2400)};
}

// The caller waits for a short answer a few seconds, for a long one about twice its usual time.
Duration deadlineOf(RandomSource &random, bool isShort)
{
    return isShort ? std::chrono::milliseconds(between(random, 3000, 6000))
                   : std::chrono::milliseconds(between(random, 90000, 150000));
}

TierRank tierOf(RandomSource &random, const WorkloadSettings &settings)
{
    const double draw = random.unit();
    if (draw < settings.tierShares[0])
        return 0;
    return draw < settings.tierShares[0] + settings.tierShares[1] ? 1 : 2;
}

// About five organisations, two of them large.
std::string organisationOf(RandomSource &random)
{
    const double draw = random.unit();
    if (draw < 0.4)
        return "reeds";
    if (draw < 0.7)
        return "mats";
    return "small-" + std::to_string(random.below(3));
}

void addPrefix(SimulatedRequest &request, const WorkloadSettings &settings, RandomSource &random)
{
    const bool shared = settings.prefixCount > 0 && random.unit() < settings.sharedPrefixShare;
    if (!shared)
        return;
    const std::uint64_t prefix = 1 + random.below(settings.prefixCount);
    request.job.prefixTokensPerHash = blockTokens;
    for (std::uint64_t n = 0; n < settings.prefixTokens / blockTokens; ++n)
        request.job.prefixHashes.push_back(prefix * 0x9e3779b97f4a7c15ULL + n);
    request.job.promptTokens += settings.prefixTokens;
}

SimulatedRequest draw(const WorkloadSettings &settings, RandomSource &random)
{
    SimulatedRequest request;
    const bool isShort = random.unit() < settings.shortShare;
    const Size size = sizeOf(random, isShort);
    request.job.promptTokens = size.prompt;
    request.job.outputTokens = size.output;
    // Callers know the length of the answer roughly.
    const double error = 0.8 + 0.4 * random.unit();
    request.expectedOutputTokens =
            static_cast<std::uint64_t>(static_cast<double>(size.output) * error);
    request.tier = tierOf(random, settings);
    request.organisation = organisationOf(random);
    request.deadline = deadlineOf(random, isShort);
    addPrefix(request, settings, random);
    return request;
}

Size meanSize(bool isShort)
{
    return isShort ? Size {120, 24} : Size {8000, 1600};
}

// Time of an engine that one request of this size takes when the engine is comfortably full.
double engineSeconds(const EngineSettings &engine, Size size)
{
    const double prefill = static_cast<double>(size.prompt) / engine.prefillTokensPerSecond;
    const std::uint64_t context = size.prompt + size.output;
    const std::uint32_t batch = EngineModel::comfortableBatch(engine, context);
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
    const double arrivals = settings.requestsPerSecond * (1 - settings.burstShare)
            + settings.requestsPerSecond * settings.burstShare / burstSize;
    const double burstChance =
            settings.requestsPerSecond * settings.burstShare / burstSize / arrivals;
    for (double t = exponential(random, 1 / arrivals); t < length;
         t += exponential(random, 1 / arrivals)) {
        const std::uint64_t count = random.unit() < burstChance ? burstSize : 1;
        for (std::uint64_t n = 0; n < count; ++n) {
            workload.push_back(draw(settings, random));
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
        engine.maximumBatch = EngineModel::comfortableBatch(engine);
        engines.push_back(engine);
    }
    return engines;
}

double capacity(const std::vector<EngineSettings> &engines, const WorkloadSettings &settings)
{
    Size large = meanSize(false);
    double rate = 0;
    for (const EngineSettings &it : engines) {
        const double seconds = settings.shortShare * engineSeconds(it, meanSize(true))
                + (1 - settings.shortShare) * engineSeconds(it, large);
        rate += 1 / seconds;
    }
    return rate;
}

} // namespace cornelshed::measure
