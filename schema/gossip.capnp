# Periodic report of a gateway to its peers, one datagram each. Digests are stableDigest() of ids.

@0xd4b1f6a27c9e0835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct GossipLoad {
  backend @0 :UInt64;       # digest of the backend server's id
  running @1 :UInt32;       # requests of the sender on it
  promptTokens @2 :UInt64;  # of those without a first event
  sign @3 :UInt8;           # 0: none, 1: answers without its agent, 2: silent (src/signsoflife.h)
}

struct GossipAllowance {
  organisation @0 :UInt64;  # digest of its name
  taken @1 :Float64;        # tokens since the sender started
}

struct GossipProof {
  lastChange @0 :UInt64;    # version of the newest change of a table that matters
  ageMicros @1 :Int64;      # of the proof when the report was composed; -1: never read
}

struct GossipEvidence {
  route @0 :Text;
  newVersion @1 :Bool;
  answers @2 :UInt64;
  failures @3 :UInt64;
  slowness @4 :List(UInt64);  # by class (src/rolloutverdict.h)
}

struct GossipRollout {
  name @0 :Text;
  remainingMicros @1 :Int64;  # until the order's time limit
  stage @2 :UInt32;
  end @3 :UInt8;              # RolloutEnd (src/rollout.h)
  reason @4 :Text;            # of the end
  evidence @5 :List(GossipEvidence);  # the sender's own
}

struct GossipEcho {
  peer @0 :UInt64;          # digest of the peer's name
  sequence @1 :UInt64;      # of its last report
  incarnation @2 :UInt64;
}

struct GossipReport {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  leaving @3 :Bool;         # the sender shuts down and takes no new work
  loads @4 :List(GossipLoad);
  allowances @5 :List(GossipAllowance);
  proofs @6 :List(GossipProof);    # by table, in the order of src/freshness.h
  echoes @7 :List(GossipEcho);
  uptimeMicros @8 :Int64;          # since the sender started
  rollouts @9 :List(GossipRollout);
}
