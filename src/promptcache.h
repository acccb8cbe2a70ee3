// Estimates which parts of prompts each backend server holds in its prefix cache, from the requests
// of this gateway that got a first event there. The requests of other gateways are not known, so an
// estimate is trusted for a limited time only.

#ifndef CORNELSHED_PROMPTCACHE_H
#define CORNELSHED_PROMPTCACHE_H

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelshed {

struct CallerMetadata;

struct PromptCacheSettings
{
    // Whether requests are placed by this estimate. If not, those of a session prefer one backend
    // server, which is assumed to hold most of their prompts.
    bool enabled = false;
    // Prompt tokens that a backend server caches if its memory is not known. An assumption: about
    // 8 s of prefill at the 33,000 tokens/s that a server of the largest deployment gets.
    std::uint64_t defaultCapacityTokens = 262144;
    // Over all backend servers. An entry takes about 110 bytes: 0.9 MB of a gateway's 88 MB.
    std::size_t entryLimit = 8192;
    // Other gateways' requests evict parts without notice.
    Duration maxAge = std::chrono::seconds(30);
    // Upper bound of tieSpreadSeconds(). Less than the cost of another availability zone.
    Duration tieSpread = std::chrono::milliseconds(3);

    bool operator==(const PromptCacheSettings &) const = default;
};

// A part of a prompt.
struct PromptCachePart
{
    std::uint64_t chain = 0;  // digest of the ids of this part and of all parts before it
    std::uint32_t tokens = 0; // 0: unknown, nothing is saved by it

    bool operator==(const PromptCachePart &) const = default;
};

// The parts of a prompt in order, the last one included.
std::vector<PromptCachePart> promptCacheParts(const CallerMetadata &metadata);

// Does nothing and expects nothing to be cached unless enabled. Backend servers are identified by
// the digests of their ids.
class PromptCache
{
public:
    explicit PromptCache(const PromptCacheSettings &settings) : m_settings(settings) { }

    // Adds the backend server. What it held is forgotten if it has restarted or its version has
    // changed. capacityTokens: prompt tokens that it caches; 0: unknown.
    void setServer(std::uint64_t server, std::int64_t startedAtMs, const std::string &version,
                   std::uint64_t capacityTokens = 0);
    void removeServer(std::uint64_t server);

    // A request was sent to the backend server, its first event arrived, it ended.
    void started(const RequestId &id, std::uint64_t server,
                 const std::vector<PromptCachePart> &prompt);
    void firstEvent(const RequestId &id, Instant now);
    void ended(const RequestId &id) { m_started.erase(id); }

    // Expected number of tokens of the prompt that need no prefill at the backend server, at most
    // promptTokens. A part counts only if all parts before it are held.
    std::uint64_t cachedTokens(std::uint64_t server, const std::vector<PromptCachePart> &prompt,
                               std::uint64_t promptTokens, Instant now) const;

    std::uint64_t uncachedTokens(std::uint64_t server, const std::vector<PromptCachePart> &prompt,
                                 std::uint64_t promptTokens, Instant now) const
    {
        return promptTokens - cachedTokens(server, prompt, promptTokens, now);
    }

    // A pseudo-random cost of a few milliseconds that makes gateways with the same view choose
    // different ones of nearly equal backend servers.
    double tieSpreadSeconds(const RequestId &id, std::uint64_t server) const;

    // Number of parts that are known, over all backend servers.
    std::size_t entryCount() const { return m_entryCount; }

private:
    struct Entry
    {
        std::uint64_t chain = 0;
        std::uint32_t tokens = 0;
        Instant usedAt {};
    };
    struct Server
    {
        std::int64_t startedAtMs = 0;
        std::string version;
        std::uint64_t capacityTokens = 0;
        std::uint64_t generation = 0; // changes when its cache is lost
        std::uint64_t heldTokens = 0;
        std::list<Entry> entries; // most recently used first
        // Ordered, because callers choose the ids: they could fill one bucket of a hash table.
        std::map<std::uint64_t, std::list<Entry>::iterator> entryOfChain;
    };
    struct StartedRequest
    {
        std::uint64_t server = 0;
        std::uint64_t generation = 0;
        std::vector<PromptCachePart> prompt;
    };

    void learn(Server &server, const std::vector<PromptCachePart> &prompt, Instant now);
    void use(Server &server, const PromptCachePart &part, Instant now);
    void dropOldest(Server &server);
    void forget(Server &server);

    PromptCacheSettings m_settings;
    std::unordered_map<std::uint64_t, Server> m_servers;
    std::unordered_map<RequestId, StartedRequest> m_started; // without a first event so far
    std::size_t m_entryCount = 0;
    std::uint64_t m_generation = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_PROMPTCACHE_H
