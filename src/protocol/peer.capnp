@0xd1b6a4c7e53f9a21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("weirmill::peer");

# What passes between controllers: one call, one reply, matched by `seq`.
enum Op {
  submit @0;   # body: the submission as the user sent it
  status @1;   # subject: job id
  cancel @2;   # subject: job id
  report @3;   # body: the worker's report as it was sent
  ping @4;     # is the callee the leader, and with which token
  command @5;  # subject: a worker's address; body: commands for it, to be passed on
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
  via @3 :Bool;      # the caller can't reach the leader: to be passed on, by the callee alone
  sender @4 :Text;   # the controller that calls
  links @5 :Links;   # with a ping
}

# What a controller says of its links (membership/link_policy.h).
struct Links {
  state @0 :Bool;
  direct @1 :UInt32;
  reach @2 :UInt32;
  known @3 :UInt32;
  hears @4 :List(Text);
}

struct Reply {
  status @0 :UInt16;
  body @1 :Data;
  retryAfterS @2 :UInt16;
  token @3 :UInt64;
  undecided @4 :Bool;  # the callee does not lead, or not yet, or is unsure of it: a standby controller may serve
  links @5 :Links;     # to a ping
}
