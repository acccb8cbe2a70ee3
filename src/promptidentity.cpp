// Digests of prompts and their parts.

#include "promptidentity.h"

#include "ingressprotocol.h"
#include "stabledigest.h"

namespace cornelshed {

namespace {

constexpr std::uint64_t lastPartSeed = stableDigest("last part");

} // namespace

std::uint64_t lastPartDigest(std::uint64_t session)
{
    return session ^ lastPartSeed;
}

PromptIdentity identifyPrompt(const CallerMetadata &metadata, const std::string &service,
                              const std::string &organisation, const std::string &method,
                              const std::string &target, const std::string &body)
{
    PromptIdentity prompt;
    std::uint64_t content = stableDigest(service);
    // Backend servers learn the organisation, so what crashes them for one may be sound for
    // another.
    for (const std::string *it : {&organisation, &method, &target, &metadata.sessionAffinityKey})
        content = stableDigest(*it, content);
    for (const std::string &it : metadata.sharedPromptParts) {
        prompt.sharedParts.push_back(stableDigest(it));
        content = stableDigest(it, content);
    }
    prompt.content = stableContentDigest(body, content);
    if (!metadata.sessionAffinityKey.empty())
        prompt.session = stableDigest(metadata.sessionAffinityKey);
    if (!organisation.empty())
        prompt.organisation = stableDigest(organisation);
    return prompt;
}

const char *nameOf(PromptPartKind kind)
{
    switch (kind) {
    case PromptPartKind::Shared:
        return "shared";
    case PromptPartKind::Last:
        return "last";
    case PromptPartKind::Whole:
        return "whole";
    }
    return "";
}

} // namespace cornelshed
