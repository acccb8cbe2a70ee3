// Runs the daemons and their messages in one event queue.

#include "propagationmodel.h"

#include "eventqueue.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed {

namespace {

// Estimate of the framing, names and reply headers of one message, counted in bytesSent().
constexpr std::uint64_t messageOverheadBytes = 400;

std::string configurationText(const std::string &digest)
{
    // Large and mostly unchanged, so that updates are sent as differences.
    return std::string(20000, 'a') + "version " + digest + std::string(9000, 'z');
}

} // namespace

class PropagationModel::Private
{
public:
    Private(std::size_t count, const PropagationFaults &faults, std::uint64_t seed)
        : m_faults(faults), m_random(seed), m_daemons(count)
    {
        for (std::size_t n = 0; n < count; ++n)
            restart(n);
        if (faults.meanCrashInterval.count() > 0)
            scheduleCrash();
    }

    void accept()
    {
        m_acceptedAt.push_back(m_events.now());
        m_headDigest = std::to_string(m_acceptedAt.size());
    }

    void acceptAgain()
    {
        m_acceptedAt.back() = m_events.now();
        m_headDigest += " again";
        m_acceptedAgain = true;
    }

    void runFor(Duration duration) { m_events.runFor(duration); }

    std::uint64_t reads() const { return m_reads; }
    std::uint64_t bytesSent() const { return m_bytes; }
    bool versionDecreased() const { return m_decreased; }

    std::size_t countOutdatedDaemons(std::uint64_t version) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_daemons.begin(), m_daemons.end(), [&](const Daemon &it) {
                    return it.startedAt <= m_acceptedAt[version - 1] && it.installed < version;
                }));
    }

    std::size_t countOtherTexts() const
    {
        const std::string text = configurationText(m_headDigest);
        return static_cast<std::size_t>(
                std::count_if(m_daemons.begin(), m_daemons.end(), [&](const Daemon &it) {
                    return it.startedAt <= m_acceptedAt.back()
                            && (it.text == nullptr || *it.text != text);
                }));
    }

    bool textReturned() const { return m_textReturned; }

    void inject(std::size_t n, const PropagationMessage &message) { deliver(n, "0", message); }
    std::uint64_t installed(std::size_t n) const { return m_daemons[n].installed; }

private:
    struct Daemon
    {
        std::optional<ConfigurationPropagation> propagation;
        std::uint64_t incarnation = 0;
        std::uint64_t installed = 0;
        std::shared_ptr<const std::string> text; // installed
        std::vector<std::string> replacedTexts;  // of the installed version
        Instant startedAt {};
        Instant wakeAt = instantNever;
    };

    Duration randomDelay() { return Duration(m_random.below(m_faults.maximumDelay.count() + 1)); }
    bool withPercentProbability(std::uint64_t percent) { return m_random.below(100) < percent; }

    void restart(std::size_t n)
    {
        Daemon &daemon = m_daemons[n];
        const std::uint64_t incarnation = daemon.incarnation + 1;
        daemon = Daemon {std::nullopt, incarnation, 0, nullptr, {}, m_events.now(), instantNever};
        daemon.propagation.emplace(
                PropagationLimits {}, m_random,
                [](const std::string &digest, const std::string &text) {
                    return text == configurationText(digest);
                },
                m_events.now());
        std::vector<std::string> peers;
        for (std::size_t peer = 0; peer < m_daemons.size(); ++peer) {
            if (peer != n)
                peers.push_back(std::to_string(peer));
        }
        daemon.propagation->setPeers(std::move(peers));
        scheduleWake(n);
    }

    void scheduleCrash()
    {
        m_events.after(Duration(m_random.below(2 * m_faults.meanCrashInterval.count())), [this] {
            restart(m_random.below(m_daemons.size()));
            scheduleCrash();
        });
    }

    void scheduleWake(std::size_t n)
    {
        const Instant at = m_daemons[n].propagation->nextWakeTime();
        if (at >= m_daemons[n].wakeAt)
            return;
        m_daemons[n].wakeAt = at;
        runInDaemon(n, at - m_events.now(), [this, n] {
            m_daemons[n].wakeAt = instantNever;
            carryOut(n, m_daemons[n].propagation->tick(m_events.now()));
        });
    }

    // Runs the action after the delay, unless the daemon has crashed by then.
    void runInDaemon(std::size_t n, Duration delay, std::function<void()> run)
    {
        m_events.after(std::max(delay, Duration(0)),
                       [this, n, incarnation = m_daemons[n].incarnation, run = std::move(run)] {
                           if (m_daemons[n].incarnation == incarnation)
                               run();
                       });
    }

    void carryOut(std::size_t n, const PropagationActions &actions)
    {
        for (const PropagationAction &it : actions)
            std::visit([&](const auto &action) { perform(n, action); }, it);
        scheduleWake(n);
    }

    void perform(std::size_t n, const PollHead &)
    {
        ++m_reads;
        if (withPercentProbability(m_faults.failedReadPercent))
            return;
        runInDaemon(n, randomDelay(),
                    [this, n, version = m_acceptedAt.size(), digest = m_headDigest,
                     startedAt = m_events.now()] {
                        carryOut(n,
                                 m_daemons[n].propagation->headRowRead(version, digest, startedAt));
                    });
    }

    void perform(std::size_t n, const FetchText &action)
    {
        if (withPercentProbability(m_faults.failedReadPercent))
            return;
        runInDaemon(n, randomDelay(), [this, n, action] {
            carryOut(n,
                     m_daemons[n].propagation->textFetched(action.version, action.digest,
                                                           configurationText(action.digest),
                                                           m_events.now()));
        });
    }

    void perform(std::size_t n, const SendToPeer &action)
    {
        const auto *update = std::get_if<ConfigurationUpdate>(&action.message);
        m_bytes += messageOverheadBytes + (update == nullptr ? 0 : update->middle.size());
        const int copies = withPercentProbability(m_faults.lostPercent) ? 0
                : withPercentProbability(m_faults.duplicatedPercent)    ? 2
                                                                        : 1;
        for (int copy = 0; copy < copies; ++copy) {
            // A duplicate arrives up to 5 s late, when the receiver may have restarted.
            const Duration late = copy == 0 ? Duration(0) : Duration(m_random.below(5000000));
            m_events.after(randomDelay() + late,
                           [this, to = std::stoul(action.peer), from = std::to_string(n),
                            message = action.message] { deliver(to, from, message); });
        }
    }

    void deliver(std::size_t to, const std::string &from, const PropagationMessage &message)
    {
        carryOut(to, m_daemons[to].propagation->handle(from, message, m_events.now()));
    }

    void perform(std::size_t n, const InstallConfiguration &action)
    {
        Daemon &daemon = m_daemons[n];
        const bool replacesText = m_acceptedAgain && action.version == daemon.installed;
        m_decreased = m_decreased || (action.version <= daemon.installed && !replacesText);
        std::vector<std::string> &replaced = daemon.replacedTexts;
        if (replacesText)
            replaced.push_back(*daemon.text);
        else
            replaced.clear();
        m_textReturned = m_textReturned
                || std::find(replaced.begin(), replaced.end(), *action.text) != replaced.end();
        daemon.installed = action.version;
        daemon.text = action.text;
    }

    PropagationFaults m_faults;
    SeededRandom m_random;
    std::vector<Daemon> m_daemons;
    std::vector<Instant> m_acceptedAt; // version n is at index n - 1
    std::string m_headDigest = "0";
    bool m_acceptedAgain = false; // acceptAgain() was called
    bool m_textReturned = false;
    measure::EventQueue m_events;
    std::uint64_t m_reads = 0;
    std::uint64_t m_bytes = 0;
    bool m_decreased = false;
};

PropagationModel::PropagationModel(std::size_t count, const PropagationFaults &faults,
                                   std::uint64_t seed)
    : d(std::make_unique<Private>(count, faults, seed))
{ }

PropagationModel::~PropagationModel() = default;
PropagationModel::PropagationModel(PropagationModel &&) noexcept = default;
PropagationModel &PropagationModel::operator=(PropagationModel &&) noexcept = default;

void PropagationModel::accept()
{
    d->accept();
}

void PropagationModel::acceptAgain()
{
    d->acceptAgain();
}

void PropagationModel::runFor(Duration duration)
{
    d->runFor(duration);
}

std::uint64_t PropagationModel::reads() const
{
    return d->reads();
}

std::uint64_t PropagationModel::bytesSent() const
{
    return d->bytesSent();
}

bool PropagationModel::versionDecreased() const
{
    return d->versionDecreased();
}

std::size_t PropagationModel::countOutdatedDaemons(std::uint64_t version) const
{
    return d->countOutdatedDaemons(version);
}

std::size_t PropagationModel::countOtherTexts() const
{
    return d->countOtherTexts();
}

bool PropagationModel::textReturned() const
{
    return d->textReturned();
}

void PropagationModel::inject(std::size_t n, const PropagationMessage &message)
{
    d->inject(n, message);
}

std::uint64_t PropagationModel::installed(std::size_t n) const
{
    return d->installed(n);
}

} // namespace cornelshed
