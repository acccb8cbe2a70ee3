// Keeps cut requests until it is known what became of their backend server.

#include "crashconfirmation.h"

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

} // namespace cornelshed
