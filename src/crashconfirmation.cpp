// Keeps cut requests until it is known what became of their backend server.

#include "crashconfirmation.h"

#include <algorithm>
#include <utility>

namespace cornelshed {

void CrashConfirmation::add(CutRequest request)
{
    if (m_requests.size() >= limit)
        m_requests.pop_front();
    m_requests.push_back(std::move(request));
}

void CrashConfirmation::answered(const PromptIdentity &prompt)
{
    std::erase_if(m_requests,
                  [&](const CutRequest &it) { return it.prompt.content == prompt.content; });
}

std::vector<CutRequest> CrashConfirmation::confirm(const std::string &backend, Instant now)
{
    std::vector<CutRequest> confirmed;
    std::erase_if(m_requests, [&](const CutRequest &it) {
        const bool inTime = it.cutAt + confirmationTime >= now;
        if (inTime && it.backend == backend)
            confirmed.push_back(it);
        return !inTime || it.backend == backend;
    });
    return confirmed;
}

std::optional<Instant> CrashConfirmation::firstCutAt(const std::string &backend) const
{
    const auto it = std::find_if(m_requests.begin(), m_requests.end(),
                                 [&](const CutRequest &cut) { return cut.backend == backend; });
    return it == m_requests.end() ? std::nullopt : std::optional(it->cutAt);
}

} // namespace cornelshed
