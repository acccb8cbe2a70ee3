// Polling, pushing and the version exchange. Updates are sent as differences to keep the traffic of
// a daemon within its limit: at 18,000 changes a day and 31,000 organisations, whole texts would
// amount to about 450 KB/s.

#include "configspread.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace cornelshed {

namespace {

struct VersionedText
{
    std::uint64_t version = 0;
    std::string digest;
    std::shared_ptr<const std::string> text;
};

// The update that turns base into next. A base with version 0 gives the whole text.
SpreadUpdate makeUpdate(const VersionedText &base, const VersionedText &next)
{
    SpreadUpdate update {next.version, next.digest, base.version, 0, 0, ""};
    if (base.version == 0) {
        update.middle = *next.text;
        return update;
    }
    const std::string &from = *base.text;
    const std::string &to = *next.text;
    const auto shorter = std::min(from.size(), to.size());
    const auto prefixEnd =
            std::mismatch(to.begin(), to.begin() + static_cast<long>(shorter), from.begin());
    const auto prefix = static_cast<std::size_t>(prefixEnd.first - to.begin());
    const auto suffixEnd = std::mismatch(
            to.rbegin(), to.rbegin() + static_cast<long>(shorter - prefix), from.rbegin());
    const auto suffix = static_cast<std::size_t>(suffixEnd.first - to.rbegin());
    update.prefixBytes = prefix;
    update.suffixBytes = suffix;
    update.middle = to.substr(prefix, to.size() - prefix - suffix);
    return update;
}

// nullopt if the lengths in the update do not fit the base.
std::optional<std::string> applyUpdate(const std::string &base, const SpreadUpdate &update)
{
    if (update.prefixBytes > base.size() || update.suffixBytes > base.size() - update.prefixBytes)
        return std::nullopt;
    return base.substr(0, update.prefixBytes) + update.middle
            + base.substr(base.size() - update.suffixBytes);
}

} // namespace

class ConfigurationSpread::Private
{
public:
    Private(const SpreadLimits &limits, RandomSource &random, TextValidator isValidText,
            Instant now)
        : m_limits(limits), m_random(random), m_isValidText(std::move(isValidText)), m_pollAt(now),
          m_exchangeAt(now + randomDurationBelow(limits.exchangeInterval)), m_peerHeardAt(now)
    { }

    void setPeers(std::vector<std::string> peers) { m_peers = std::move(peers); }

    SpreadActions headRead(std::uint64_t version, const std::string &digest)
    {
        if (version <= this->version())
            return {};
        return {FetchText {version, digest}};
    }

    // Installs the version and pushes it to peers, if it is newer and its text is valid.
    SpreadActions install(std::uint64_t version, const std::string &digest, const std::string &text,
                          Instant now)
    {
        if (version <= this->version() || !m_isValidText(digest, text))
            return {};
        m_texts.push_back({version, digest, std::make_shared<const std::string>(text)});
        while (m_texts.size() > m_limits.maxBaseTexts + 1)
            m_texts.pop_front();
        // A second push makes up for lost messages: at 10% loss, the slowest of 380 daemons took up
        // to 3.55 s to get a change with one push, and 2.5 s with two.
        m_secondPushAt = now + m_limits.exchangeInterval / 2;
        SpreadActions actions {InstallConfiguration {version, m_texts.back().text}};
        push(actions);
        return actions;
    }

    SpreadActions handle(const std::string &peer, const SpreadMessage &message, Instant now)
    {
        m_peerHeardAt = now;
        if (const auto *announce = std::get_if<SpreadAnnounce>(&message))
            return handleAnnounce(peer, *announce, now);
        if (const auto *request = std::get_if<SpreadRequest>(&message))
            return handleRequest(peer, request->version);
        return handleUpdate(peer, std::get<SpreadUpdate>(message), now);
    }

    void noteAcceptedVersion(std::uint64_t version, Instant now)
    {
        if (version > this->version())
            m_pollAt = std::min(m_pollAt, std::max(now, m_lastPollAt + m_limits.minPollInterval));
    }

    SpreadActions tick(Instant now)
    {
        SpreadActions actions;
        if (now >= m_pollAt)
            poll(actions, now);
        if (now >= m_exchangeAt)
            exchange(actions, now);
        if (now >= m_secondPushAt) {
            m_secondPushAt = instantNever;
            push(actions);
        }
        if (now >= m_retryAt)
            retryRequests(actions, now);
        return actions;
    }

    Instant nextWake() const
    {
        return std::min({m_pollAt, m_exchangeAt, m_secondPushAt, m_retryAt});
    }

    std::uint64_t version() const { return m_texts.empty() ? 0 : m_texts.back().version; }

private:
    // Uniformly distributed in [0, limit).
    Duration randomDurationBelow(Duration limit)
    {
        return Duration(
                static_cast<std::int64_t>(static_cast<double>(limit.count()) * m_random.unit()));
    }

    // A daemon that receives nothing from its peers depends on its own polls and must poll more
    // often. While peers can be reached, three exchange intervals without a message are rare: at
    // 10% loss, this happens to fewer than 1 in 100 daemons.
    bool isIsolated(Instant now) const
    {
        return now - m_peerHeardAt > 3 * m_limits.exchangeInterval;
    }

    Duration meanPollInterval(Instant now) const
    {
        const double seconds = static_cast<double>(m_peers.size() + 1) / m_limits.readsPerSecond;
        const Duration shared(static_cast<std::int64_t>(seconds * 1e6));
        const Duration mean =
                isIsolated(now) ? std::min(shared, m_limits.maxIsolatedPollInterval) : shared;
        return std::max(mean, m_limits.minPollInterval);
    }

    void poll(SpreadActions &actions, Instant now)
    {
        const Duration mean = meanPollInterval(now);
        // The second poll has no minimum delay. Otherwise daemons that start together would all
        // skip the first half of the interval.
        const Duration minDelay = std::exchange(m_hasPolled, true) ? mean / 2 : Duration(0);
        m_lastPollAt = now;
        m_pollAt = now + minDelay + randomDurationBelow(mean);
        actions.emplace_back(PollHead {});
    }

    void exchange(SpreadActions &actions, Instant now)
    {
        m_exchangeAt = now + m_limits.exchangeInterval;
        // The next poll was scheduled while peers were reachable, and may be far off.
        if (isIsolated(now))
            m_pollAt = std::min(m_pollAt, std::max(now, m_lastPollAt + meanPollInterval(now)));
        if (!m_peers.empty())
            actions.emplace_back(SendToPeer {randomPeer(), SpreadAnnounce {version(), false}});
    }

    const std::string &randomPeer() { return m_peers[m_random.below(m_peers.size())]; }

    void push(SpreadActions &actions)
    {
        const SpreadMessage message = makePushMessage();
        std::vector<std::string> chosen = m_peers;
        const std::size_t count = std::min<std::size_t>(m_limits.pushFanout, chosen.size());
        for (std::size_t n = 0; n < count; ++n) {
            std::swap(chosen[n], chosen[n + m_random.below(chosen.size() - n)]);
            actions.emplace_back(SendToPeer {chosen[n], message});
        }
    }

    // Small updates are pushed directly, which saves the round trip of a request.
    SpreadMessage makePushMessage() const
    {
        const VersionedText &newest = m_texts.back();
        if (newest.text->size() <= m_limits.maxPushBytes)
            return makeUpdate({}, newest);
        if (m_texts.size() > 1) {
            SpreadUpdate update = makeUpdate(m_texts[m_texts.size() - 2], newest);
            if (update.middle.size() <= m_limits.maxPushBytes)
                return update;
        }
        return SpreadAnnounce {newest.version, false};
    }

    SpreadActions handleAnnounce(const std::string &peer, const SpreadAnnounce &announce,
                                 Instant now)
    {
        if (announce.version > version())
            return requestNewerVersion(peer, announce.version, now);
        if (announce.reply)
            return {};
        return {SendToPeer {peer, SpreadAnnounce {version(), true}}};
    }

    SpreadActions requestNewerVersion(const std::string &peer, std::uint64_t version, Instant now)
    {
        m_latestAnnouncer = peer;
        if (version > m_requestedVersion || m_retryAt == instantNever) {
            m_requestedVersion = version;
            m_requestsSinceRetry = 0;
            m_retryAt = now + m_limits.requestRetryInterval;
        }
        return sendRequest(this->version());
    }

    SpreadActions sendRequest(std::uint64_t base)
    {
        if (m_requestsSinceRetry >= m_limits.maxRequestsPerRetry)
            return {}; // the retry asks the latest announcer
        ++m_requestsSinceRetry;
        return {SendToPeer {m_latestAnnouncer, SpreadRequest {base}}};
    }

    void retryRequests(SpreadActions &actions, Instant now)
    {
        m_retryAt = instantNever;
        if (m_requestedVersion <= version())
            return;
        m_requestsSinceRetry = 0;
        m_retryAt = now + m_limits.requestRetryInterval;
        for (SpreadAction &it : sendRequest(0))
            actions.push_back(std::move(it));
    }

    SpreadActions handleRequest(const std::string &peer, std::uint64_t base) const
    {
        if (m_texts.empty() || base >= version())
            return {};
        const VersionedText *known = findText(base);
        return {SendToPeer {
                peer, makeUpdate(known == nullptr ? VersionedText() : *known, m_texts.back())}};
    }

    const VersionedText *findText(std::uint64_t version) const
    {
        const auto it = std::find_if(m_texts.begin(), m_texts.end(), [&](const VersionedText &it) {
            return it.version == version;
        });
        return it == m_texts.end() ? nullptr : &*it;
    }

    SpreadActions handleUpdate(const std::string &peer, const SpreadUpdate &update, Instant now)
    {
        if (update.version <= version())
            return {};
        if (update.baseVersion == 0)
            return install(update.version, update.digest, update.middle, now);
        const VersionedText *base = findText(update.baseVersion);
        if (base == nullptr)
            return requestNewerVersion(peer, update.version, now);
        const auto text = applyUpdate(*base->text, update);
        return text.has_value() ? install(update.version, update.digest, *text, now)
                                : SpreadActions();
    }

    SpreadLimits m_limits;
    RandomSource &m_random;
    TextValidator m_isValidText;
    std::vector<std::string> m_peers;
    std::deque<VersionedText> m_texts; // in order of version; the last one is installed
    Instant m_pollAt;
    Instant m_lastPollAt {};
    bool m_hasPolled = false;
    Instant m_exchangeAt;
    Instant m_secondPushAt = instantNever;
    Instant m_peerHeardAt;
    std::uint64_t m_requestedVersion = 0;
    std::uint32_t m_requestsSinceRetry = 0;
    Instant m_retryAt = instantNever; // instantNever: no request is outstanding
    std::string m_latestAnnouncer;    // peer that last announced a newer version
};

ConfigurationSpread::ConfigurationSpread(const SpreadLimits &limits, RandomSource &random,
                                         TextValidator isValidText, Instant now)
    : d(std::make_unique<Private>(limits, random, std::move(isValidText), now))
{ }

ConfigurationSpread::~ConfigurationSpread() = default;
ConfigurationSpread::ConfigurationSpread(ConfigurationSpread &&) noexcept = default;
ConfigurationSpread &ConfigurationSpread::operator=(ConfigurationSpread &&) noexcept = default;

void ConfigurationSpread::setPeers(std::vector<std::string> peers)
{
    d->setPeers(std::move(peers));
}

SpreadActions ConfigurationSpread::headRead(std::uint64_t version, const std::string &digest,
                                            Instant)
{
    return d->headRead(version, digest);
}

SpreadActions ConfigurationSpread::textFetched(std::uint64_t version, const std::string &digest,
                                               const std::string &text, Instant now)
{
    return d->install(version, digest, text, now);
}

SpreadActions ConfigurationSpread::handle(const std::string &peer, const SpreadMessage &message,
                                          Instant now)
{
    return d->handle(peer, message, now);
}

void ConfigurationSpread::noteAcceptedVersion(std::uint64_t version, Instant now)
{
    d->noteAcceptedVersion(version, now);
}

SpreadActions ConfigurationSpread::tick(Instant now)
{
    return d->tick(now);
}

Instant ConfigurationSpread::nextWake() const
{
    return d->nextWake();
}

std::uint64_t ConfigurationSpread::version() const
{
    return d->version();
}

} // namespace cornelshed
