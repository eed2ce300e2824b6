// Calls and replies between controllers as frames, and back (peer.capnp).
#pragma once
#include <cstdint>
#include <string>

#include "protocol/peer.capnp.h"
#include "transport/peer_messages.h"

namespace weirmill {

// A frame as PeerConnection sends it, its length included. `seq` matches a reply with its call.
std::string encode_call(uint64_t seq, const PeerCall& call);
std::string encode_reply(uint64_t seq, const PeerReply& reply);

// These may throw kj::Exception.
PeerCall decode_call(peer::Call::Reader in);
PeerReply decode_reply(peer::Reply::Reader in);

}  // namespace weirmill
