// Encodes calls and replies between controllers as frames and decodes them (protocol/peer.capnp).
#pragma once
#include <cstdint>
#include <string>

#include "protocol/peer.capnp.h"
#include "transport/peer_messages.h"

namespace weirmill {

// Return a frame as PeerConnection sends it, with its length prefix. A reply has the `seq` of its
// call.
std::string encode_call(uint64_t seq, const PeerCall& call);
std::string encode_reply(uint64_t seq, const PeerReply& reply);

// Throw kj::Exception for malformed messages.
PeerCall decode_call(peer::Call::Reader in);
PeerReply decode_reply(peer::Reply::Reader in);

}  // namespace weirmill
