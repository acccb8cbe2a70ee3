// Polling, pushing and the version exchange. Updates are sent as differences to keep the traffic of
// a daemon within its limit: at 18,000 changes a day and 31,000 organisations, whole texts would
// amount to about 450 KB/s.

#include "configpropagation.h"

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

// A version and the digest of its text, as the head row names them.
struct HeadVersion
{
    std::uint64_t version = 0;
    std::string digest;
};

// The update that turns base into next. A base with version 0 gives the whole text.
ConfigurationUpdate makeUpdate(const VersionedText &base, const VersionedText &next)
{
    ConfigurationUpdate update {next.version, next.digest, base.version, 0, 0, ""};
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
std::optional<std::string> applyUpdate(const std::string &base, const ConfigurationUpdate &update)
{
    if (update.prefixBytes > base.size() || update.suffixBytes > base.size() - update.prefixBytes)
        return std::nullopt;
    return base.substr(0, update.prefixBytes) + update.middle
            + base.substr(base.size() - update.suffixBytes);
}

} // namespace

class ConfigurationPropagation::Private
{
public:
    Private(const PropagationLimits &limits, RandomSource &random, TextValidator isValidText,
            Instant now)
        : m_limits(limits), m_random(random), m_isValidText(std::move(isValidText)), m_pollAt(now),
          m_exchangeAt(now + randomDurationBelow(limits.exchangeInterval)), m_peerHeardAt(now)
    { }

    void setPeers(std::vector<std::string> peers) { m_peers = std::move(peers); }

    PropagationActions headRowRead(std::uint64_t version, const std::string &digest,
                                   Instant readStartedAt)
    {
        const bool isInOrder = readStartedAt > m_overlappingReadsUntil;
        if (isInOrder) {
            m_head = {version, digest};
            m_overlappingReadsUntil = m_lastPollAt;
        }
        const bool isOtherText =
                !m_texts.empty() && version == this->version() && digest != this->digest();
        if (version > this->version() || (isInOrder && isOtherText))
            return {FetchText {version, digest}};
        return {};
    }

    PropagationActions textFetched(std::uint64_t version, const std::string &digest,
                                   const std::string &text, Instant now)
    {
        const bool isOtherTextOfHead = version == m_head.version && digest != m_head.digest;
        if (version < this->version() || isOtherTextOfHead)
            return {};
        if (version == this->version() && (digest == this->digest() || m_head.version != version))
            return {};
        return install(version, digest, text, now);
    }

    // Installs the version and pushes it to peers, if it is newer and its text is valid.
    PropagationActions installFromPeer(const ConfigurationUpdate &update, const std::string &text,
                                       Instant now)
    {
        if (update.version <= version())
            return {};
        PropagationActions actions = install(update.version, update.digest, text, now);
        // The head row may have changed since it was read, so a fetch that is under way must not
        // replace the peer's text.
        if (!actions.empty() && update.version == m_head.version
            && update.digest != m_head.digest) {
            m_head = {};
            pollSoon(now, m_limits.minPollInterval);
        }
        return actions;
    }

    // Installs the text, as a newer version or in place of the installed text of the same version,
    // and pushes it to peers, if it is valid.
    PropagationActions install(std::uint64_t version, const std::string &digest,
                               const std::string &text, Instant now)
    {
        if (!m_isValidText(digest, text))
            return {};
        const bool replacesText = version == this->version();
        // The earlier versions may have other texts in the table's present history, too.
        if (replacesText)
            m_texts.clear();
        m_texts.push_back({version, digest, std::make_shared<const std::string>(text)});
        while (m_texts.size() > m_limits.maxBaseTexts + 1)
            m_texts.pop_front();
        // A second push makes up for lost messages: at 10% loss, the slowest of 380 daemons took up
        // to 3.55 s to get a change with one push, and 2.5 s with two.
        m_secondPushAt = now + m_limits.exchangeInterval / 2;
        PropagationActions actions {
                InstallConfiguration {version, m_texts.back().text, replacesText}};
        push(actions);
        return actions;
    }

    PropagationActions handle(const std::string &peer, const PropagationMessage &message,
                              Instant now)
    {
        m_peerHeardAt = now;
        if (const auto *announcement = std::get_if<VersionAnnouncement>(&message))
            return handleAnnouncement(peer, *announcement, now);
        if (const auto *request = std::get_if<UpdateRequest>(&message))
            return handleRequest(peer, request->version);
        return handleUpdate(peer, std::get<ConfigurationUpdate>(message), now);
    }

    void noteAcceptedVersion(std::uint64_t version, Instant now)
    {
        if (version > this->version())
            pollSoon(now, m_limits.minPollInterval);
    }

    PropagationActions tick(Instant now)
    {
        PropagationActions actions;
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

    Instant nextWakeTime() const
    {
        return std::min({m_pollAt, m_exchangeAt, m_secondPushAt, m_retryAt});
    }

    std::uint64_t version() const { return m_texts.empty() ? 0 : m_texts.back().version; }

private:
    std::string digest() const { return m_texts.empty() ? std::string() : m_texts.back().digest; }

    VersionAnnouncement announcement(bool reply) const { return {version(), reply, digest()}; }

    // Polls the head row once the interval since the last poll has passed.
    void pollSoon(Instant now, Duration interval)
    {
        m_pollAt = std::min(m_pollAt, std::max(now, m_lastPollAt + interval));
    }

    // A peer that does not reach the table may keep another text for long, so its messages cause
    // fewer polls than minPollInterval allows.
    void noteTextOfPeer(std::uint64_t version, const std::string &digest, Instant now)
    {
        if (version == this->version() && !digest.empty() && digest != this->digest())
            pollSoon(now, m_limits.exchangeInterval);
    }

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

    void poll(PropagationActions &actions, Instant now)
    {
        const Duration mean = meanPollInterval(now);
        // The second poll has no minimum delay. Otherwise daemons that start together would all
        // skip the first half of the interval.
        const Duration minDelay = std::exchange(m_hasPolled, true) ? mean / 2 : Duration(0);
        m_lastPollAt = now;
        m_pollAt = now + minDelay + randomDurationBelow(mean);
        actions.emplace_back(PollHead {});
    }

    void exchange(PropagationActions &actions, Instant now)
    {
        m_exchangeAt = now + m_limits.exchangeInterval;
        // The next poll was scheduled while peers were reachable, and may be far off.
        if (isIsolated(now))
            m_pollAt = std::min(m_pollAt, std::max(now, m_lastPollAt + meanPollInterval(now)));
        if (!m_peers.empty())
            actions.emplace_back(SendToPeer {randomPeer(), announcement(false)});
    }

    const std::string &randomPeer() { return m_peers[m_random.below(m_peers.size())]; }

    void push(PropagationActions &actions)
    {
        const PropagationMessage message = makePushMessage();
        std::vector<std::string> chosen = m_peers;
        const std::size_t count = std::min<std::size_t>(m_limits.pushFanout, chosen.size());
        for (std::size_t n = 0; n < count; ++n) {
            std::swap(chosen[n], chosen[n + m_random.below(chosen.size() - n)]);
            actions.emplace_back(SendToPeer {chosen[n], message});
        }
    }

    // Small updates are pushed directly, which saves the round trip of a request.
    PropagationMessage makePushMessage() const
    {
        const VersionedText &newest = m_texts.back();
        if (newest.text->size() <= m_limits.maxPushBytes)
            return makeUpdate({}, newest);
        if (m_texts.size() > 1) {
            ConfigurationUpdate update = makeUpdate(m_texts[m_texts.size() - 2], newest);
            if (update.middle.size() <= m_limits.maxPushBytes)
                return update;
        }
        return announcement(false);
    }

    PropagationActions handleAnnouncement(const std::string &peer,
                                          const VersionAnnouncement &received, Instant now)
    {
        if (received.version > version())
            return requestNewerVersion(peer, received.version, now);
        noteTextOfPeer(received.version, received.digest, now);
        if (received.reply)
            return {};
        return {SendToPeer {peer, announcement(true)}};
    }

    PropagationActions requestNewerVersion(const std::string &peer, std::uint64_t version,
                                           Instant now)
    {
        m_latestAnnouncer = peer;
        if (version > m_requestedVersion || m_retryAt == instantNever) {
            m_requestedVersion = version;
            m_requestsSinceRetry = 0;
            m_retryAt = now + m_limits.requestRetryInterval;
        }
        return sendRequest(this->version());
    }

    PropagationActions sendRequest(std::uint64_t base)
    {
        if (m_requestsSinceRetry >= m_limits.maxRequestsPerRetry)
            return {}; // the retry asks the latest announcer
        ++m_requestsSinceRetry;
        return {SendToPeer {m_latestAnnouncer, UpdateRequest {base}}};
    }

    void retryRequests(PropagationActions &actions, Instant now)
    {
        m_retryAt = instantNever;
        if (m_requestedVersion <= version())
            return;
        m_requestsSinceRetry = 0;
        m_retryAt = now + m_limits.requestRetryInterval;
        for (PropagationAction &it : sendRequest(0))
            actions.push_back(std::move(it));
    }

    PropagationActions handleRequest(const std::string &peer, std::uint64_t base) const
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

    PropagationActions handleUpdate(const std::string &peer, const ConfigurationUpdate &update,
                                    Instant now)
    {
        if (update.version <= version()) {
            noteTextOfPeer(update.version, update.digest, now);
            return {};
        }
        if (update.baseVersion == 0)
            return installFromPeer(update, update.middle, now);
        const VersionedText *base = findText(update.baseVersion);
        if (base == nullptr)
            return requestNewerVersion(peer, update.version, now);
        const auto text = applyUpdate(*base->text, update);
        return text.has_value() ? installFromPeer(update, *text, now) : PropagationActions();
    }

    PropagationLimits m_limits;
    RandomSource &m_random;
    TextValidator m_isValidText;
    std::vector<std::string> m_peers;
    std::deque<VersionedText> m_texts; // in order of version; the last one is installed
    HeadVersion m_head;                // last read of the head row in order; version 0: unknown
    // Reads that started by then were under way when m_head was read, and may be older or newer.
    Instant m_overlappingReadsUntil = Instant::min();
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

ConfigurationPropagation::ConfigurationPropagation(const PropagationLimits &limits,
                                                   RandomSource &random, TextValidator isValidText,
                                                   Instant now)
    : d(std::make_unique<Private>(limits, random, std::move(isValidText), now))
{ }

ConfigurationPropagation::~ConfigurationPropagation() = default;
ConfigurationPropagation::ConfigurationPropagation(ConfigurationPropagation &&) noexcept = default;
ConfigurationPropagation &
ConfigurationPropagation::operator=(ConfigurationPropagation &&) noexcept = default;

void ConfigurationPropagation::setPeers(std::vector<std::string> peers)
{
    d->setPeers(std::move(peers));
}

PropagationActions ConfigurationPropagation::headRowRead(std::uint64_t version,
                                                         const std::string &digest,
                                                         Instant readStartedAt)
{
    return d->headRowRead(version, digest, readStartedAt);
}

PropagationActions ConfigurationPropagation::textFetched(std::uint64_t version,
                                                         const std::string &digest,
                                                         const std::string &text, Instant now)
{
    return d->textFetched(version, digest, text, now);
}

PropagationActions ConfigurationPropagation::handle(const std::string &peer,
                                                    const PropagationMessage &message, Instant now)
{
    return d->handle(peer, message, now);
}

void ConfigurationPropagation::noteAcceptedVersion(std::uint64_t version, Instant now)
{
    d->noteAcceptedVersion(version, now);
}

PropagationActions ConfigurationPropagation::tick(Instant now)
{
    return d->tick(now);
}

Instant ConfigurationPropagation::nextWakeTime() const
{
    return d->nextWakeTime();
}

std::uint64_t ConfigurationPropagation::version() const
{
    return d->version();
}

} // namespace cornelshed
