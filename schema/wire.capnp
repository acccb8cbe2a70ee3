# Messages between entry daemons and agents over TCP. Each message is preceded by its length as a
# 4-byte little-endian integer. Durations are in microseconds. No wall-clock times are sent.

@0xd3a1f0c94be27715;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct RequestId { entryIncarnation @0 :UInt64; sequence @1 :UInt64; }
struct GrantId { agentIncarnation @0 :UInt64; sequence @1 :UInt64; }
struct Header { name @0 :Text; value @1 :Text; }

struct LoadReport {
  running @0 :UInt32;
  waiting @1 :UInt32;
  outstandingTokens @2 :UInt64;
  prefillTokensPerSecond @3 :Float64;
  decodeTokensPerSecond @4 :Float64;
  concurrencyLimit @5 :UInt32;
}

struct Usage {
  promptTokens @0 :UInt64;
  outputTokens @1 :UInt64;
  cachedTokens @2 :UInt64;
  queueMicros @3 :Int64;
  firstTokenMicros @4 :Int64;
  totalMicros @5 :Int64;
}

struct Hello { entry @0 :Text; entryIncarnation @1 :UInt64; configurationVersion @2 :UInt64; }

struct Reserve {
  request @0 :RequestId;
  tier @1 :UInt32;
  organisation @2 :Text;
  organisationWeight @3 :UInt32;
  route @4 :Text;
  model @5 :Text;
  promptTokens @6 :UInt64;
  outputTokens @7 :UInt64;
  remainingMicros @8 :Int64;
  prefixHashes @9 :List(UInt64);
}

struct Dispatch {
  request @0 :RequestId;
  grant @1 :GrantId;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  remainingMicros @6 :Int64;
}

struct RequestAndGrant { request @0 :RequestId; grant @1 :GrantId; }
struct ConfigurationNotice { version @0 :UInt64; text @1 :Text; replacesText @2 :Bool; }

struct EntryMessage {
  union {
    hello @0 :Hello;
    reserve @1 :Reserve;
    withdraw @2 :RequestId;
    dispatch @3 :Dispatch;
    decline @4 :RequestAndGrant;
    cancel @5 :RequestId;
    configurationNotice @6 :ConfigurationNotice;
  }
}

struct Welcome {
  backendServer @0 :Text;
  incarnation @1 :UInt64;
  pool @2 :Text;
  availabilityZone @3 :Text;
  version @4 :Text;
  models @5 :List(Text);
  configurationVersion @6 :UInt64;
  load @7 :LoadReport;
}

struct Grant {
  request @0 :RequestId;
  grant @1 :GrantId;
  expectedFirstTokenMicros @2 :Int64;
  expectedTotalMicros @3 :Int64;
  load @4 :LoadReport;
}

enum RejectReason { queueFull @0; draining @1; zoneWithdrawn @2; unknownModel @3; deadlineUnreachable @4; shed @5; }
struct Reject { request @0 :RequestId; reason @1 :RejectReason; load @2 :LoadReport; }
struct ResponseHead { request @0 :RequestId; status @1 :UInt32; headers @2 :List(Header); }
struct Chunk { request @0 :RequestId; data @1 :Data; }
struct Finished { request @0 :RequestId; usage @1 :Usage; load @2 :LoadReport; }

enum FailReason { grantExpired @0; engineUnreachable @1; engineError @2; streamCut @3; cancelled @4; draining @5; }
struct Failed { request @0 :RequestId; notRun @1 :Bool; reason @2 :FailReason; load @3 :LoadReport; }

struct AgentMessage {
  union {
    welcome @0 :Welcome;
    grant @1 :Grant;
    reject @2 :Reject;
    responseHead @3 :ResponseHead;
    chunk @4 :Chunk;
    finished @5 :Finished;
    failed @6 :Failed;
    load @7 :LoadReport;
    leaving @8 :Void;
  }
}
