// Backend server that ends in a given phase of its answer: it reads a part of a request or nothing,
// sends the bytes that it is told to, and then closes its connection, resets it or falls silent.

#ifndef CORNELSHED_TEST_ENDINGSERVER_H
#define CORNELSHED_TEST_ENDINGSERVER_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cornelshed::testing {

// How much of a request the server reads before it answers.
enum class ReadPart : std::uint8_t {
    All,    // the upload is complete
    Head,   // the rest stays unread, so a large upload is still being written
    Nothing // it acts as soon as the connection is there
};

enum class ServerEnd : std::uint8_t {
    Fin,    // closes its sending side and reads nothing more
    Reset,  // closes the connection with a TCP reset
    Silence // leaves the connection open
};

struct EndingScript
{
    ReadPart reads = ReadPart::All;
    std::string answer; // every "{id}" is replaced by the request's X-Request-Id
    ServerEnd end = ServerEnd::Fin;
    std::string id {};         // the request's X-Request-Id if nothing of the request is read
    bool awaitsCaller = false; // ends only after release(), or after 2 s
    // A connection on which nothing arrives is a probe, and no request.
    bool isProbed = false;
    // What every request after the first gets, completely read; it is answered in full. Empty:
    // all get the answer above.
    std::string laterAnswer {};

    bool operator==(const EndingScript &) const = default;
};

// Listens on two ports, as two backend servers that share one count of requests.
class EndingServer
{
public:
    explicit EndingServer(EndingScript script);
    ~EndingServer();
    EndingServer(const EndingServer &) = delete;
    EndingServer &operator=(const EndingServer &) = delete;

    std::uint16_t port(std::size_t index = 0) const;

    // Lets a server that awaits its caller end.
    void release();

    // Requests that began to arrive; connections, if the script reads nothing of a request.
    int arrivals() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

// A response as its caller received it, up to the close of the connection.
struct ReceivedAnswer
{
    int status = 0;         // 0: no head was received
    std::string body;       // without its framing
    std::string outcome {}; // value of the Cornelshed-Outcome header or trailer
    bool complete = false;  // by its own framing

    bool operator==(const ReceivedAnswer &) const = default;
};

// Sends a request that asks for "Connection: close", and reads until the connection is closed or
// 10 s have passed without a byte. Calls server.release() once the marker has arrived.
ReceivedAnswer exchangeWith(std::uint16_t port, const std::string &request,
                            const std::string &marker, EndingServer &server);

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_ENDINGSERVER_H
