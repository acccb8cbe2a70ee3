// Overloads of write() and read() convert between the message structs and Cap'n Proto. read()
// copies all data, so that no message refers to the receive buffer.

#include "wirecodec.h"

#include "wire.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <array>
#include <cstring>

namespace cornelshed {

namespace {

// Size of the message builder's first segment; most messages fit and need no further allocation.
constexpr std::size_t scratchWords = 512;

// --- structs used in both directions ---

std::string toString(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

void write(wire::RequestId::Builder out, const RequestId &request)
{
    out.setEntryIncarnation(request.entryIncarnation);
    out.setSequence(request.sequence);
}

RequestId read(wire::RequestId::Reader in)
{
    return {in.getEntryIncarnation(), in.getSequence()};
}

void write(wire::GrantId::Builder out, const GrantId &grant)
{
    out.setAgentIncarnation(grant.agentIncarnation);
    out.setSequence(grant.sequence);
}

GrantId read(wire::GrantId::Reader in)
{
    return {in.getAgentIncarnation(), in.getSequence()};
}

void write(wire::LoadReport::Builder out, const LoadReport &load)
{
    out.setRunning(load.running);
    out.setWaiting(load.waiting);
    out.setOutstandingTokens(load.outstandingTokens);
    out.setPrefillTokensPerSecond(load.prefillTokensPerSecond);
    out.setDecodeTokensPerSecond(load.decodeTokensPerSecond);
    out.setConcurrencyLimit(load.concurrencyLimit);
}

LoadReport read(wire::LoadReport::Reader in)
{
    return {in.getRunning(),
            in.getWaiting(),
            in.getOutstandingTokens(),
            in.getPrefillTokensPerSecond(),
            in.getDecodeTokensPerSecond(),
            in.getConcurrencyLimit()};
}

void write(wire::Usage::Builder out, const Usage &usage)
{
    out.setPromptTokens(usage.promptTokens);
    out.setOutputTokens(usage.outputTokens);
    out.setCachedTokens(usage.cachedTokens);
    out.setQueueMicros(usage.queueTime.count());
    out.setFirstTokenMicros(usage.firstTokenTime.count());
    out.setTotalMicros(usage.totalTime.count());
}

Usage read(wire::Usage::Reader in)
{
    return {in.getPromptTokens(),
            in.getOutputTokens(),
            in.getCachedTokens(),
            Duration(in.getQueueMicros()),
            Duration(in.getFirstTokenMicros()),
            Duration(in.getTotalMicros())};
}

void write(capnp::List<wire::Header>::Builder out, const Headers &headers)
{
    unsigned n = 0;
    for (const auto &[name, value] : headers) {
        out[n].setName(name);
        out[n].setValue(value);
        ++n;
    }
}

Headers read(capnp::List<wire::Header>::Reader in)
{
    Headers headers;
    headers.reserve(in.size());
    for (const auto &it : in)
        headers.emplace_back(toString(it.getName()), toString(it.getValue()));
    return headers;
}

capnp::Data::Reader toData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::string read(capnp::Data::Reader in)
{
    return {reinterpret_cast<const char *>(in.begin()), in.size()};
}

// --- entry daemon to agent ---

void write(wire::EntryMessage::Builder out, const Hello &message)
{
    auto hello = out.initHello();
    hello.setEntry(message.entry);
    hello.setEntryIncarnation(message.entryIncarnation);
    hello.setConfigurationVersion(message.configurationVersion);
}

EntryMessage read(wire::Hello::Reader in)
{
    return Hello {toString(in.getEntry()), in.getEntryIncarnation(), in.getConfigurationVersion()};
}

void write(wire::EntryMessage::Builder out, const Reserve &message)
{
    auto reserve = out.initReserve();
    write(reserve.initRequest(), message.request);
    reserve.setTier(message.tier);
    reserve.setOrganisation(message.organisation);
    reserve.setOrganisationWeight(message.organisationWeight);
    reserve.setRoute(message.route);
    reserve.setModel(message.model);
    reserve.setPromptTokens(message.promptTokens);
    reserve.setOutputTokens(message.outputTokens);
    reserve.setRemainingMicros(message.remaining.count());
    auto hashes = reserve.initPrefixHashes(static_cast<unsigned>(message.prefixHashes.size()));
    for (unsigned n = 0; n < hashes.size(); ++n)
        hashes.set(n, message.prefixHashes[n]);
}

EntryMessage read(wire::Reserve::Reader in)
{
    Reserve message;
    message.request = read(in.getRequest());
    message.tier = in.getTier();
    message.organisation = toString(in.getOrganisation());
    message.organisationWeight = in.getOrganisationWeight();
    message.route = toString(in.getRoute());
    message.model = toString(in.getModel());
    message.promptTokens = in.getPromptTokens();
    message.outputTokens = in.getOutputTokens();
    message.remaining = Duration(in.getRemainingMicros());
    for (const std::uint64_t it : in.getPrefixHashes())
        message.prefixHashes.push_back(it);
    return message;
}

void write(wire::EntryMessage::Builder out, const Withdraw &message)
{
    write(out.initWithdraw(), message.request);
}

void write(wire::EntryMessage::Builder out, const Dispatch &message)
{
    auto dispatch = out.initDispatch();
    write(dispatch.initRequest(), message.request);
    write(dispatch.initGrant(), message.grant);
    dispatch.setMethod(message.method);
    dispatch.setPath(message.path);
    write(dispatch.initHeaders(static_cast<unsigned>(message.headers.size())), message.headers);
    dispatch.setBody(toData(message.body));
    dispatch.setRemainingMicros(message.remaining.count());
}

EntryMessage read(wire::Dispatch::Reader in)
{
    return Dispatch {read(in.getRequest()),
                     read(in.getGrant()),
                     toString(in.getMethod()),
                     toString(in.getPath()),
                     read(in.getHeaders()),
                     read(in.getBody()),
                     Duration(in.getRemainingMicros())};
}

void write(wire::EntryMessage::Builder out, const Decline &message)
{
    auto decline = out.initDecline();
    write(decline.initRequest(), message.request);
    write(decline.initGrant(), message.grant);
}

void write(wire::EntryMessage::Builder out, const Cancel &message)
{
    write(out.initCancel(), message.request);
}

void write(wire::EntryMessage::Builder out, const ConfigurationNotice &message)
{
    auto notice = out.initConfigurationNotice();
    notice.setVersion(message.version);
    notice.setText(message.text);
    notice.setReplacesText(message.replacesText);
}

Result<EntryMessage, WireError> read(wire::EntryMessage::Reader in)
{
    switch (in.which()) {
    case wire::EntryMessage::HELLO:
        return read(in.getHello());
    case wire::EntryMessage::RESERVE:
        return read(in.getReserve());
    case wire::EntryMessage::WITHDRAW:
        return EntryMessage(Withdraw {read(in.getWithdraw())});
    case wire::EntryMessage::DISPATCH:
        return read(in.getDispatch());
    case wire::EntryMessage::DECLINE:
        return EntryMessage(
                Decline {read(in.getDecline().getRequest()), read(in.getDecline().getGrant())});
    case wire::EntryMessage::CANCEL:
        return EntryMessage(Cancel {read(in.getCancel())});
    case wire::EntryMessage::CONFIGURATION_NOTICE:
        return EntryMessage(ConfigurationNotice {in.getConfigurationNotice().getVersion(),
                                                 toString(in.getConfigurationNotice().getText()),
                                                 in.getConfigurationNotice().getReplacesText()});
    }
    return WireError {"unknown type of entry message"};
}

// --- agent to entry daemon ---

void write(wire::AgentMessage::Builder out, const Welcome &message)
{
    auto welcome = out.initWelcome();
    welcome.setBackendServer(message.backendServer.name);
    welcome.setIncarnation(message.backendServer.incarnation);
    welcome.setPool(message.pool);
    welcome.setAvailabilityZone(message.availabilityZone);
    welcome.setVersion(message.version);
    auto models = welcome.initModels(static_cast<unsigned>(message.models.size()));
    for (unsigned n = 0; n < models.size(); ++n)
        models.set(n, message.models[n]);
    welcome.setConfigurationVersion(message.configurationVersion);
    write(welcome.initLoad(), message.load);
}

AgentMessage read(wire::Welcome::Reader in)
{
    Welcome message;
    message.backendServer = {toString(in.getBackendServer()), in.getIncarnation()};
    message.pool = toString(in.getPool());
    message.availabilityZone = toString(in.getAvailabilityZone());
    message.version = toString(in.getVersion());
    for (const auto &it : in.getModels())
        message.models.push_back(toString(it));
    message.configurationVersion = in.getConfigurationVersion();
    message.load = read(in.getLoad());
    return message;
}

void write(wire::AgentMessage::Builder out, const Grant &message)
{
    auto grant = out.initGrant();
    write(grant.initRequest(), message.request);
    write(grant.initGrant(), message.grant);
    grant.setExpectedFirstTokenMicros(message.expectedFirstToken.count());
    grant.setExpectedTotalMicros(message.expectedTotal.count());
    write(grant.initLoad(), message.load);
}

AgentMessage read(wire::Grant::Reader in)
{
    return Grant {read(in.getRequest()), read(in.getGrant()),
                  Duration(in.getExpectedFirstTokenMicros()), Duration(in.getExpectedTotalMicros()),
                  read(in.getLoad())};
}

// Enumerators are in the same order in C++ and in the schema, so that values can be cast.
static_assert(static_cast<int>(wire::RejectReason::SHED) == static_cast<int>(RejectReason::Shed));
static_assert(static_cast<int>(wire::FailReason::DRAINING)
              == static_cast<int>(FailReason::Draining));

void write(wire::AgentMessage::Builder out, const Reject &message)
{
    auto reject = out.initReject();
    write(reject.initRequest(), message.request);
    reject.setReason(static_cast<wire::RejectReason>(message.reason));
    write(reject.initLoad(), message.load);
}

Result<AgentMessage, WireError> read(wire::Reject::Reader in)
{
    if (in.getReason() > wire::RejectReason::SHED)
        return WireError {"unknown reject reason"};
    return AgentMessage(Reject {read(in.getRequest()), static_cast<RejectReason>(in.getReason()),
                                read(in.getLoad())});
}

void write(wire::AgentMessage::Builder out, const ResponseHead &message)
{
    auto head = out.initResponseHead();
    write(head.initRequest(), message.request);
    head.setStatus(message.status);
    write(head.initHeaders(static_cast<unsigned>(message.headers.size())), message.headers);
}

void write(wire::AgentMessage::Builder out, const Chunk &message)
{
    auto chunk = out.initChunk();
    write(chunk.initRequest(), message.request);
    chunk.setData(toData(message.data));
}

void write(wire::AgentMessage::Builder out, const Finished &message)
{
    auto finished = out.initFinished();
    write(finished.initRequest(), message.request);
    write(finished.initUsage(), message.usage);
    write(finished.initLoad(), message.load);
}

void write(wire::AgentMessage::Builder out, const Failed &message)
{
    auto failed = out.initFailed();
    write(failed.initRequest(), message.request);
    failed.setNotRun(message.notRun);
    failed.setReason(static_cast<wire::FailReason>(message.reason));
    write(failed.initLoad(), message.load);
}

Result<AgentMessage, WireError> read(wire::Failed::Reader in)
{
    if (in.getReason() > wire::FailReason::DRAINING)
        return WireError {"unknown failure reason"};
    return AgentMessage(Failed {read(in.getRequest()), in.getNotRun(),
                                static_cast<FailReason>(in.getReason()), read(in.getLoad())});
}

void write(wire::AgentMessage::Builder out, const Load &message)
{
    write(out.initLoad(), message.load);
}

void write(wire::AgentMessage::Builder out, const Leaving & /*message*/)
{
    out.setLeaving();
}

Result<AgentMessage, WireError> read(wire::AgentMessage::Reader in)
{
    switch (in.which()) {
    case wire::AgentMessage::WELCOME:
        return read(in.getWelcome());
    case wire::AgentMessage::GRANT:
        return read(in.getGrant());
    case wire::AgentMessage::REJECT:
        return read(in.getReject());
    case wire::AgentMessage::RESPONSE_HEAD:
        return AgentMessage(ResponseHead {read(in.getResponseHead().getRequest()),
                                          in.getResponseHead().getStatus(),
                                          read(in.getResponseHead().getHeaders())});
    case wire::AgentMessage::CHUNK:
        return AgentMessage(
                Chunk {read(in.getChunk().getRequest()), read(in.getChunk().getData())});
    case wire::AgentMessage::FINISHED:
        return AgentMessage(Finished {read(in.getFinished().getRequest()),
                                      read(in.getFinished().getUsage()),
                                      read(in.getFinished().getLoad())});
    case wire::AgentMessage::FAILED:
        return read(in.getFailed());
    case wire::AgentMessage::LOAD:
        return AgentMessage(Load {read(in.getLoad())});
    case wire::AgentMessage::LEAVING:
        return AgentMessage(Leaving {});
    }
    return WireError {"unknown type of agent message"};
}

// --- frames ---

template<typename Root, typename Message> std::string encode(const Message &message)
{
    // Cap'n Proto requires the first segment to be zeroed.
    std::array<capnp::word, scratchWords> scratch {};
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch.data(), scratch.size()));
    auto root = builder.initRoot<Root>();
    std::visit([&](const auto &it) { write(root, it); }, message);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    std::string frame(frameHeaderBytes + bytes.size(), '\0');
    for (std::size_t n = 0; n < frameHeaderBytes; ++n)
        frame[n] = static_cast<char>((bytes.size() >> (8 * n)) & 0xffU);
    std::memcpy(frame.data() + frameHeaderBytes, bytes.begin(), bytes.size());
    return frame;
}

template<typename Root, typename Message>
Result<Message, WireError> decode(std::string_view bytes, const WireLimits &limits)
{
    if (bytes.size() > limits.frameLimitBytes)
        return WireError {"message exceeds the frame limit"};
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return WireError {"message is empty or its length is not a multiple of the word size"};
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::ReaderOptions options;
    // Decoding reads each word once. Twice the message size allows for lists, which are counted per
    // element, and still prevents overlapping pointers from amplifying a small message.
    options.traversalLimitInWords = words.size() * 2 + scratchWords;
    options.nestingLimit = limits.nestingLimit;
    try {
        capnp::FlatArrayMessageReader reader(words, options);
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception &error) {
        return WireError {std::string(error.getDescription().cStr())};
    }
}

} // namespace

std::string encodeFrame(const EntryMessage &message)
{
    return encode<wire::EntryMessage>(message);
}

std::string encodeFrame(const AgentMessage &message)
{
    return encode<wire::AgentMessage>(message);
}

std::size_t messageLength(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t n = 0; n < frameHeaderBytes; ++n)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(header[n])) << (8 * n);
    return length;
}

Result<EntryMessage, WireError> decodeEntryMessage(std::string_view bytes, const WireLimits &limits)
{
    return decode<wire::EntryMessage, EntryMessage>(bytes, limits);
}

Result<AgentMessage, WireError> decodeAgentMessage(std::string_view bytes, const WireLimits &limits)
{
    return decode<wire::AgentMessage, AgentMessage>(bytes, limits);
}

} // namespace cornelshed
