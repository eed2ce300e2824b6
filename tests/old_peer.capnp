@0xd1b6a4c7e53f9a22;

# What passed between controllers in the version before pipelines: the tests read frames of today with it.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("weirmill::oldpeer");

# What passes between controllers: one call, one reply, matched by `seq`.
enum Op {
  submit @0;   # body: the submission as the user sent it
  status @1;   # subject: job id
  cancel @2;   # subject: job id
  report @3;   # body: the worker's report as it was sent
  ping @4;     # is the callee the leader, and with which token
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
}

struct Reply {
  status @0 :UInt16;
  body @1 :Data;
  retryAfterS @2 :UInt16;
  token @3 :UInt64;
}
