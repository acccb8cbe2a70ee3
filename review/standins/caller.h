// Requesters, and the configuration that they need.

#ifndef REVIEW_CALLER_H
#define REVIEW_CALLER_H

#include "net.h"
#include "record.h"
#include "store.h"

#include <memory>
#include <string>

namespace review {

struct CallerRequest
{
    std::string method = "POST";
    std::string target;
    std::string body;
    std::string moreHeaders {}; // each with its line break
    std::chrono::milliseconds limit {3000};
};

struct CallerResult
{
    std::string id;
    HttpAnswer answer;

    // The channel was closed, although the whole request had been sent, before a whole answer.
    bool isCut = false;
    bool isSent = false;
    bool isKept = false; // the channel had carried an earlier request
};

// A requester that keeps its channel, and opens a new one if that was closed.
class Caller
{
public:
    Caller(std::string address, std::uint16_t port, Record &record)
        : m_address(std::move(address)), m_port(port), m_record(record)
    { }

    CallerResult call(const CallerRequest &request);

    // What has arrived on the kept channel since the last answer.
    std::string unread();

private:
    const std::string m_address;
    const std::uint16_t m_port;
    Record &m_record;
    std::unique_ptr<Connection> m_connection;
};

// Writes a configuration with the users' kinds of routes: /lodge/ (non_idempotent) and /look/
// (idempotent) of the service "book", /draft/ (streaming, resumable) of the service "voice".
void writeConfiguration(Store &store);

} // namespace review

#endif // REVIEW_CALLER_H
