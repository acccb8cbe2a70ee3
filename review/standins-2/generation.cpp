// The request's parts and the events of its answer.

#include "generation.h"

#include <utility>

namespace review {

namespace {

constexpr std::int64_t downMs = 2500;
constexpr std::int64_t eventMs = 20;
constexpr int eventCount = 3;
constexpr std::size_t gatewayCount = 2;

} // namespace

std::string voiceConfiguration()
{
    return R"({"version":7,"routes":[{"name":"r-voice","host":"voice.example","prefix":"/voice/",)"
           R"("kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,)"
           R"("service":"voice","max_attempts":2,"auth_exempt":false,"sticky":true,)"
           R"("resumable":true,"gap_aim_ms":250}],"services":[{"name":"voice",)"
           R"("health_path":"/health","max_conns":360,"protocol":"h1","tls":false,)"
           R"("cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,)"
           R"("unit":"token_usage","plain_tokens":200,"rate_per_s":156080,"burst":156080}]})";
}

std::string voiceRequest(const std::string &id, const std::string &parts, const std::string &body)
{
    return "POST /voice/write HTTP/1.1\r\nHost: voice.example\r\nX-Request-Id: " + id
            + "\r\nX-Model: m\r\nX-Token-Count: 400,40\r\nX-Prefix-Hash: " + parts
            + "\r\nX-Deadline-Ms: 5000\r\nX-Key: key-a\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ownPart(int number)
{
    return "e4" + toHex(static_cast<std::uint64_t>(number)) + ":240";
}

bool hasDeadlyPart(const Message &request)
{
    return request.header("x-prefix-hash").find(deadlyPart) != std::string::npos;
}

Runner::Handler voiceHandler(Scene &scene, VoiceRuns &runs,
                             std::function<bool(const Message &)> isDeadly)
{
    return [&scene, &runs, isDeadly = std::move(isDeadly)](Runner &runner, const Message &request,
                                                           Socket &socket) {
        const bool deadly = isDeadly(request);
        Record &record = scene.record();
        record.line("runner " + runner.id() + (deadly ? " deadly " : " sound ")
                    + request.header("x-request-id"));
        const std::string head = Runner::answerHead(
                request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        runs.deadlyArrivals += deadly ? 1 : 0;
        runs.soundBegun += deadly ? 0 : 1;
        sleepMs(eventMs);
        if (!socket.send(head))
            return false;
        if (deadly) {
            sleepMs(5);
            const int crashes = ++runs.crashes;
            runs.lastCrashMs = record.nowMs();
            if (crashes == 3)
                runs.thirdCrashMs = record.nowMs();
            if (crashes == 5)
                runs.fifthCrashMs = record.nowMs();
            runner.crash(downMs);
            return false;
        }
        const std::string last = request.header("last-event-id");
        for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= eventCount; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: words\n\n";
            std::string chunk = toHex(text.size()) + "\r\n";
            chunk.append(text).append("\r\n");
            if (!socket.send(chunk))
                return false;
            sleepMs(eventMs);
        }
        return socket.send("0\r\n\r\n");
    };
}

void Callers::send(const std::string &id, const std::string &request)
{
    const std::size_t gateway = m_count++ % gatewayCount;
    m_scene.record().line("request " + id + " to gateway " + std::to_string(gateway));
    m_threads.emplace_back([this, gateway, id, request] {
        const Message answer = call(m_scene.front(gateway), request, 6000);
        if (answer.status() == 200 && answer.complete)
            ++m_answered;
        m_scene.record().line("answer " + id + " " + std::to_string(answer.status())
                              + (answer.complete ? "" : " incomplete"));
    });
}

void Callers::wait()
{
    for (std::thread &it : m_threads)
        it.join();
    m_threads.clear();
}

} // namespace review
