// Calls and replies between controllers, as protocol/peer.capnp carries them.
#pragma once
#include <cstdint>
#include <string>

#include "protocol/links.h"

namespace weirmill {

// The values equal the ordinals of Op in protocol/peer.capnp.
enum class PeerOp : uint8_t { Submit, Status, Cancel, Heartbeat, Ping, Command };

// A call to another controller.
struct PeerCall {
    PeerOp op = PeerOp::Ping;
    std::string subject, body;  // their meaning depends on `op`, see protocol/peer.capnp
    // The caller can't reach the leader: the callee relays the call, and nobody relays it again.
    bool relay = false;
    std::string sender{};  // name of the calling controller; empty: this controller
    LinkStatus links{};    // set in a ping: the caller's links
};

// The reply to a call.
struct PeerReply {
    int status = 503;  // HTTP status code
    std::string body;
    int retry_after_s = 0;  // 0: not set
    uint64_t fencing_token = 0;
    // The callee does not lead, does not lead yet, or can't confirm its lease: a standby controller
    // may serve the call.
    bool leadership_unconfirmed = false;
    LinkStatus links{};  // set in the reply to a ping: the callee's links
};

}  // namespace weirmill
