// Runs the event loop inside each blocking call until the call completes.

#include "platformsession.h"

#include <boost/asio/io_context.hpp>

namespace cornelshed {

class PlatformSession::Private
{
public:
    explicit Private(const PlatformSettings &settings)
        : m_client(m_context, settings), m_table(m_client, [this] { pump(); })
    { }

    void pump()
    {
        m_context.restart();
        m_context.run_one();
    }

    boost::asio::io_context m_context;
    PlatformClient m_client;
    BlockingTable m_table;
};

PlatformSession::PlatformSession(const PlatformSettings &settings)
    : d(std::make_unique<Private>(settings))
{ }

PlatformSession::~PlatformSession() = default;

BlockingTable &PlatformSession::table()
{
    return d->m_table;
}

Result<std::vector<PlatformHost>, TableError> PlatformSession::hosts()
{
    std::optional<Result<std::vector<PlatformHost>, TableError>> answer;
    d->m_client.hosts([&answer](auto it) { answer.emplace(std::move(it)); });
    while (!answer.has_value())
        d->pump();
    return *answer;
}

} // namespace cornelshed
