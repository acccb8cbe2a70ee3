// What identifies the prompt of a request, and the parts of it that may crash backend servers. A
// request without a prompt counts as one that has only the whole.

#ifndef CORNELSHED_PROMPTIDENTITY_H
#define CORNELSHED_PROMPTIDENTITY_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

struct CallerMetadata;

// From the least to the most specific.
enum class PromptPartKind : std::uint8_t {
    Shared, // may be in the prompts of many sessions
    Last,   // belongs to the request or to its session
    Whole,  // the content of the request, which is the same whenever it is sent again
};

// One of a prompt's parts.
struct PromptPart
{
    std::uint64_t id = 0; // digest
    PromptPartKind kind = PromptPartKind::Shared;
    std::uint32_t position = 0; // in the prompt, from 0; the whole comes after the last part
    // Tells the prompts with the part apart: the content for the last part, otherwise the session.
    std::uint64_t variant = 0;

    bool operator==(const PromptPart &) const = default;
};

// The last part of one prompt may be a shared part of another one; these are different suspects.
std::uint64_t lastPartDigest(std::uint64_t session);

// Digests are the same in all gateways. Neither the request's id nor its time limit are part of it.
struct PromptIdentity
{
    std::vector<std::uint64_t> sharedParts;  // in the order of the prompt
    std::uint64_t session = 0;               // of the last part; 0: none
    std::optional<std::uint64_t> content {}; // of what is sent, see identifyPrompt()
    std::uint64_t organisation = 0;          // that sent it; 0: none

    bool operator==(const PromptIdentity &) const = default;

    // Calls the function with each part, from the least to the most specific kind.
    template<typename Function> void forEachPart(Function function) const
    {
        std::uint32_t position = 0;
        for (const std::uint64_t it : sharedParts)
            function(PromptPart {it, PromptPartKind::Shared, position++, session});
        if (session != 0)
            function(PromptPart {lastPartDigest(session), PromptPartKind::Last, position++,
                                 content.value_or(0)});
        if (content)
            function(PromptPart {*content, PromptPartKind::Whole, position, session});
    }

    // The same without parts that other prompts may have.
    PromptIdentity wholeOnly() const { return {{}, 0, content, organisation}; }
};

// The content is a digest of the service, organisation, method, target, prompt and body.
PromptIdentity identifyPrompt(const CallerMetadata &metadata, const std::string &service,
                              const std::string &organisation, const std::string &method,
                              const std::string &target, const std::string &body);

const char *nameOf(PromptPartKind kind);

} // namespace cornelshed

#endif // CORNELSHED_PROMPTIDENTITY_H
