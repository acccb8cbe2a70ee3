# Calls between entry daemons. Replies travel in the results, because a daemon that has just started is
# not in the callee's host list yet and could not be called back.

@0xa9c4e6b1f27d3058;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct SpreadAnnounce { version @0 :UInt64; reply @1 :Bool; }

# A version as a difference to a base version, see src/configspread.h.
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
  # from names the calling entry daemon.
  spread @0 (from :Text, message :SpreadMessage) -> (replies :List(SpreadMessage));

  # Version in force; 0 if none.
  version @1 () -> (version :UInt64);

  # Message of a part of the control thread, such as rollout evidence, see src/controlpart.h.
  part @2 (from :Text, part :Text, payload :Data) -> ();
}
