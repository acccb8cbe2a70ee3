// Plays a fleet of gateways with duties in virtual time.

#include "dutyfleet.h"

#include <algorithm>
#include <array>

namespace cornelshed::testing {

using namespace std::chrono_literals;

namespace {

constexpr std::array<const char *, 3> organisations {"alpha", "beta", "gamma"};
constexpr Duration storeTimeout = 1s;
constexpr Duration latestWrite = 6s;
constexpr Duration reportInterval = 150ms;

std::string nameOfGateway(std::size_t index)
{
    return "gateway-" + std::to_string(index);
}

} // namespace

struct DutyFleet::Gateway
{
    std::size_t index = 0;
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool frozen = false;
    bool cutFromStore = false;
    bool cutFromPeers = false;
    bool stopping = false;
    bool leaseStopped = false;
    Duration bootOffset {}; // of the time since boot from true time
    Duration wallOffset {}; // of the wall clock from true time
    std::unique_ptr<DutyState> state;
    std::unique_ptr<DutyLease> lease;
    std::unique_ptr<UsageDuty> usage;
    std::size_t callsInProgress = 0;
    std::optional<Duration> unansweredAt;
    Duration reportAt {};
};

DutyFleet::DutyFleet(std::size_t gateways, std::uint64_t seed)
    : m_random(seed), m_now(std::chrono::hours(490000) + Duration(m_random.below(5000000)))
{
    for (std::size_t i = 0; i < gateways; ++i) {
        m_gateways.push_back(std::make_unique<Gateway>());
        m_gateways.back()->index = i;
        m_gateways.back()->bootOffset = Duration(m_random.below(3600000000)) - m_now;
        m_gateways.back()->wallOffset = Duration(m_random.below(100000)) - 50ms;
    }
    for (std::size_t i = 0; i < gateways; ++i)
        start(i);
}

DutyFleet::~DutyFleet() = default;

void DutyFleet::start(std::size_t index)
{
    Gateway &gateway = *m_gateways[index];
    const auto sinceBoot = [this, &gateway] { return m_now + gateway.bootOffset; };
    const auto wall = [this, &gateway] { return m_now + gateway.wallOffset; };
    gateway.incarnation = ++m_lastIncarnation;
    gateway.alive = true;
    gateway.frozen = false;
    gateway.stopping = false;
    gateway.leaseStopped = false;
    gateway.callsInProgress = 0;
    gateway.unansweredAt.reset();
    gateway.state = std::make_unique<DutyState>(window, DutyClocks {sinceBoot, wall});
    gateway.state->addOrganisations({organisations.begin(), organisations.end()});
    gateway.lease = std::make_unique<DutyLease>(
            DutyLeaseSettings {nameOfGateway(index), gateway.incarnation, lease, thaw});
    gateway.usage = std::make_unique<UsageDuty>(UsageDutySettings {window, late});
}

// --- time ---

void DutyFleet::run(Duration duration)
{
    const Duration end = m_now + duration;
    while (m_now < end)
        advance();
}

bool DutyFleet::runUntil(const std::function<bool()> &condition)
{
    const Duration end = m_now + 30s;
    while (m_now < end && !condition())
        advance();
    return condition();
}

void DutyFleet::after(Duration delay, std::function<void()> run)
{
    m_events.insert({m_now + delay, ++m_eventCount, std::move(run)});
}

void DutyFleet::deliver(std::size_t index, Duration delay,
                        const std::function<void(Gateway &)> &run)
{
    after(delay, [this, index, incarnation = m_gateways[index]->incarnation, run] {
        Gateway &gateway = *m_gateways[index];
        if (!gateway.alive || gateway.incarnation != incarnation)
            return;
        if (gateway.frozen)
            deliver(index, step, run);
        else
            run(gateway);
    });
}

void DutyFleet::advance()
{
    const Duration end = m_now + step;
    while (!m_events.empty() && m_events.begin()->at <= end) {
        const Event event = *m_events.begin();
        m_events.erase(m_events.begin());
        m_now = event.at;
        event.run();
    }
    m_now = end;
    for (const auto &it : m_gateways) {
        if (it->alive && !it->frozen)
            stepGateway(*it);
    }
}

void DutyFleet::stepGateway(Gateway &gateway)
{
    std::uint32_t rank = 0;
    std::uint32_t heard = 0;
    for (const auto &it : m_gateways) {
        heard += it->alive && !it->frozen && !it->cutFromPeers ? 1 : 0;
        rank += it->alive && !it->frozen && it->index < gateway.index ? 1 : 0;
    }
    gateway.state->setView(gateway.cutFromPeers ? 1 : std::max(heard, 1U), rank);
    for (const char *organisation : organisations) {
        if (chance(0.3)) {
            gateway.state->countRequest(organisation);
            ++m_truth[m_now / window][organisation];
        }
    }
    const Duration now = gateway.state->clocks().sinceBoot();
    const HeardDuties heardDuties = gateway.state->update();
    gateway.lease->setRank(heardDuties.rank);
    for (const auto &[number, position] : heardDuties.holders)
        gateway.lease->peerReported(number, position, now);
    for (const FixedWindow &it : heardDuties.fixed)
        gateway.usage->heardFixed(it);
    if (gateway.stopping && !gateway.leaseStopped && gateway.callsInProgress == 0) {
        gateway.leaseStopped = true;
        gateway.lease->stop(!gateway.unansweredAt || now - *gateway.unansweredAt >= lease);
    }
    callStore(gateway);
    if (!gateway.stopping)
        callPlatform(gateway);
    HolderState holder;
    holder.number = gateway.lease->number();
    holder.rowPosition = gateway.lease->position();
    holder.nextWindow = gateway.usage->nextWindow();
    holder.fixed = gateway.usage->recentlyFixed();
    gateway.state->setHolderState(holder);
    if (m_now >= gateway.reportAt)
        report(gateway);
}

void DutyFleet::report(Gateway &gateway)
{
    gateway.reportAt = m_now + reportInterval;
    const DutyReport sent = gateway.state->composeReport();
    if (gateway.cutFromPeers)
        return;
    for (const auto &it : m_gateways) {
        if (it->index == gateway.index || chance(faults.lostReports))
            continue;
        deliver(it->index, latency() / 10, [sent, from = gateway.incarnation](Gateway &receiver) {
            if (!receiver.cutFromPeers)
                receiver.state->applyReport(from, sent);
        });
    }
}

// --- store ---

std::optional<RowStoreError> DutyFleet::apply(const WriteDutyRow &write, const DutyRow &row)
{
    if (m_storeAway)
        return RowStoreError::Unavailable;
    if ((m_row ? m_row->second : 0) != write.expectedVersion)
        return RowStoreError::Conflict;
    // Other rows are written as well.
    m_version += 1 + m_random.below(3);
    m_row = std::pair(row, m_version);
    return std::nullopt;
}

void DutyFleet::callStore(Gateway &gateway)
{
    const auto &clocks = gateway.state->clocks();
    const bool isPressed = gateway.state->withCounts(
            [&](const UsageWindows &counts, Duration time, Duration sinceBoot) {
                return gateway.usage->isPressed(counts, time, sinceBoot);
            });
    if (gateway.lease->holds() && isPressed)
        gateway.lease->requestWrite();
    const auto call = gateway.lease->nextCall(clocks.sinceBoot());
    handleChanges(gateway);
    if (!call)
        return;
    const std::size_t index = gateway.index;
    if (std::holds_alternative<ReadDutyRow>(*call)) {
        if (gateway.cutFromStore || chance(faults.lostRequests)) {
            deliver(index, storeTimeout, [this](Gateway &it) {
                it.lease->readFailed(it.state->clocks().sinceBoot());
                callStore(it);
            });
            return;
        }
        after(latency(), [this, index, incarnation = gateway.incarnation] {
            Gateway &reader = *m_gateways[index];
            if (reader.incarnation != incarnation)
                return;
            if (m_storeAway) {
                deliver(index, latency(), [this, era = m_era](Gateway &it) {
                    const Duration now = it.state->clocks().sinceBoot();
                    it.lease->eraRead(era, now);
                    it.lease->readFailed(now);
                });
                return;
            }
            deliver(index, latency(),
                    [this, row = m_row, era = m_era, version = m_version](Gateway &it) {
                        const Duration now = it.state->clocks().sinceBoot();
                        it.lease->eraRead(era, now);
                        handleChanges(it);
                        it.lease->rowRead(row ? std::optional(row->first) : std::nullopt,
                                          {era, row ? row->second : 0}, version, now);
                        handleChanges(it);
                        callStore(it);
                    });
        });
        return;
    }
    const auto &write = std::get<WriteDutyRow>(*call);
    DutyRow row = write.row;
    const auto &previous = gateway.lease->row();
    if (write.acquires)
        row.progress = gateway.usage->atAcquisition(
                previous ? std::optional(previous->progress) : std::nullopt,
                previous && previous->era == gateway.lease->era(),
                gateway.state->windowAt(gateway.lease->firstSeen()));
    else
        row.progress = gateway.state->withCounts(
                [&](const UsageWindows &counts, Duration time, Duration sinceBoot) {
                    return gateway.usage->atRenewal(counts, time, sinceBoot);
                });
    gateway.lease->writeSent(row, clocks.sinceBoot());
    const auto end = [this](std::optional<RowStoreError> error, std::optional<std::uint64_t> era) {
        return [this, error, era](Gateway &it) {
            const Duration now = it.state->clocks().sinceBoot();
            if (era)
                it.lease->eraRead(*era, now);
            handleChanges(it);
            it.lease->writeEnded(error, now);
            handleChanges(it);
            callStore(it);
        };
    };
    if (gateway.cutFromStore || chance(faults.lostRequests)) {
        deliver(index, storeTimeout, end(RowStoreError::Unknown, std::nullopt));
    } else if (chance(faults.lateWrites)) {
        after(Duration(m_random.below(latestWrite.count())),
              [this, write, row] { apply(write, row); });
        deliver(index, storeTimeout, end(RowStoreError::Unknown, std::nullopt));
    } else if (chance(faults.lostAnswers)) {
        after(latency(), [this, write, row] { apply(write, row); });
        deliver(index, storeTimeout, end(RowStoreError::Unknown, std::nullopt));
    } else {
        after(latency(), [this, write, row, index, end, incarnation = gateway.incarnation] {
            const auto error = apply(write, row);
            if (m_gateways[index]->incarnation == incarnation)
                deliver(index, latency(), end(error, m_era));
        });
    }
}

void DutyFleet::handleChanges(Gateway &gateway)
{
    for (const DutyLeaseChange it : gateway.lease->takeChanges()) {
        if (it != DutyLeaseChange::Acquired && it != DutyLeaseChange::Lapsed)
            gateway.usage->lost();
    }
    if (const auto row = gateway.lease->takeConfirmed())
        gateway.usage->confirmed(row->progress);
}

void DutyFleet::keepCopy()
{
    m_copyVersion = m_version;
    m_copyRow = m_row;
}

void DutyFleet::returnFromCopy()
{
    m_version = m_copyVersion;
    m_row = m_copyRow;
    ++m_era;
    m_storeAway = false;
}

// --- platform ---

void DutyFleet::callPlatform(Gateway &gateway)
{
    const Duration now = gateway.state->clocks().sinceBoot();
    if (!gateway.lease->covers(now + callTimeout))
        return;
    if (gateway.callsInProgress < 4) {
        if (const auto next = gateway.usage->nextCall(now))
            sendCall(gateway, next);
    }
    sendCall(gateway, std::nullopt);
}

void DutyFleet::sendCall(Gateway &gateway, const std::optional<FixedWindow> &sent)
{
    const std::uint64_t number = gateway.lease->number();
    ++gateway.callsInProgress;
    const auto end = [number, sent](DutyCallOutcome outcome) {
        return [number, sent, outcome](Gateway &it) {
            const Duration ended = it.state->clocks().sinceBoot();
            --it.callsInProgress;
            if (outcome == DutyCallOutcome::Unanswered)
                it.unansweredAt = ended;
            if (sent && it.lease->number() == number)
                it.usage->callEnded(sent->window, outcome, ended);
        };
    };
    if (m_platformAway || chance(faults.lostCalls)) {
        deliver(gateway.index, callTimeout, end(DutyCallOutcome::Unanswered));
        return;
    }
    if (chance(faults.refusedCalls)) {
        deliver(gateway.index, latency(), end(DutyCallOutcome::NotTaken));
        return;
    }
    const bool isAnswered = !chance(faults.lostCallAnswers);
    const Duration delay = isAnswered ? latency() : Duration(m_random.below(callTimeout.count()));
    after(delay,
          [this, number, sent, name = nameOfGateway(gateway.index),
           incarnation = gateway.incarnation] {
              (sent ? m_arrived : m_othersArrived)
                      .push_back({m_now, name, incarnation, number, sent});
          });
    deliver(gateway.index, isAnswered ? delay + latency() : callTimeout,
            end(isAnswered ? DutyCallOutcome::Accepted : DutyCallOutcome::Unanswered));
}

std::map<std::int64_t, ArrivedCall> DutyFleet::firstArrivals() const
{
    std::map<std::int64_t, ArrivedCall> first;
    for (const ArrivedCall &it : m_arrived)
        first.emplace(it.window->window, it);
    return first;
}

namespace {

// Violations among the calls of one subject.
void findViolations(const std::vector<ArrivedCall> &calls, std::vector<std::string> &found)
{
    std::map<std::uint64_t, std::uint64_t> owners; // incarnations, by number
    std::map<std::string, Duration> lastByHolder;
    std::uint64_t highest = 0;
    std::string previous;
    for (const ArrivedCall &it : calls) {
        const std::string text = it.holder + " number " + std::to_string(it.number) + " window "
                + (it.window ? std::to_string(it.window->window) : "none") + " at "
                + std::to_string(it.at / 1ms);
        if (owners.emplace(it.number, it.incarnation).first->second != it.incarnation)
            found.push_back("two holders of a number: " + text);
        if (it.number < highest)
            found.push_back("lower number: " + text);
        highest = std::max(highest, it.number);
        const auto last = lastByHolder.find(it.holder);
        if (previous != it.holder && last != lastByHolder.end()
            && it.at - last->second <= DutyFleet::lease)
            found.push_back("acts again within the lease time: " + text);
        lastByHolder[it.holder] = it.at;
        previous = it.holder;
    }
}

} // namespace

std::vector<std::string> DutyFleet::violations() const
{
    std::vector<std::string> found;
    findViolations(m_arrived, found);
    findViolations(m_othersArrived, found);
    std::map<std::int64_t, UsageCounts> counts;
    for (const ArrivedCall &it : m_arrived) {
        if (counts.emplace(it.window->window, it.window->counts).first->second != it.window->counts)
            found.push_back("different counts of window " + std::to_string(it.window->window));
    }
    return found;
}

// --- faults ---

std::size_t DutyFleet::holderCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_gateways.begin(), m_gateways.end(), [](const auto &it) {
                return it->alive && it->lease->covers(it->state->clocks().sinceBoot());
            }));
}

std::optional<std::size_t> DutyFleet::holder() const
{
    for (const auto &it : m_gateways) {
        if (it->alive && it->lease->covers(it->state->clocks().sinceBoot()))
            return it->index;
    }
    return std::nullopt;
}

void DutyFleet::kill(std::size_t gateway)
{
    m_gateways[gateway]->alive = false;
    ++m_gateways[gateway]->incarnation;
    m_lastIncarnation = std::max(m_lastIncarnation, m_gateways[gateway]->incarnation);
}

void DutyFleet::restart(std::size_t gateway)
{
    if (!m_gateways[gateway]->alive)
        start(gateway);
}

void DutyFleet::setFrozen(std::size_t gateway, bool frozen)
{
    m_gateways[gateway]->frozen = frozen;
}

void DutyFleet::setCutFromStore(std::size_t gateway, bool cut)
{
    m_gateways[gateway]->cutFromStore = cut;
}

void DutyFleet::setCutFromPeers(std::size_t gateway, bool cut)
{
    m_gateways[gateway]->cutFromPeers = cut;
}

void DutyFleet::stepWallClock(std::size_t gateway, Duration by)
{
    m_gateways[gateway]->wallOffset += by;
}

void DutyFleet::stop(std::size_t gateway)
{
    m_gateways[gateway]->stopping = true;
}

bool DutyFleet::isAlive(std::size_t gateway) const
{
    return m_gateways[gateway]->alive;
}

bool DutyFleet::isFrozen(std::size_t gateway) const
{
    return m_gateways[gateway]->frozen;
}

std::int64_t DutyFleet::presentWindow() const
{
    return m_now / window;
}

} // namespace cornelshed::testing
