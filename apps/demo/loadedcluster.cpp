// Runs a LoadRun against a Cluster and audits the outcomes.

#include "loadedcluster.h"

#include "clustersettings.h"
#include "ledgers.h"
#include "loadrun.h"

#include <stdexcept>
#include <thread>

namespace cornelshed::demo {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto progressTimeLimit = 60s; // far longer than the largest gap between requests of a day
constexpr auto pollInterval = 2ms;

load::LoadOptions loadOptions(const Cluster &cluster)
{
    load::LoadOptions options;
    for (const std::string &it : cluster.memberNames(MemberKind::Entry))
        options.entries.push_back(cluster.endpointOf(it));
    options.isEntryAvailable = [&cluster](std::size_t n) { return cluster.entryReady(n); };
    options.model = modelName;
    return options;
}

} // namespace

load::DayOptions clusterDayOptions(std::uint64_t seed, double seconds, double requestsPerSecond)
{
    load::DayOptions day;
    day.seed = seed;
    day.length = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    day.meanRequestsPerSecond = requestsPerSecond;
    day.organisations = {{"large-1", "gold", 5},
                         {"large-2", "silver", 5},
                         {"small-1", "gold", 1},
                         {"small-2", "silver", 1},
                         {"small-3", "bronze", 3}};
    return day;
}

class LoadedCluster::Private
{
public:
    Private(const ClusterOptions &options, const load::Day &day)
        : m_cluster(options), m_load(day, loadOptions(m_cluster))
    {
        m_cluster.start();
        m_sender = std::thread([this] { m_records = m_load.run(); });
    }

    ~Private()
    {
        m_load.stopSending();
        joinSender();
    }

    void joinSender()
    {
        if (m_sender.joinable())
            m_sender.join();
    }

    Cluster m_cluster;
    load::LoadRun m_load;
    std::vector<load::RequestRecord> m_records; // valid once m_sender has been joined
    std::thread m_sender;
};

LoadedCluster::LoadedCluster(const ClusterOptions &options, const load::Day &day)
    : d(std::make_unique<Private>(options, day))
{ }

LoadedCluster::~LoadedCluster() = default;

Cluster &LoadedCluster::cluster()
{
    return d->m_cluster;
}

std::uint64_t LoadedCluster::endedCount() const
{
    return d->m_load.endedCount();
}

void LoadedCluster::waitForEnded(std::uint64_t count) const
{
    const Clock::time_point giveUpTime = Clock::now() + progressTimeLimit;
    while (endedCount() < count) {
        if (Clock::now() >= giveUpTime)
            throw std::runtime_error(
                    "timed out after 60 s waiting for requests of the load to end");
        std::this_thread::sleep_for(pollInterval);
    }
}

std::uint64_t LoadedCluster::runCountInZone(const std::string &zone)
{
    std::vector<standins::HttpEndpoint> engines;
    for (const std::string &it : d->m_cluster.memberNames(MemberKind::Engine)) {
        if (d->m_cluster.zoneOf(it) == zone)
            engines.push_back(d->m_cluster.endpointOf(it));
    }
    std::uint64_t count = 0;
    for (const load::LedgerRow &it : load::fetchLedgers(engines))
        count += it.count;
    return count;
}

load::Tally LoadedCluster::finish(bool sendRest)
{
    if (!sendRest)
        d->m_load.stopSending();
    d->joinSender();
    std::vector<standins::HttpEndpoint> ledgers;
    for (const MemberKind kind : {MemberKind::Engine, MemberKind::Service}) {
        for (const std::string &it : d->m_cluster.memberNames(kind))
            ledgers.push_back(d->m_cluster.endpointOf(it));
    }
    load::Tally tally = load::countRecords(d->m_records);
    load::auditRecords(tally, d->m_records, load::fetchLedgers(ledgers));
    return tally;
}

} // namespace cornelshed::demo
