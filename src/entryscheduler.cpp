// Public interface of the entry scheduler; detail::EntryDecisions implements it.

#include "entryscheduler.h"

#include "entrydecisions.h"

#include <utility>

namespace cornelshed {

EntryParts::EntryParts() = default;
EntryParts::~EntryParts() = default;
EntryParts::EntryParts(EntryParts &&) noexcept = default;
EntryParts &EntryParts::operator=(EntryParts &&) noexcept = default;

class EntryScheduler::Private
{
public:
    Private(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
            RandomSource &random, EntryParts parts)
        : decisions(limits, std::move(view), random, std::move(parts))
    { }

    detail::EntryDecisions decisions;
};

EntryScheduler::EntryScheduler(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                               RandomSource &random)
    : EntryScheduler(limits, std::move(view), random, EntryParts())
{ }

EntryScheduler::EntryScheduler(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                               RandomSource &random, EntryParts parts)
    : d(std::make_unique<Private>(limits, std::move(view), random, std::move(parts)))
{ }

EntryScheduler::~EntryScheduler() = default;
EntryScheduler::EntryScheduler(EntryScheduler &&) noexcept = default;
EntryScheduler &EntryScheduler::operator=(EntryScheduler &&) noexcept = default;

EntryActions EntryScheduler::setView(std::shared_ptr<const RoutingView> view, Instant now)
{
    d->decisions.setView(std::move(view), now);
    return d->decisions.takeActions();
}

EntryActions EntryScheduler::connected(const Welcome &welcome, Instant now)
{
    d->decisions.connected(welcome, now);
    return d->decisions.takeActions();
}

EntryActions EntryScheduler::disconnected(const BackendServerId &backendServer, Instant now)
{
    d->decisions.disconnected(backendServer, now);
    return d->decisions.takeActions();
}

EntryActions EntryScheduler::submit(const RequestArrival &arrival, Instant now)
{
    d->decisions.submit(arrival, now);
    return d->decisions.takeActions();
}

EntryActions EntryScheduler::callerDisconnected(RequestId request, Instant now)
{
    d->decisions.callerDisconnected(request, now);
    return d->decisions.takeActions();
}

EntryActions EntryScheduler::answerOverLimit(RequestId request, bool serverFault, Instant now)
{
    d->decisions.answerOverLimit(request, serverFault, now);
    return d->decisions.takeActions();
}

EntryActions EntryScheduler::handle(const BackendServerId &from, const AgentMessage &message,
                                    Instant now)
{
    d->decisions.handle(from, message, now);
    return d->decisions.takeActions();
}

EntryActions EntryScheduler::tick(Instant now)
{
    d->decisions.tick(now);
    return d->decisions.takeActions();
}

Instant EntryScheduler::nextWakeTime() const
{
    return d->decisions.nextWakeTime();
}

void EntryScheduler::beginShutdown()
{
    d->decisions.beginShutdown();
}

std::size_t EntryScheduler::waitingCount() const
{
    return d->decisions.waitingCount();
}

std::size_t EntryScheduler::dispatchedCount() const
{
    return d->decisions.dispatchedCount();
}

} // namespace cornelshed
