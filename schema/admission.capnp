# Datagrams between gateways and the admission agent that runs on a backend server's host and
# assigns the backend server's slots. Each datagram may be lost or repeated.

@0xe7c1a94f0b6d2853;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cornelshed::wire");

struct AdmissionAsk {
  sequence @0 :UInt64;     # sequence number of the request at the gateway
  order @1 :UInt64;        # smaller values are granted first; equal ones in order of arrival
  leaveFree @2 :UInt32;    # slots that must stay free for requests of higher rank
  slots @3 :UInt32;        # number of slots of the backend server
  coldRate @4 :Float64;    # request starts per second allowed while it is cold; 0: not cold
  waitMicros @5 :Int64;    # the ask expires when it has waited for this time
  restartStarts @6 :UInt32;  # starts that an agent which restarted may grant in its first second
                             # while the backend server is cold; 0: the agent's default
  limit @7 :Float64 = -1;    # requests per second that the backend server names as its limit;
                             # negative: none
  limitAgeMicros @8 :Int64 = -1;  # since the answer that named it, or named none; -1: none known
}

struct AdmissionMessage {
  gateway @0 :UInt64;      # incarnation of the gateway that sends or receives the message
  union {
    ask @1 :AdmissionAsk;
    release @2 :UInt64;            # sequence number of a request that ended or was withdrawn
    running @3 :List(UInt64);      # sequence numbers of all requests of the gateway that run on the
                                   # backend server; renews the leases of their slots
    granted @4 :UInt64;            # from the agent: sequence number of the request that may start
    queued @5 :AdmissionQueued;    # from the agent: the ask's place in its queue
    present @6 :Void;              # from the agent: reply to any running list: the agent is alive
  }
  unused @7 :Bool;         # of release: the request was not sent to the backend server
  serverDown @8 :Bool;     # of release: because nothing listens at its address
}

struct AdmissionQueued {
  sequence @0 :UInt64;
  ahead @1 :UInt32;        # number of asks that are granted before it
  serverDown @2 :Bool;     # the backend server refuses connections, so that the agent grants only
                           # single slots to find out when it is back
}
