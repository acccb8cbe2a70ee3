// Logs the exceptions of handlers.

#include "handlerloop.h"

#include "eventlog.h"

#include <boost/asio/io_context.hpp>

#include <exception>

namespace cornelshed {

namespace {

void logFailure(const char *thread, const char *reason)
{
    EventLog("handler_failed", EventLevel::Error).field("thread", thread).field("reason", reason);
}

} // namespace

void runHandlers(boost::asio::io_context &context, const char *thread)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception &exception) {
            logFailure(thread, exception.what());
        } catch (...) {
            logFailure(thread, "unknown");
        }
    }
}

} // namespace cornelshed
