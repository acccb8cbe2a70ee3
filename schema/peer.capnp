# Calls between entry daemons. Replies are returned as results of the call, because a daemon that
# has just started is not yet in the callee's host list and could not be called back.

@0xa9c4e6b1f27d3058;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct SpreadAnnounce { version @0 :UInt64; reply @1 :Bool; digest @2 :Text; }

# A configuration version, encoded as a difference from a base version (src/configpropagation.h): the
# text consists of the first prefixBytes of the base, middle, and the last suffixBytes of the base.
struct SpreadUpdate {
  version @0 :UInt64;
  digest @1 :Text;
  baseVersion @2 :UInt64;
  prefixBytes @3 :UInt64;
  suffixBytes @4 :UInt64;
  middle @5 :Data;
}

struct SpreadMessage {
  union {
    announce @0 :SpreadAnnounce;
    requestBase @1 :UInt64;
    update @2 :SpreadUpdate;
  }
}

interface Peer {
  # Exchanges configuration versions. from: name of the calling entry daemon.
  spread @0 (from :Text, message :SpreadMessage) -> (replies :List(SpreadMessage));

  # Configuration version in force; 0 if there is none.
  version @1 () -> (version :UInt64);

  # Delivers a message, such as rollout evidence, to the named part of the control thread
  # (src/controlpart.h).
  part @2 (from :Text, part :Text, payload :Data) -> ();
}
