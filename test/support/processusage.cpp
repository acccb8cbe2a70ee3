// Reads /proc/PID/status, /proc/PID/fd and /proc/PID/net/tcp.

#include "processusage.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace cornelshed::testing {

namespace {

constexpr std::chrono::milliseconds sampleInterval {20};
constexpr std::size_t kibibyte = 1024;

std::string processFolder(int processId)
{
    return "/proc/" + std::to_string(processId);
}

// Targets of the process's descriptors; sockets are "socket:[INODE]".
std::vector<std::string> descriptorTargets(int processId)
{
    std::vector<std::string> targets;
    std::error_code ec;
    for (std::filesystem::directory_iterator it(processFolder(processId) + "/fd", ec), end;
         !ec && it != end; it.increment(ec)) {
        std::error_code closed; // the process may close the descriptor meanwhile
        targets.push_back(std::filesystem::read_symlink(it->path(), closed).string());
    }
    return targets;
}

std::size_t unreadBytesOf(int processId, const std::set<std::string> &sockets)
{
    std::size_t total = 0;
    std::ifstream in(processFolder(processId) + "/net/tcp");
    std::string line;
    std::getline(in, line); // header
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        std::string retransmits;
        std::string user;
        std::string timeout;
        std::string inode;
        fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user
                >> timeout >> inode;
        // The queue of a listening socket counts connections.
        const bool isListening = state == "0A";
        const std::size_t colon = queues.find(':');
        if (!isListening && colon != std::string::npos
            && sockets.contains("socket:[" + inode + ']'))
            total += std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return total;
}

} // namespace

ProcessUsage processUsage(int processId)
{
    ProcessUsage usage;
    std::ifstream status(processFolder(processId) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        std::istringstream fields(line);
        std::string key;
        std::size_t value = 0;
        fields >> key >> value;
        if (key == "VmRSS:")
            usage.residentBytes = value * kibibyte;
        else if (key == "VmHWM:")
            usage.peakResidentBytes = value * kibibyte;
    }
    const std::vector<std::string> targets = descriptorTargets(processId);
    usage.descriptorCount = targets.size();
    usage.unreadBytes = unreadBytesOf(processId, {targets.begin(), targets.end()});
    return usage;
}

UsageWatch::UsageWatch(int processId)
    : m_processId(processId), m_thread([this] {
          while (!m_stopped) {
              sample();
              std::this_thread::sleep_for(sampleInterval);
          }
      })
{ }

UsageWatch::~UsageWatch()
{
    m_stopped = true;
    m_thread.join();
}

void UsageWatch::sample()
{
    const ProcessUsage usage = processUsage(m_processId);
    const std::lock_guard lock(m_mutex);
    m_peakBytes = std::max(
            {m_peakBytes, usage.residentBytes + usage.unreadBytes, usage.peakResidentBytes});
    m_peakDescriptors = std::max(m_peakDescriptors, usage.descriptorCount);
}

// Both take a sample themselves, because the thread may be late on a busy machine.
std::size_t UsageWatch::peakBytes()
{
    sample();
    return m_peakBytes;
}

std::size_t UsageWatch::peakDescriptorCount()
{
    sample();
    return m_peakDescriptors;
}

} // namespace cornelshed::testing
