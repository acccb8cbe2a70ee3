// A small deployment on loopback addresses.

#include "scene.h"

#include <cstdlib>
#include <cstring>
#include <iostream>

namespace review {

using namespace std::chrono_literals;

namespace {

constexpr const char *gatewayProgram = "target/cornelshed-gatewayd"; // as in deploy/system.toml
constexpr const char *agentProgram = "target/cornelshed-admitd";
constexpr const char *gatewayAddress = "127.0.0.1";
constexpr auto readyLimit = 15s;

std::string serverAddress(const char *network, std::size_t index)
{
    return network + std::to_string(index + 2);
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

Scene::Scene(const std::string &folder, const std::vector<Server::Handler> &bookHandlers,
             const std::vector<Server::Handler> &voiceHandlers, std::uint64_t gatewayMemoryKb)
    : m_record(folder + "/record.txt")
{
    writeConfiguration(m_store);
    for (std::size_t i = 0; i < bookHandlers.size(); ++i)
        m_servers.push_back(std::make_unique<Server>(
                ServerSettings {"book-" + std::to_string(i), serverAddress("127.0.2.", i), "book"},
                m_store, m_record, bookHandlers[i]));
    std::vector<std::string> addresses {gatewayAddress};
    for (std::size_t i = 0; i < voiceHandlers.size(); ++i) {
        addresses.push_back(serverAddress("127.0.3.", i));
        m_servers.push_back(std::make_unique<Server>(
                ServerSettings {"voice-" + std::to_string(i), addresses.back(), "voice"}, m_store,
                m_record, voiceHandlers[i]));
    }
    m_places = {"edge-z-a-1",
                gatewayAddress,
                freePort(addresses),
                freePort(addresses),
                freePort(addresses),
                freePort(addresses),
                0,
                m_store.port()};
    for (std::size_t i = 0; i < voiceHandlers.size(); ++i) {
        const std::string name = "side-z-a-" + std::to_string(i + 1);
        writeAgentSettings(fileFor(name + ".toml"), name, addresses[i + 1], m_places.agentPort);
        m_agents.push_back(std::make_unique<Daemon>(name, agentProgram, fileFor(name + ".toml"),
                                                    fileFor(name + ".log"), m_record));
    }
    writeGatewaySettings(fileFor("gateway.toml"), m_places);
    m_gateway = std::make_unique<Daemon>(m_places.name, gatewayProgram, fileFor("gateway.toml"),
                                         fileFor("gateway.log"), m_record, gatewayMemoryKb);
}

bool Scene::isUsable()
{
    if (!m_record.isOpen() || m_folder.path().empty() || m_store.port() == 0
        || !waitUntilReady(m_places, readyLimit))
        return false;
    Caller caller = newCaller();
    const char *target = m_agents.empty() ? "/look/first" : "/draft/first";
    for (int i = 0; i < 20; ++i) {
        if (caller.call({"POST", target, "first"}).answer.status == 200)
            return true;
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

int finish(Scene &scene, bool isBroken, const std::string &text)
{
    const std::string result = (isBroken ? "rule broken: " : "rule held: ") + text;
    scene.record().add(result);
    std::cout << result << '\n';
    return isBroken ? ruleBroken : ruleHeld;
}

} // namespace review
