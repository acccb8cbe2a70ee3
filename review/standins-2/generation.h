// Requests to a model service, and runners of it that some of the requests crash.

#ifndef CORNELSHED_REVIEW_GENERATION_H
#define CORNELSHED_REVIEW_GENERATION_H

#include "net.h"
#include "runner.h"
#include "scene.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline constexpr const char *deadlyPart = "dead0bad";
inline constexpr std::int64_t contactMs = 3000; // of the small sites

// A configuration with one streaming route to the service "voice", whose requests may be resumed
// and sent to two runners, and one tenant with the key "key-a".
std::string voiceConfiguration();

// A request on that route. parts: X-Prefix-Hash.
std::string voiceRequest(const std::string &id, const std::string &parts,
                         const std::string &body = "text");

// The last part of a prompt, which only the request with this number has.
std::string ownPart(int number);

// What the runners of a case see.
struct VoiceRuns
{
    std::atomic<int> crashes {0};
    std::atomic<std::int64_t> lastCrashMs {0};  // on the record's clock
    std::atomic<std::int64_t> thirdCrashMs {0}; // 0: not yet
    std::atomic<std::int64_t> fifthCrashMs {0}; // 0: not yet
    std::atomic<int> deadlyArrivals {0};
    std::atomic<int> soundBegun {0};
};

// A runner that answers with three events, and crashes as it begins to write the answer to a deadly
// request. It is back after 2.5 s.
Runner::Handler voiceHandler(Scene &scene, VoiceRuns &runs,
                             std::function<bool(const Message &)> isDeadly);

// Whether the prompt of the request has the deadly part.
bool hasDeadlyPart(const Message &request);

// Sends the requests of a case, each from a thread of its own and at the gateways in turn.
class Callers
{
public:
    explicit Callers(Scene &scene) : m_scene(scene) { }
    ~Callers() { wait(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void send(const std::string &id, const std::string &request);
    void wait();
    int answered() const { return m_answered; }

private:
    Scene &m_scene;
    std::vector<std::thread> m_threads;
    std::size_t m_count = 0;
    std::atomic<int> m_answered {0}; // complete 2xx
};

} // namespace review

#endif // CORNELSHED_REVIEW_GENERATION_H
