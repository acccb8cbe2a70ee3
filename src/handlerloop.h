// Runs the handlers of a thread. An exception that leaves a handler ends that handler only: it is
// logged, and the thread goes on with the next one. What the handler held is released, so that a
// connection of its own is closed; requests that nothing would end any more are found by the
// audits of their daemon or end by their time limit. Exceptions before the loop, at start, still
// end the process.

#ifndef CORNELSHED_HANDLERLOOP_H
#define CORNELSHED_HANDLERLOOP_H

namespace boost::asio {
class io_context;
}

namespace cornelshed {

// Returns when the context is stopped or has no work left. thread: its name, for the log.
void runHandlers(boost::asio::io_context &context, const char *thread);

} // namespace cornelshed

#endif // CORNELSHED_HANDLERLOOP_H
