// Generation and text form of a day.

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
constexpr double lengthRatio = 100; // longest to shortest
constexpr std::uint32_t prefixesPerOrganisation = 4;

double peak(double hour, double centre)
{
    const double distance = (hour - centre) / peakWidthHours;
    return std::exp(-distance * distance / 2);
}

// Relative rate of arrivals; the evening has half as many requests as the morning.
double rateAt(double hour)
{
    return 0.15 + peak(hour, morningHour) + 0.5 * peak(hour, eveningHour);
}

double meanRate()
{
    constexpr int stepCount = 240;
    double sum = 0;
    for (int i = 0; i < stepCount; ++i)
        sum += rateAt(hoursPerDay * i / stepCount);
    return sum / stepCount;
}

class Generator
{
public:
    explicit Generator(const DayOptions &options) : m_options(options), m_random(options.seed)
    {
        for (const DayOrganisation &it : options.organisations)
            m_weights.push_back(it.weight);
    }

    Day run()
    {
        Day day;
        const double length = static_cast<double>(m_options.length.count());
        const double scale = m_options.meanRequestsPerSecond / 1000 / meanRate();
        double time = 0;
        for (;;) {
            // Thinning of a process with the highest rate of the day.
            time += std::exponential_distribution<double>(scale * m_highestRate)(m_random);
            if (time >= length)
                return day;
            const double hour =
                    std::fmod(m_options.startHour + hoursPerDay * time / length, hoursPerDay);
            if (unit() * m_highestRate < rateAt(hour))
                day.push_back(request(time, hour));
        }
    }

private:
    double unit() { return std::uniform_real_distribution<double>()(m_random); }

    // Length with the given exponent of the ratio in [0, 1] plus noise.
    std::uint32_t lengthOf(std::uint32_t shortest, double exponent)
    {
        const double noise = std::normal_distribution<double>(0, 0.15)(m_random);
        const double bounded = std::clamp(exponent + noise, 0.0, 1.0);
        return static_cast<std::uint32_t>(shortest * std::pow(lengthRatio, bounded));
    }

    PlannedRequest request(double time, double hour)
    {
        std::discrete_distribution<std::uint32_t> organisations(m_weights.begin(), m_weights.end());
        const std::uint32_t number = organisations(m_random);
        const DayOrganisation &organisation = m_options.organisations[number];
        PlannedRequest it;
        it.offset = std::chrono::milliseconds(static_cast<std::int64_t>(time));
        it.tier = organisation.tier;
        it.organisation = organisation.name;
        it.deadlineMs = m_options.deadlineMs;
        it.sharedPrefix = number * prefixesPerOrganisation
                + static_cast<std::uint32_t>(unit() * prefixesPerOrganisation);
        const double evening = peak(hour, eveningHour) + 0.1;
        const double morning = peak(hour, morningHour) + 0.1;
        const double exponent = unit() * (morning + evening) < evening ? 0.75 : 0.2;
        it.promptTokens = lengthOf(m_options.shortestPromptTokens, exponent);
        it.outputTokens = lengthOf(m_options.shortestOutputTokens, exponent);
        chooseKind(it);
        return it;
    }

    void chooseKind(PlannedRequest &it)
    {
        if (!m_options.orderPath.empty() && unit() < m_options.orderShare) {
            it.kind = RequestKind::Order;
            it.path = m_options.orderPath;
            return;
        }
        it.kind = unit() < m_options.streamShare ? RequestKind::Stream : RequestKind::Whole;
        it.path = unit() < 0.5 ? "/v1/completions" : "/v1/chat/completions";
    }

    const DayOptions &m_options;
    std::mt19937_64 m_random;
    std::vector<double> m_weights;
    double m_highestRate = 1.2; // above rateAt() at any hour
};

const char *kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Whole:
        return "whole";
    case RequestKind::Stream:
        return "stream";
    case RequestKind::Order:
        return "order";
    }
    return "";
}

bool parseKind(const std::string &name, RequestKind &kind)
{
    for (const RequestKind it : {RequestKind::Whole, RequestKind::Stream, RequestKind::Order}) {
        if (name == kindName(it)) {
            kind = it;
            return true;
        }
    }
    return false;
}

bool parseLine(const std::string &line, PlannedRequest &it)
{
    std::istringstream in(line);
    std::int64_t offset = 0;
    std::string kind;
    in >> offset >> it.tier >> it.organisation >> it.path >> kind >> it.promptTokens
            >> it.outputTokens >> it.deadlineMs >> it.sharedPrefix;
    it.offset = std::chrono::milliseconds(offset);
    std::string rest;
    return !in.fail() && offset >= 0 && parseKind(kind, it.kind) && !(in >> rest);
}

} // namespace

Day generateDay(const DayOptions &options)
{
    return Generator(options).run();
}

std::string formatDay(const Day &day)
{
    std::ostringstream out;
    out << "# offset_ms tier organisation path kind prompt_tokens output_tokens deadline_ms "
           "shared_prefix\n";
    for (const PlannedRequest &it : day)
        out << it.offset.count() << ' ' << it.tier << ' ' << it.organisation << ' ' << it.path
            << ' ' << kindName(it.kind) << ' ' << it.promptTokens << ' ' << it.outputTokens << ' '
            << it.deadlineMs << ' ' << it.sharedPrefix << '\n';
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
        PlannedRequest it;
        if (!parseLine(line, it))
            throw std::invalid_argument("line " + std::to_string(number) + ": malformed request");
        day.push_back(std::move(it));
    }
    std::stable_sort(day.begin(), day.end(), [](const PlannedRequest &a, const PlannedRequest &b) {
        return a.offset < b.offset;
    });
    return day;
}

} // namespace cornelshed::load
