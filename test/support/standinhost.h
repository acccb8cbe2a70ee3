// Runs a stand-in server inside the test process, on its own thread and on a free loopback port.

#ifndef CORNELSHED_TEST_STANDINHOST_H
#define CORNELSHED_TEST_STANDINHOST_H

#include "httpclient.h"
#include "httpserver.h"

#include <boost/asio/io_context.hpp>

#include <thread>

namespace cornelshed::testing {

// The arguments are passed on to the constructor of Server after the I/O context.
template<typename Server> class StandInHost
{
public:
    template<typename... Arguments>
    explicit StandInHost(Arguments... arguments)
        : m_server(m_context, arguments...), m_endpoint {"127.0.0.1",
                                                         standins::serveHttp(m_context, "127.0.0.1",
                                                                             0,
                                                                             m_server.handler())},
          m_thread([this] { m_context.run(); })
    { }

    ~StandInHost()
    {
        m_context.stop();
        m_thread.join();
    }

    StandInHost(const StandInHost &) = delete;
    StandInHost &operator=(const StandInHost &) = delete;

    std::uint16_t port() const { return m_endpoint.port; }

    // Calls the stand-in and waits for the reply, for at most 10 s.
    standins::HttpClientResponse call(const std::string &method, const std::string &path,
                                      const std::string &body = {},
                                      const std::string &requestId = {}) const
    {
        standins::HttpClientRequest call {method, path, {}, body};
        if (!requestId.empty())
            call.headers.emplace_back("X-Request-Id", requestId);
        return standins::sendHttpRequestBlocking(m_endpoint, call, std::chrono::seconds(10));
    }

private:
    boost::asio::io_context m_context {1};
    Server m_server;
    standins::HttpEndpoint m_endpoint;
    std::thread m_thread;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_STANDINHOST_H
