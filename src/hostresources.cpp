// Reads the limits from the kernel.

#include "hostresources.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <string>

namespace cornelshed {

namespace {

constexpr const char *groupFolder = "/sys/fs/cgroup";
// Blocks of at least this size are mapped one by one. Requests of ordinary size use smaller ones.
constexpr int mappedBlockBytes = 128 << 10;
// Threads beyond this many share memory pools. Each pool keeps what it has freed.
constexpr int poolCount = 2;

// Lowers the limit to the number in the file. Files of version 2 say "max" if there is none.
void applyLimitFile(const std::string &file, std::size_t &limit)
{
    std::ifstream in(file);
    std::string text;
    std::size_t value = 0;
    if (!(in >> text))
        return;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc() && value > 0)
        limit = std::min(limit, value);
}

// The limits of this process's control group and of those that contain it.
void applyGroupLimits(std::size_t &limit)
{
    std::ifstream in("/proc/self/cgroup");
    for (std::string line; std::getline(in, line);) {
        const std::size_t first = line.find(':');
        const std::size_t second = line.find(':', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            continue;
        const std::string controllers = line.substr(first + 1, second - first - 1);
        const bool isVersion2 = controllers.empty();
        if (!isVersion2 && controllers.find("memory") == std::string::npos)
            continue;
        const std::string base = std::string(groupFolder) + (isVersion2 ? "" : "/memory");
        const char *name = isVersion2 ? "/memory.max" : "/memory.limit_in_bytes";
        std::string path = line.substr(second + 1);
        while (!path.empty() && path != "/") {
            applyLimitFile(base + path + name, limit);
            path.erase(path.rfind('/'));
        }
        applyLimitFile(base + name, limit);
    }
}

} // namespace

HostResources readHostResources()
{
    HostResources resources;
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    resources.memoryBytes = static_cast<std::size_t>(std::max(pages, 0L))
            * static_cast<std::size_t>(std::max(pageBytes, 0L));
    applyGroupLimits(resources.memoryBytes);
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
        resources.descriptors = static_cast<std::size_t>(limit.rlim_cur);
    return resources;
}

void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_ARENA_MAX, poolCount);
}

void returnFreePages()
{
    ::malloc_trim(0);
}

} // namespace cornelshed
