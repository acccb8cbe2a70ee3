// Creates the components of the data plane and connects them to each other.

#include "entryservice.h"

#include "adminserver.h"
#include "callerconnection.h"
#include "callercontext.h"
#include "entrydispatcher.h"
#include "eventlog.h"
#include "handlerloop.h"
#include "hostresources.h"
#include "listener.h"
#include "memorypool.h"
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

// One io_context per traffic thread. With a single io_context shared by all threads, each event
// hands the wait for the next event over to another thread, which costs more than the event itself.
using Contexts = std::vector<std::unique_ptr<asio::io_context>>;

Contexts makeContexts(std::uint32_t count)
{
    Contexts contexts;
    for (std::uint32_t n = 0; n < count; ++n)
        contexts.push_back(std::make_unique<asio::io_context>(1));
    return contexts;
}

// Descriptors that connections of callers must leave to sessions, listeners and files: this many or
// a quarter of all.
constexpr std::uint64_t reservedDescriptorCount = 256;

// The connections that the descriptors permit: without one, the listener could not even refuse a
// connection.
std::size_t connectionRoom(std::uint64_t descriptors)
{
    const std::uint64_t reserved =
            std::min(std::max(reservedDescriptorCount, descriptors / 4), descriptors / 2);
    return std::max<std::uint64_t>(1, descriptors - reserved);
}

PoolDivision divisionFor(const EntrySettings &settings, const HostResources &host)
{
    return divideMemory(host.memoryFor(settings.memoryMb), callerConnectionBytes,
                        settings.receiveBufferBytes);
}

// Lowers the limits of requests and connections, and the receive buffers, to what the host permits.
EntrySettings withinHost(EntrySettings settings, const HostResources &host)
{
    const PoolDivision division = divisionFor(settings, host);
    settings.receiveBufferBytes = static_cast<std::uint32_t>(division.receiveBufferBytes);
    if (division.requestBytes < settings.requestMemoryLimitBytes) {
        const std::size_t reserved = std::min<std::size_t>(settings.requestMemoryReservedBytes,
                                                           division.requestBytes / 8);
        settings.requestMemoryReservedBytes = static_cast<std::uint32_t>(reserved);
        settings.requestMemoryLimitBytes = static_cast<std::uint32_t>(std::max<std::uint64_t>(
                division.requestBytes, reserved + largestRequestBytes(settings)));
    }
    const std::size_t room = std::min(connectionRoom(host.descriptors), division.connectionLimit);
    if (room < settings.connectionLimitCount) {
        EventLog("connection_limit_lowered", EventLevel::Warning)
                .field("connection_limit_count", settings.connectionLimitCount)
                .field("descriptors", host.descriptors)
                .field("memory_bytes", host.memoryFor(settings.memoryMb))
                .field("connections", room);
        settings.connectionLimitCount = static_cast<std::uint32_t>(room);
    }
    return settings;
}

} // namespace

class EntryService::Private
{
public:
    Private(const EntrySettings &settings, std::uint64_t entryIncarnation, ControlLink &control)
        : m_settings(withinHost(settings, readHostResources())),
          m_pool(std::make_shared<MemoryPool>(
                  divisionFor(m_settings, readHostResources()).totalBytes)),
          m_contexts(makeContexts(settings.trafficThreads)),
          m_dispatcher(contextPointers(), m_settings, entryIncarnation, control, m_metrics),
          m_callerContext(std::make_shared<CallerContext>(m_settings, m_pool, entryIncarnation,
                                                          m_dispatcher, control, m_metrics)),
          m_listener(std::make_shared<detail::Listener>(contextPointers())),
          m_adminServer(*m_contexts.front(),
                        {[this] { return m_metrics.text(); }, [this] { return isReady(); }})
    {
        addMetrics();
    }

    std::vector<asio::io_context *> contextPointers() const
    {
        std::vector<asio::io_context *> all;
        for (const auto &it : m_contexts)
            all.push_back(it.get());
        return all;
    }

    bool isReady() const { return m_ready && m_callerContext->configuration() != nullptr; }

    void addMetrics()
    {
        m_metrics.gauge("cornelshed_entry_connections", "Connections of callers.", [this] {
            return static_cast<double>(m_callerContext->connectionCount.load());
        });
        m_metrics.gauge("cornelshed_entry_active_requests", "Requests not answered yet.", [this] {
            return static_cast<double>(m_callerContext->activeCount.load());
        });
        m_metrics.gauge("cornelshed_entry_buffered_answer_bytes",
                        "Bytes of answers that are not sent to their callers yet.", [this] {
                            return static_cast<double>(m_callerContext->answerBudget->heldBytes());
                        });
        m_metrics.gauge("cornelshed_entry_memory_bytes",
                        "Bytes that connections, requests and answers hold of the memory for them.",
                        [this] { return static_cast<double>(m_pool->usedBytes()); });
        m_metrics.gauge("cornelshed_entry_memory_limit_bytes", "The memory for them.",
                        [this] { return static_cast<double>(m_pool->totalBytes()); });
        m_metrics.gauge("cornelshed_entry_agent_sessions", "Sessions to agents.",
                        [this] { return static_cast<double>(m_dispatcher.connectedAgentCount()); });
        m_metrics.gauge("cornelshed_entry_configuration_version", "Configuration in force.",
                        [this] {
                            const auto configuration = m_callerContext->configuration();
                            return configuration ? static_cast<double>(configuration->version) : 0;
                        });
    }

    // Whether a connection may be accepted. One for which there will be a place soon waits in the
    // kernel's queue.
    bool hasConnectionRoom() const
    {
        return m_callerContext->connectionCount
                < m_settings.connectionLimitCount + extraConnectionCount
                && m_callerContext->memory.placeForConnection() != RequestMemory::Place::Soon;
    }

    void accept(asio::ip::tcp::socket socket)
    {
        // Counts open connections, whether or not their threads have served or closed them yet.
        if (m_callerContext->connectionCount
            >= m_settings.connectionLimitCount + extraConnectionCount) {
            m_callerContext->memory.noteRefusedConnection();
            return;
        }
        auto connection = std::make_shared<CallerConnection>(std::move(socket), m_callerContext);
        connection->start();
        const std::lock_guard lock(m_mutex);
        removeClosedConnections();
        m_connections.push_back(connection);
    }

    // Scans the list only when it has doubled since the last scan, so that the amortised cost per
    // connection is constant.
    void removeClosedConnections()
    {
        if (m_connections.size() < m_sweepThreshold)
            return;
        std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
        m_sweepThreshold = std::max<std::size_t>(initialSweepThreshold, m_connections.size() * 2);
    }

    void closeIdleConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &it : m_connections) {
            if (const auto connection = it.lock())
                connection->closeIfIdle();
        }
    }

    static constexpr std::size_t initialSweepThreshold = 64;

    EntrySettings m_settings;
    std::shared_ptr<MemoryPool> m_pool;
    Metrics m_metrics;
    Contexts m_contexts;
    EntryDispatcher m_dispatcher;
    std::shared_ptr<CallerContext> m_callerContext;
    std::shared_ptr<detail::Listener> m_listener;
    AdminServer m_adminServer;
    std::mutex m_mutex; // guards m_connections and m_sweepThreshold
    std::vector<std::weak_ptr<CallerConnection>> m_connections;
    std::size_t m_sweepThreshold = initialSweepThreshold;
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
    d->m_listener->setBufferSizes(d->m_settings.receiveBufferBytes, 0);
    d->m_listener->setRoomCheck([this] { return d->hasConnectionRoom(); });
    auto handleSocket = [this](auto socket) { d->accept(std::move(socket)); };
    if (auto error = d->m_listener->listen(d->m_settings.listenAddress, d->m_settings.callerPort,
                                           handleSocket))
        return error;
    if (auto error = d->m_adminServer.listen(d->m_settings.listenAddress, d->m_settings.adminPort))
        return error;
    for (const auto &it : d->m_contexts)
        d->m_threads.emplace_back([&context = *it] {
            const auto work = asio::make_work_guard(context);
            runHandlers(context, "traffic");
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
        d->m_callerContext->setConfiguration(configuration);
    d->m_dispatcher.setView(std::move(view));
}

void EntryService::setReady(bool ready)
{
    d->m_ready = ready;
}

void EntryService::stopAccepting()
{
    d->m_callerContext->shuttingDown = true;
    // Counted, so that the daemon does not exit before the last connections are accepted.
    ++d->m_callerContext->activeCount;
    d->m_listener->stopAfterHandshakes([context = d->m_callerContext] { --context->activeCount; });
    d->m_dispatcher.beginShutdown();
    d->closeIdleConnections();
}

std::size_t EntryService::activeCount() const
{
    return d->m_callerContext->activeCount + d->m_dispatcher.requestCount();
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
    return d->m_adminServer.port();
}

std::size_t EntryService::connectedAgentCount() const
{
    return d->m_dispatcher.connectedAgentCount();
}

bool EntryService::ready() const
{
    return d->isReady();
}

std::size_t EntryService::usedMemoryBytes() const
{
    return d->m_pool->usedBytes();
}

} // namespace cornelshed
