// What controllers ask each other, as peer.capnp carries it.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/links.h"

namespace weirmill {

// With the numbers of peer.capnp's Op.
enum class PeerOp : uint8_t { Submit, Status, Cancel, Heartbeat, Ping, Command };

struct PeerCall {
    PeerOp op = PeerOp::Ping;
    std::string subject, body;  // see peer.capnp's Op
    // The caller can't reach the leader: the callee is to relay the call, and nobody after it.
    bool relay = false;
    std::string sender{};  // the controller that calls; empty: this one
    LinkStatus links{};    // with a ping
};

struct PeerReply {
    int status = 503;  // as HTTP has it
    std::string body;
    int retry_after_s = 0;  // 0: no such time
    uint64_t fencing_token = 0;
    // The callee does not lead, or not yet, or can't tell whether its lease is valid: another
    // controller may serve the call.
    bool undecided = false;
    LinkStatus links{};  // to a ping
};

}  // namespace weirmill
