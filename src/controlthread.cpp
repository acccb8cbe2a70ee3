// Control thread that follows the accepted configuration and the host list by polling the platform.
// It keeps no claims: claim() reports Unavailable, so that calls which need one are refused as not
// run.

#include "controlthread.h"

#include "configurationfile.h"
#include "configurationhead.h"
#include "eventlog.h"
#include "platformclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds pollInterval {500};

} // namespace

class ControlThread::Private
{
public:
    Private(const ControlSettings &settings, ViewCallback viewChanged)
        : m_viewChanged(std::move(viewChanged)),
          m_platform(m_context, {settings.platformAddress, settings.platformPort}),
          m_timer(m_context)
    { }

    void poll()
    {
        m_platform.read({configurationHeadKey}, [this](Result<TableRows, TableError> rows) {
            if (const auto *found = std::get_if<TableRows>(&rows))
                readHead(*found);
        });
        m_platform.hosts([this](Result<std::vector<PlatformHost>, TableError> hosts) {
            if (const auto *found = std::get_if<std::vector<PlatformHost>>(&hosts))
                readHosts(*found);
        });
        m_timer.expires_after(pollInterval);
        m_timer.async_wait([this](auto ec) {
            if (!ec)
                poll();
        });
    }

    void readHead(const TableRows &rows)
    {
        const auto row = rows.find(configurationHeadKey);
        if (row == rows.end())
            return;
        const auto head = parseHead(row->second.value);
        if (!head || head->version <= m_version)
            return;
        m_platform.getObject(configurationObjectKey(head->digest),
                             [this, version = head->version](Result<std::string, TableError> text) {
                                 if (const auto *found = std::get_if<std::string>(&text))
                                     install(version, *found);
                             });
    }

    void install(std::uint64_t version, const std::string &text)
    {
        auto parsed = parseConfiguration(text, "configuration");
        auto *configuration = std::get_if<Configuration>(&parsed);
        if (configuration == nullptr || version <= m_version)
            return;
        configuration->version = version;
        m_version = version;
        m_configuration = std::make_shared<const Configuration>(std::move(*configuration));
        m_text = std::make_shared<const std::string>(text);
        EventLog("configuration_installed").field("version", version);
        publish();
    }

    void readHosts(const std::vector<PlatformHost> &hosts)
    {
        std::vector<AgentAddress> agents;
        std::vector<std::string> leaving;
        for (const PlatformHost &it : hosts) {
            if (it.role != "agent")
                continue;
            agents.push_back({it.name, it.address, it.port, it.availabilityZone});
            if (it.state == "leaving")
                leaving.push_back(it.name);
        }
        std::sort(agents.begin(), agents.end());
        if (agents == m_agents && leaving == m_leaving)
            return;
        m_agents = std::move(agents);
        m_leaving = std::move(leaving);
        publish();
    }

    void publish()
    {
        if (!m_configuration)
            return;
        auto routing = std::make_shared<RoutingView>();
        routing->configuration = m_configuration;
        routing->leavingHosts = m_leaving;
        auto view = std::make_shared<ControlView>();
        view->routing = std::move(routing);
        view->configurationText = m_text;
        view->agents = m_agents;
        m_viewChanged(std::move(view));
    }

    ViewCallback m_viewChanged;
    asio::io_context m_context {1};
    PlatformClient m_platform;
    asio::steady_timer m_timer;
    std::shared_ptr<const Configuration> m_configuration; // null until one is known
    std::shared_ptr<const std::string> m_text;
    std::vector<AgentAddress> m_agents;
    std::vector<std::string> m_leaving;
    std::atomic<std::uint64_t> m_version {0};
    std::thread m_thread;
};

ControlThread::ControlThread(const ControlSettings &settings, ViewCallback viewChanged)
    : d(std::make_unique<Private>(settings, std::move(viewChanged)))
{ }

ControlThread::~ControlThread()
{
    d->m_context.stop();
    if (d->m_thread.joinable())
        d->m_thread.join();
}

void ControlThread::start()
{
    asio::post(d->m_context, [this] { d->poll(); });
    d->m_thread = std::thread([this] { d->m_context.run(); });
}

void ControlThread::claim(const ClaimKey & /*key*/, RequestId /*request*/,
                          std::uint64_t /*bodyDigest*/, ClaimCallback callback)
{
    asio::post(d->m_context, [callback = std::move(callback)] { callback(ClaimResult {}); });
}

void ControlThread::finishClaim(const ClaimKey & /*key*/, RequestId /*request*/,
                                StoredAnswer /*answer*/)
{ }

void ControlThread::releaseClaim(const ClaimKey & /*key*/, RequestId /*request*/) { }

void ControlThread::recordOutcome(const ReportOutcome & /*outcome*/) { }

void ControlThread::agentLeaving(const std::string & /*name*/) { }

std::uint64_t ControlThread::configurationVersion() const
{
    return d->m_version;
}

} // namespace cornelshed
