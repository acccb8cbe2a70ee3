// Registry of metrics and their export in the text format.

#include "metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <string_view>

namespace cornelshed {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles {0.5, 0.95, 0.99};

using Accumulator = acc::accumulator_set<
        double, acc::stats<acc::tag::extended_p_square, acc::tag::sum, acc::tag::count>>;

std::string familyName(const std::string &name)
{
    return name.substr(0, name.find('{'));
}

void appendSample(std::string &out, const std::string &name, const std::string &value)
{
    out += name;
    out += ' ';
    out += value;
    out += '\n';
}

} // namespace

class DurationSummary::Private
{
public:
    mutable std::mutex m_mutex;
    Accumulator m_accumulator {acc::tag::extended_p_square::probabilities = quantiles};
};

DurationSummary::DurationSummary() : d(std::make_unique<Private>()) { }

DurationSummary::~DurationSummary() = default;

void DurationSummary::record(Duration duration)
{
    const std::lock_guard lock(d->m_mutex);
    d->m_accumulator(static_cast<double>(duration.count()) * 1e-6);
}

void DurationSummary::append(const std::string &name, std::string &out) const
{
    const std::lock_guard lock(d->m_mutex);
    const auto estimates = acc::extended_p_square(d->m_accumulator);
    for (std::size_t n = 0; n < quantiles.size(); ++n) {
        std::string label = std::to_string(quantiles[n]);
        label.erase(label.find_last_not_of('0') + 1);
        label.insert(0, name + "{quantile=\"");
        label += "\"}";
        appendSample(out, label, std::to_string(estimates[static_cast<std::ptrdiff_t>(n)]));
    }
    appendSample(out, name + "_sum", std::to_string(acc::sum(d->m_accumulator)));
    appendSample(out, name + "_count", std::to_string(acc::count(d->m_accumulator)));
}

class Metrics::Private
{
public:
    struct Entry
    {
        std::string help;
        // Exactly one of the following is set.
        std::unique_ptr<Counter> counter;
        std::unique_ptr<DurationSummary> summary;
        std::function<double()> gauge;
    };

    static void appendEntry(const std::string &name, const Entry &entry, std::string &out)
    {
        if (entry.counter)
            appendSample(out, name, std::to_string(entry.counter->value()));
        else if (entry.summary)
            entry.summary->append(name, out);
        else
            appendSample(out, name, std::to_string(entry.gauge()));
    }

    static const char *typeName(const Entry &entry)
    {
        return entry.counter ? "counter" : entry.summary ? "summary" : "gauge";
    }

    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries; // sorted, so that the samples of a family are adjacent
};

Metrics::Metrics() : d(std::make_unique<Private>()) { }

Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &name, const std::string &help)
{
    const std::lock_guard lock(d->m_mutex);
    Private::Entry &entry = d->m_entries[name];
    if (!entry.counter) {
        entry.help = help;
        entry.counter = std::make_unique<Counter>();
    }
    return *entry.counter;
}

DurationSummary &Metrics::summary(const std::string &name, const std::string &help)
{
    const std::lock_guard lock(d->m_mutex);
    Private::Entry &entry = d->m_entries[name];
    if (!entry.summary) {
        entry.help = help;
        entry.summary = std::make_unique<DurationSummary>();
    }
    return *entry.summary;
}

void Metrics::gauge(const std::string &name, const std::string &help, std::function<double()> read)
{
    const std::lock_guard lock(d->m_mutex);
    Private::Entry &entry = d->m_entries[name];
    entry.help = help;
    entry.gauge = std::move(read);
}

std::string Metrics::text() const
{
    const std::lock_guard lock(d->m_mutex);
    std::string out;
    std::string family;
    for (const auto &[name, entry] : d->m_entries) {
        if (familyName(name) != family) {
            family = familyName(name);
            out += "# HELP " + family + ' ' + entry.help + '\n';
            out += "# TYPE " + family + ' ' + Private::typeName(entry) + '\n';
        }
        Private::appendEntry(name, entry, out);
    }
    return out;
}

} // namespace cornelshed
