// A small deployment on loopback addresses: a store, one gateway, servers, and an agent beside each
// server of the service "voice".

#ifndef REVIEW_SCENE_H
#define REVIEW_SCENE_H

#include "caller.h"
#include "daemons.h"
#include "record.h"
#include "server.h"
#include "store.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

// Results of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// False if the environment has TROUBLE=0.
bool hasTrouble();

class Scene
{
public:
    // folder: of the case, for record.txt. Each handler runs one server; those in voiceHandlers
    // have an agent.
    Scene(const std::string &folder, const std::vector<Server::Handler> &bookHandlers,
          const std::vector<Server::Handler> &voiceHandlers, std::uint64_t gatewayMemoryKb = 0);

    // Waits until the gateway is ready and answers a request.
    bool isUsable();

    Record &record() { return m_record; }
    Daemon &gateway() { return *m_gateway; }
    Caller newCaller() { return {m_places.address, m_places.frontPort, m_record}; }

private:
    std::string fileFor(const std::string &name) const { return m_folder.path() + "/" + name; }

    TemporaryFolder m_folder;
    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Server>> m_servers;
    GatewayPlaces m_places;
    std::vector<std::unique_ptr<Daemon>> m_agents;
    std::unique_ptr<Daemon> m_gateway;
};

// The ids of requests that reached servers.
class ReachedRequests
{
public:
    void add(const HttpRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        m_ids.insert(headerValue(request.headers, "X-Request-Id"));
    }
    bool contains(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_ids;
};

// Writes the result to the record and to the standard output, and returns it.
int finish(Scene &scene, bool isBroken, const std::string &text);

} // namespace review

#endif // REVIEW_SCENE_H
