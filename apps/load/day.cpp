// Generates a day's requests and converts a day to and from its text format.

#include "day.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>
#include <stdexcept>

namespace cornelshed::load {

namespace {

constexpr double hoursPerDay = 24;
constexpr double morningHour = 9;
constexpr double eveningHour = 19;
constexpr double peakWidthHours = 1.5;
constexpr double longestToShortestRatio = 100;
constexpr std::uint32_t prefixesPerOrganisation = 4;

// Unnormalised Gaussian with its maximum of 1 at the centre.
double gaussianPeak(double hour, double centre)
{
    const double distance = (hour - centre) / peakWidthHours;
    return std::exp(-distance * distance / 2);
}

// Arrival rate in arbitrary units; the evening peak is half as high as the morning peak.
double relativeRate(double hour)
{
    return 0.15 + gaussianPeak(hour, morningHour) + 0.5 * gaussianPeak(hour, eveningHour);
}

double meanRelativeRate()
{
    constexpr int stepCount = 240;
    double sum = 0;
    for (int i = 0; i < stepCount; ++i)
        sum += relativeRate(hoursPerDay * i / stepCount);
    return sum / stepCount;
}

class DayGenerator
{
public:
    explicit DayGenerator(const DayOptions &options) : m_options(options), m_random(options.seed)
    {
        for (const DayOrganisation &it : options.organisations)
            m_weights.push_back(it.weight);
    }

    Day generate()
    {
        Day day;
        const double length = static_cast<double>(m_options.length.count());
        const double scale = m_options.meanRequestsPerSecond / 1000 / meanRelativeRate();
        double time = 0;
        for (;;) {
            // Non-homogeneous Poisson process by thinning: draws arrivals at the maximum rate and
            // keeps each with probability relativeRate / maximum rate.
            time += std::exponential_distribution<double>(scale * m_maximumRate)(m_random);
            if (time >= length)
                return day;
            const double hour =
                    std::fmod(m_options.startHour + hoursPerDay * time / length, hoursPerDay);
            if (uniformRandom() * m_maximumRate < relativeRate(hour))
                day.push_back(drawRequest(time, hour));
        }
    }

private:
    double uniformRandom() { return std::uniform_real_distribution<double>()(m_random); }

    // Returns shortest * longestToShortestRatio^e, where e is the exponent plus Gaussian noise,
    // clamped to [0, 1].
    std::uint32_t drawTokenCount(std::uint32_t shortest, double exponent)
    {
        const double noise = std::normal_distribution<double>(0, 0.15)(m_random);
        const double bounded = std::clamp(exponent + noise, 0.0, 1.0);
        return static_cast<std::uint32_t>(shortest * std::pow(longestToShortestRatio, bounded));
    }

    PlannedRequest drawRequest(double time, double hour)
    {
        std::discrete_distribution<std::uint32_t> organisations(m_weights.begin(), m_weights.end());
        const std::uint32_t number = organisations(m_random);
        const DayOrganisation &organisation = m_options.organisations[number];
        PlannedRequest request;
        request.offset = std::chrono::milliseconds(static_cast<std::int64_t>(time));
        request.tier = organisation.tier;
        request.organisation = organisation.name;
        request.deadlineMs = m_options.deadlineMs;
        request.sharedPrefixId = number * prefixesPerOrganisation
                + static_cast<std::uint32_t>(uniformRandom() * prefixesPerOrganisation);
        // Long requests become more likely towards the evening peak, short ones towards the
        // morning.
        const double evening = gaussianPeak(hour, eveningHour) + 0.1;
        const double morning = gaussianPeak(hour, morningHour) + 0.1;
        const double exponent = uniformRandom() * (morning + evening) < evening ? 0.75 : 0.2;
        request.promptTokens = drawTokenCount(m_options.shortestPromptTokens, exponent);
        request.outputTokens = drawTokenCount(m_options.shortestOutputTokens, exponent);
        drawKind(request);
        return request;
    }

    void drawKind(PlannedRequest &request)
    {
        if (!m_options.orderPath.empty() && uniformRandom() < m_options.orderShare) {
            request.kind = RequestKind::Order;
            request.path = m_options.orderPath;
            return;
        }
        request.kind = uniformRandom() < m_options.streamShare ? RequestKind::Streaming
                                                               : RequestKind::NonStreaming;
        request.path = uniformRandom() < 0.5 ? "/v1/completions" : "/v1/chat/completions";
    }

    const DayOptions &m_options;
    std::mt19937_64 m_random;
    std::vector<double> m_weights;
    double m_maximumRate = 1.2; // upper bound of relativeRate(), as thinning requires
};

const char *kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::NonStreaming:
        return "whole";
    case RequestKind::Streaming:
        return "stream";
    case RequestKind::Order:
        return "order";
    }
    return "";
}

bool parseKind(const std::string &name, RequestKind &kind)
{
    for (const RequestKind it :
         {RequestKind::NonStreaming, RequestKind::Streaming, RequestKind::Order}) {
        if (name == kindName(it)) {
            kind = it;
            return true;
        }
    }
    return false;
}

bool parseLine(const std::string &line, PlannedRequest &request)
{
    std::istringstream in(line);
    std::int64_t offset = 0;
    std::string kind;
    in >> offset >> request.tier >> request.organisation >> request.path >> kind
            >> request.promptTokens >> request.outputTokens >> request.deadlineMs
            >> request.sharedPrefixId;
    request.offset = std::chrono::milliseconds(offset);
    std::string rest;
    return !in.fail() && offset >= 0 && parseKind(kind, request.kind) && !(in >> rest);
}

} // namespace

Day generateDay(const DayOptions &options)
{
    return DayGenerator(options).generate();
}

std::string formatDay(const Day &day)
{
    std::ostringstream out;
    out << "# offset_ms tier organisation path kind prompt_tokens output_tokens deadline_ms "
           "shared_prefix\n";
    for (const PlannedRequest &it : day)
        out << it.offset.count() << ' ' << it.tier << ' ' << it.organisation << ' ' << it.path
            << ' ' << kindName(it.kind) << ' ' << it.promptTokens << ' ' << it.outputTokens << ' '
            << it.deadlineMs << ' ' << it.sharedPrefixId << '\n';
    return out.str();
}

Day parseDay(const std::string &text)
{
    Day day;
    std::istringstream in(text);
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        line.resize(std::min(line.find('#'), line.size()));
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        PlannedRequest request;
        if (!parseLine(line, request))
            throw std::invalid_argument("line " + std::to_string(number) + ": malformed request");
        day.push_back(std::move(request));
    }
    std::stable_sort(day.begin(), day.end(), [](const PlannedRequest &a, const PlannedRequest &b) {
        return a.offset < b.offset;
    });
    return day;
}

} // namespace cornelshed::load
