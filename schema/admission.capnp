# Datagrams between gateways and the admission agent beside a backend server.

@0xe7c1a94f0b6d2853;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct AdmissionAsk {
  sequence @0 :UInt64;     # of the request at the gateway
  order @1 :UInt64;        # smaller goes first
  leaveFree @2 :UInt32;    # slots left free for requests before it
  slots @3 :UInt32;        # of the backend server
  coldRate @4 :Float64;    # requests a second that it bears while cold; 0: it is not cold
  waitMicros @5 :Int64;    # the ask is void after this time
}

struct AdmissionMessage {
  gateway @0 :UInt64;      # incarnation of the gateway that sends or is addressed
  union {
    ask @1 :AdmissionAsk;
    release @2 :UInt64;            # sequence: no longer wanted, or ended
    running @3 :List(UInt64);      # sequences of all that run there; renews their places
    granted @4 :UInt64;            # sequence; from the agent
    queued @5 :AdmissionQueued;    # from the agent
    present @6 :Void;              # from the agent, to a list of none
  }
}

struct AdmissionQueued {
  sequence @0 :UInt64;
  ahead @1 :UInt32;        # asks before it
}
