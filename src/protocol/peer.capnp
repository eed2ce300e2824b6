@0xd1b6a4c7e53f9a21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("weirmill::peer");

# Messages between controllers: each call gets one reply with the same `seq`.
enum Op {
  submit @0;   # body: the submission as received from the user
  status @1;   # subject: job id
  cancel @2;   # subject: job id
  report @3;   # body: the heartbeat as received from the worker
  ping @4;     # asks whether the callee is the leader, and with which fencing token
  command @5;  # subject: the address of a worker; body: commands that the callee relays to it
}

struct Frame {
  seq @0 :UInt64;
  union {
    call @1 :Call;
    reply @2 :Reply;
  }
}

struct Call {
  op @0 :Op;
  subject @1 :Text;
  body @2 :Data;
  via @3 :Bool;      # the caller can't reach the leader: the callee relays the call, as the only relay
  sender @4 :Text;   # name of the calling controller
  links @5 :Links;   # set in a ping: the caller's links
}

# The connectivity of a controller (LinkStatus in protocol/links.h).
struct Links {
  state @0 :Bool;         # it reaches the key-value store
  direct @1 :UInt32;      # workers that send heartbeats directly to it
  reach @2 :UInt32;       # workers that it reaches directly or through a peer
  known @3 :UInt32;       # at a leader: workers that should send heartbeats
  hears @4 :List(Text);   # peers that answered it recently
  token @5 :UInt64;       # fencing token of the leader that the counts are about; 0: not known
}

struct Reply {
  status @0 :UInt16;   # HTTP status code
  body @1 :Data;
  retryAfterS @2 :UInt16;  # seconds; 0: not set
  token @3 :UInt64;    # fencing token
  undecided @4 :Bool;
  # The callee does not lead, does not lead yet, or can't confirm its lease: a standby controller may
  # serve the call.
  links @5 :Links;     # set in the reply to a ping: the callee's links
}
