@0xd1b6a4c7e53f9a22;

# The messages between controllers as the last version without job dependencies defined them. Tests
# use this schema to read frames that the current version writes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("weirmill::oldpeer");

# Messages between controllers: each call gets one reply with the same `seq`.
enum Op {
  submit @0;   # body: the submission as received from the user
  status @1;   # subject: job id
  cancel @2;   # subject: job id
  report @3;   # body: the heartbeat as received from the worker
  ping @4;     # asks whether the callee is the leader, and with which fencing token
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
