// Bounds on the requests that a backend server gets after it said in an answer that it leaves, or
// asked for a pause, as the users state them: judged by what callers sent and what the server saw.
// Thread-safe.

#ifndef CORNELSHED_TEST_NOTICEBOUNDS_H
#define CORNELSHED_TEST_NOTICEBOUNDS_H

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed::testing {

class NoticeBounds
{
public:
    using Time = std::chrono::steady_clock::time_point;

    // A caller sends a request to the gateway.
    void requestSent(const std::string &id, int gateway)
    {
        const std::lock_guard lock(m_mutex);
        m_sent[id] = {gateway, now()};
    }

    // A request reached the server that leaves, or the one that asks for pauses.
    void arrivedAtLeaving(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_atLeaving.push_back({id, now()});
    }
    void arrivedAtPausing(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_atPausing.push_back({id, now()});
    }

    // A caller got an answer in which the server said that it leaves.
    void leavingPassedOn(int gateway)
    {
        const std::lock_guard lock(m_mutex);
        m_passedOn.push_back({gateway, now()});
    }

    // The server refused the request and asked for a pause.
    void pauseAsked(const std::string &id, std::chrono::milliseconds length)
    {
        const std::lock_guard lock(m_mutex);
        m_pauses.push_back({id, now(), now() + length});
    }

    // The gateway was restarted or stopped for a while.
    void gatewayDisturbed(int gateway, Time from)
    {
        const std::lock_guard lock(m_mutex);
        m_disturbances.push_back({gateway, from, now()});
    }

    // Whether the connections to the server that asks for pauses are disturbed now.
    void setPausingCut(bool cut)
    {
        const std::lock_guard lock(m_mutex);
        if (cut && !m_cutSince)
            m_cutSince = now();
        if (!cut && m_cutSince)
            m_cuts.push_back({-1, *m_cutSince, now()});
        if (!cut)
            m_cutSince = std::nullopt;
    }

    std::vector<std::string> violations() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> found;
        for (const Arrival &it : m_atLeaving) {
            const auto sent = m_sent.find(it.id);
            if (sent != m_sent.end() && reachedLeaving(sent->second, it))
                found.push_back(it.id + " reached a server that leaves");
        }
        for (const Pause &it : m_pauses) {
            const std::size_t count = arrivalsIn(it);
            if (isJudged(it) && count > arrivalsAllowed)
                found.push_back(std::to_string(count) + " requests in the pause after " + it.id);
        }
        return found;
    }

    // The numbers of statements that a bound was checked for.
    std::size_t judgedPauses() const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
                std::count_if(m_pauses.begin(), m_pauses.end(),
                              [this](const Pause &it) { return isJudged(it); }));
    }
    std::size_t leavingHeard() const
    {
        const std::lock_guard lock(m_mutex);
        return m_passedOn.size();
    }

private:
    // A request sent to a gateway, or a statement that reached a caller from there.
    struct AtGateway
    {
        int gateway = 0;
        Time at {};
    };
    struct Arrival
    {
        std::string id;
        Time at {};
    };
    struct Pause
    {
        std::string id; // of the refused request
        Time from {};
        Time until {};
    };
    struct Disturbance
    {
        int gateway = 0;
        Time from {};
        Time until {};
    };

    static constexpr std::chrono::milliseconds drainTimeout {500};
    static constexpr std::chrono::milliseconds pauseGrace {500};
    static constexpr std::chrono::milliseconds answerTime {200}; // on its way to the gateway
    static constexpr std::size_t arrivalsAllowed = 2;

    static Time now() { return std::chrono::steady_clock::now(); }

    bool isDisturbed(int gateway, Time from, Time until) const
    {
        return std::any_of(m_disturbances.begin(), m_disturbances.end(),
                           [&](const Disturbance &it) {
                               return it.gateway == gateway && it.from <= until && it.until >= from;
                           });
    }

    bool reachedLeaving(const AtGateway &sent, const Arrival &arrival) const
    {
        return std::any_of(m_passedOn.begin(), m_passedOn.end(), [&](const AtGateway &it) {
            return it.gateway == sent.gateway && sent.at > it.at + drainTimeout
                    && !isDisturbed(it.gateway, it.at, arrival.at);
        });
    }

    // Whether neither a disturbance of the gateway nor a cut excuses requests.
    bool isJudged(const Pause &pause) const
    {
        const auto sent = m_sent.find(pause.id);
        const Time from = pause.from - answerTime;
        const bool isCut = (m_cutSince && *m_cutSince <= pause.until)
                || std::any_of(m_cuts.begin(), m_cuts.end(), [&](const Disturbance &it) {
                               return it.from <= pause.until && it.until >= from;
                           });
        return sent != m_sent.end() && !isCut
                && !isDisturbed(sent->second.gateway, from, pause.until);
    }

    std::size_t arrivalsIn(const Pause &pause) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_atPausing.begin(), m_atPausing.end(), [&](const Arrival &it) {
                    const auto refused = m_sent.find(pause.id);
                    const auto sent = m_sent.find(it.id);
                    return refused != m_sent.end() && sent != m_sent.end()
                            && sent->second.gateway == refused->second.gateway
                            && it.at > pause.from + pauseGrace && it.at < pause.until;
                }));
    }

    mutable std::mutex m_mutex;
    std::map<std::string, AtGateway> m_sent; // by request id
    std::vector<Arrival> m_atLeaving;
    std::vector<Arrival> m_atPausing;
    std::vector<AtGateway> m_passedOn;
    std::vector<Pause> m_pauses;
    std::vector<Disturbance> m_disturbances;
    std::vector<Disturbance> m_cuts; // the gateway is not used
    std::optional<Time> m_cutSince;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_NOTICEBOUNDS_H
