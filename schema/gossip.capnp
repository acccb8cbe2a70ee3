# Periodic report of a gateway to its peers; each report is one datagram. Digests are the
# stableDigest() of an id or name.

@0xd4b1f6a27c9e0835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct GossipLoad {
  backend @0 :UInt64;       # digest of the backend server's id
  running @1 :UInt32;       # number of the sender's requests that run on it
  promptTokens @2 :UInt64;  # prompt tokens of those requests that have not had a first event yet
  sign @3 :UInt8;           # 0: nothing to report, 1: answers although its agent is silent,
                            # 2: silent as well (ReportedLiveness in src/backendliveness.h)
  limit @4 :Float64 = -1;   # requests per second that the backend server named to the sender as its
                            # limit; negative: none
  limitAgeMicros @5 :Int64 = -1;  # since the answer that named it, or named none; -1: none known
  leavingStartMs @6 :Int64 = -1;  # latest start of the backend server (Unix time) that said that it
                                  # leaves; -1: none
}

struct GossipAllowance {
  organisation @0 :UInt64;  # digest of the organisation's name
  taken @1 :Float64;        # tokens that the sender has taken from the allowance since it started
}

struct GossipProof {
  lastChange @0 :UInt64;    # store version of the newest relevant change of the table
  ageMicros @1 :Int64;      # of earlier releases; always -1
  storeTimeMicros @2 :Int64;  # time of the proof on the store's steady clock; 0: none
  era @3 :UInt64;           # of the store's history, to which lastChange belongs
}

struct GossipEvidence {
  route @0 :Text;
  newVersion @1 :Bool;
  answers @2 :UInt64;
  failures @3 :UInt64;
  slowness @4 :List(UInt64);  # number of answers in each slowness class (src/rolloutverdict.h)
}

struct GossipRollout {
  name @0 :Text;
  remainingMicros @1 :Int64;  # time left until the rollout's time limit
  stage @2 :UInt32;
  end @3 :UInt8;              # RolloutEnd in src/rollout.h
  reason @4 :Text;            # why the rollout ended, for operators
  evidence @5 :List(GossipEvidence);  # only what the sender observed itself
}

struct GossipCrash {          # of a backend server under a prompt with the part
  backend @0 :UInt64;       # digest of the backend server's id and start
  variant @1 :UInt64;       # tells the prompts with the part apart
  sentAgeMicros @2 :Int64;  # since the request was sent
  crashAgeMicros @3 :Int64;
  organisation @4 :UInt64;  # digest of the name of the one that sent the request; 0: none
  answerAwaited @5 :Bool;   # nothing of the answer had arrived; never set for a whole prompt
}

struct GossipPromptPart {   # a part of prompts, or a whole one, that may crash backend servers
  part @0 :UInt64;          # digest
  position @1 :UInt32;      # in the prompt, from 0
  crashes @2 :List(GossipCrash);
  quarantineAgeMicros @3 :Int64 = -1;  # -1: not quarantined
  quarantineMicros @4 :Int64;          # length of the quarantine
  clearedAgeMicros @5 :Int64 = -1;     # since an answer to a prompt with it went on; -1: never
  kind @6 :UInt8;           # PromptPartKind in src/promptidentity.h
}

struct GossipEcho {          # of earlier releases; not sent
  peer @0 :UInt64;          # digest of the peer's name
  sequence @1 :UInt64;      # sequence number of the last report received from that peer
  incarnation @2 :UInt64;
}

struct GossipReport {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  leaving @3 :Bool;         # the sender is shutting down and accepts no new requests
  loads @4 :List(GossipLoad);
  allowances @5 :List(GossipAllowance);
  proofs @6 :List(GossipProof);    # for each table, in the order of src/freshness.h
  echoes @7 :List(GossipEcho);
  uptimeMicros @8 :Int64;          # time since the sender started
  rollouts @9 :List(GossipRollout);
  promptParts @10 :List(GossipPromptPart);
  configurationVersion @11 :UInt64;      # in force at the sender; 0: none
  storeReturnEra @12 :UInt64;            # that began with the last return of the store
  storeReturnAgeMicros @13 :Int64 = -1;  # since that return; -1: none known
}

struct GossipUsage {         # requests of an organisation that began to run
  organisation @0 :UInt64;  # digest of the organisation's name
  count @1 :UInt64;
}

struct GossipWindow {
  window @0 :Int64;         # number of the usage window since 1970
  usage @1 :List(GossipUsage);
}

# For the duties of one gateway at a time. Follows the GossipReport in the same datagram, as a message
# of its own that gateways without duties do not send.
struct GossipDuties {
  wallMicros @0 :Int64;     # the sender's wall clock, since 1970
  openWindow @1 :Int64;     # the sender's counts of earlier windows are final
  windows @2 :List(GossipWindow);  # counted by the sender and not fixed yet
  number @3 :UInt64;        # fencing token of the sender; 0: it does not hold the duties
  rowEra @4 :UInt64;        # position of the row of the duties in the store's history
  rowVersion @5 :UInt64;
  nextWindow @6 :Int64;     # first window that the holder has not fixed
  fixed @7 :List(GossipWindow);    # latest windows that the sender has fixed
}
