// Starts and stops the control thread, and posts calls to it.

#include "controlthread.h"

#include "controlloop.h"
#include "handlerloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

class ControlThread::Private
{
public:
    Private(const ControlSettings &settings, ViewCallback viewChanged)
        : m_settings(settings), m_viewChanged(std::move(viewChanged))
    { }

    ~Private()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    // Returns once the port for peers is open. Rethrows the exception if ControlLoop cannot be
    // constructed.
    void start()
    {
        const auto started = std::make_shared<std::promise<void>>();
        std::future<void> result = started->get_future();
        m_thread = std::thread([this, started] { run(*started); });
        result.get();
    }

    // Runs the function on the control thread and passes it the loop; null if the thread is
    // stopping and the loop no longer exists.
    template<typename Function> void post(Function function)
    {
        asio::post(m_context, [this, function = std::move(function)]() mutable {
            function(m_loop.has_value() ? &*m_loop : nullptr);
        });
    }

    std::uint64_t version() const { return m_version.load(); }

private:
    void run(std::promise<void> &started)
    {
        try {
            m_loop.emplace(m_context, m_settings, m_viewChanged, m_version);
        } catch (...) {
            started.set_exception(std::current_exception());
            return;
        }
        started.set_value();
        runHandlers(m_context, "control");
        m_loop.reset();
        m_context.restart();
        m_context.poll(); // runs the calls that are still queued; they receive a null loop
    }

    ControlSettings m_settings;
    ViewCallback m_viewChanged;
    std::atomic<std::uint64_t> m_version {0};
    asio::io_context m_context {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work {m_context.get_executor()};
    std::optional<detail::ControlLoop> m_loop; // created and destroyed on the control thread
    std::thread m_thread;
};

ControlThread::ControlThread(const ControlSettings &settings, ViewCallback viewChanged)
    : d(std::make_unique<Private>(settings, std::move(viewChanged)))
{ }

ControlThread::~ControlThread() = default;

void ControlThread::start()
{
    d->start();
}

void ControlThread::claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                          ClaimCallback callback)
{
    d->post([=, callback = std::move(callback)](detail::ControlLoop *loop) mutable {
        if (loop == nullptr)
            callback({});
        else
            loop->claim(key, request, bodyDigest, std::move(callback));
    });
}

void ControlThread::finishClaim(const ClaimKey &key, RequestId request, StoredResponse answer)
{
    d->post([=, answer = std::move(answer)](detail::ControlLoop *loop) {
        if (loop != nullptr)
            loop->finishClaim(key, request, answer);
    });
}

void ControlThread::releaseClaim(const ClaimKey &key, RequestId request)
{
    d->post([=](detail::ControlLoop *loop) {
        if (loop != nullptr)
            loop->releaseClaim(key, request);
    });
}

void ControlThread::recordOutcome(const ReportOutcome &outcome)
{
    d->post([=](detail::ControlLoop *loop) {
        if (loop != nullptr)
            loop->recordOutcome(outcome);
    });
}

void ControlThread::recordEndedRequest(const EndedRequest &ending)
{
    d->post([=](detail::ControlLoop *loop) {
        if (loop != nullptr)
            loop->recordEndedRequest(ending);
    });
}

void ControlThread::agentLeaving(const std::string &name)
{
    d->post([=](detail::ControlLoop *loop) {
        if (loop != nullptr)
            loop->agentLeaving(name);
    });
}

std::uint64_t ControlThread::configurationVersion() const
{
    return d->version();
}

} // namespace cornelshed
