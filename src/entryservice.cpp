// Wires the parts of the traffic side together.

#include "entryservice.h"

#include "adminserver.h"
#include "callerconnection.h"
#include "callercontext.h"
#include "entrydispatcher.h"
#include "eventlog.h"
#include "listener.h"
#include "metrics.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

// One for each traffic thread: with one shared by all, every event hands the wait for the next over
// to another thread, which costs more than the event itself.
using Contexts = std::vector<std::unique_ptr<asio::io_context>>;

Contexts makeContexts(std::uint32_t count)
{
    Contexts contexts;
    for (std::uint32_t n = 0; n < count; ++n)
        contexts.push_back(std::make_unique<asio::io_context>(1));
    return contexts;
}

} // namespace

class EntryService::Private
{
public:
    Private(const EntrySettings &settings, std::uint64_t entryIncarnation, ControlLink &control)
        : m_settings(settings), m_contexts(makeContexts(settings.trafficThreads)),
          m_dispatcher(pointers(), m_settings, entryIncarnation, control, m_metrics),
          m_callers(std::make_shared<CallerContext>(m_settings, entryIncarnation, m_dispatcher,
                                                    control, m_metrics)),
          m_listener(std::make_shared<detail::Listener>(pointers())),
          m_admin(*m_contexts.front(),
                  {[this] { return m_metrics.text(); }, [this] { return isReady(); }})
    {
        addMetrics();
    }

    std::vector<asio::io_context *> pointers() const
    {
        std::vector<asio::io_context *> all;
        for (const auto &it : m_contexts)
            all.push_back(it.get());
        return all;
    }

    bool isReady() const { return m_ready && m_callers->configuration() != nullptr; }

    void addMetrics()
    {
        m_metrics.gauge("cornelshed_entry_connections", "Connections of callers.",
                        [this] { return static_cast<double>(m_callers->connectionCount.load()); });
        m_metrics.gauge("cornelshed_entry_active_requests", "Requests not answered yet.",
                        [this] { return static_cast<double>(m_callers->activeCount.load()); });
        m_metrics.gauge("cornelshed_entry_agent_sessions", "Sessions to agents.",
                        [this] { return static_cast<double>(m_dispatcher.connectedCount()); });
        m_metrics.gauge("cornelshed_entry_configuration_version", "Configuration in force.",
                        [this] {
                            const auto configuration = m_callers->configuration();
                            return configuration ? static_cast<double>(configuration->version) : 0;
                        });
    }

    void accept(asio::ip::tcp::socket socket)
    {
        auto connection = std::make_shared<CallerConnection>(std::move(socket), m_callers);
        if (m_callers->connectionCount > m_settings.connectionLimitCount) {
            connection->refuse();
            return;
        }
        connection->start();
        const std::lock_guard lock(m_mutex);
        forgetClosed();
        m_connections.push_back(connection);
    }

    // Amortised: the list is swept when it has doubled since the last time.
    void forgetClosed()
    {
        if (m_connections.size() < m_sweepSize)
            return;
        std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
        m_sweepSize = std::max<std::size_t>(firstSweepSize, m_connections.size() * 2);
    }

    void closeIdle()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_connections) {
            if (const auto connection = it.lock())
                connection->closeIfIdle();
        }
    }

    static constexpr std::size_t firstSweepSize = 64;

    EntrySettings m_settings;
    Metrics m_metrics;
    Contexts m_contexts;
    EntryDispatcher m_dispatcher;
    std::shared_ptr<CallerContext> m_callers;
    std::shared_ptr<detail::Listener> m_listener;
    AdminServer m_admin;
    std::mutex m_mutex; // guards the two below
    std::vector<std::weak_ptr<CallerConnection>> m_connections;
    std::size_t m_sweepSize = firstSweepSize;
    std::atomic<bool> m_ready {true};
    std::vector<std::thread> m_threads;
};

EntryService::EntryService(const EntrySettings &settings, std::uint64_t entryIncarnation,
                           ControlLink &control)
    : d(std::make_unique<Private>(settings, entryIncarnation, control))
{ }

EntryService::~EntryService()
{
    for (const auto &it : d->m_contexts)
        it->stop();
    for (std::thread &it : d->m_threads)
        it.join();
}

std::optional<std::string> EntryService::start()
{
    auto accepted = [this](auto socket) { d->accept(std::move(socket)); };
    if (auto problem = d->m_listener->listen(d->m_settings.listenAddress, d->m_settings.callerPort,
                                             accepted))
        return problem;
    if (auto problem = d->m_admin.listen(d->m_settings.listenAddress, d->m_settings.adminPort))
        return problem;
    for (const auto &it : d->m_contexts)
        d->m_threads.emplace_back([&context = *it] {
            const auto work = asio::make_work_guard(context);
            context.run();
        });
    EventLog("entry_started")
            .field("name", d->m_settings.name)
            .field("caller_port", callerPort())
            .field("admin_port", adminPort());
    return std::nullopt;
}

void EntryService::setView(std::shared_ptr<const ControlView> view)
{
    const auto &configuration = view->routing->configuration;
    if (configuration->version > 0)
        d->m_callers->setConfiguration(configuration);
    d->m_dispatcher.setView(std::move(view));
}

void EntryService::setReady(bool ready)
{
    d->m_ready = ready;
}

void EntryService::stopAccepting()
{
    d->m_callers->shuttingDown = true;
    d->m_listener->stop();
    d->m_dispatcher.beginShutdown();
    d->closeIdle();
}

std::size_t EntryService::activeCount() const
{
    return d->m_callers->activeCount + d->m_dispatcher.requestCount();
}

void EntryService::closeSessions()
{
    d->m_dispatcher.stop();
}

std::uint16_t EntryService::callerPort() const
{
    return d->m_listener->port();
}

std::uint16_t EntryService::adminPort() const
{
    return d->m_admin.port();
}

std::size_t EntryService::connectedAgentCount() const
{
    return d->m_dispatcher.connectedCount();
}

bool EntryService::ready() const
{
    return d->isReady();
}

} // namespace cornelshed
