# Periodic report of a gateway to its peers, one datagram each. Digests are stableDigest() of ids.

@0xd4b1f6a27c9e0835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct GossipLoad {
  backend @0 :UInt64;       # digest of the backend server's id
  running @1 :UInt32;       # requests of the sender on it
  promptTokens @2 :UInt64;  # of those without a first event
}

struct GossipAllowance {
  organisation @0 :UInt64;  # digest of its name
  taken @1 :Float64;        # tokens since the sender started
}

struct GossipReport {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  leaving @3 :Bool;         # the sender shuts down and takes no new work
  loads @4 :List(GossipLoad);
  allowances @5 :List(GossipAllowance);
}
