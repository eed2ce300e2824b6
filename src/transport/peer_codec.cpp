#include "transport/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>

namespace weirmill {

namespace {

constexpr int kHeaderBytes = 4;

// Prepends the length of the message, as four bytes in little-endian order.
std::string to_frame(capnp::MessageBuilder& message) {
    auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    const auto size = static_cast<uint32_t>(bytes.size());
    std::string out(kHeaderBytes + size, '\0');
    for (int i = 0; i < kHeaderBytes; ++i) out[i] = static_cast<char>(size >> (8 * i));
    std::copy(bytes.begin(), bytes.end(), reinterpret_cast<kj::byte*>(out.data() + kHeaderBytes));
    return out;
}

std::string to_string(capnp::Data::Reader data) {
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader to_data(const std::string& text) {
    return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

void write_links(peer::Links::Builder out, const LinkStatus& links) {
    out.setState(links.reaches_kv);
    out.setDirect(links.direct_workers);
    out.setReach(links.reachable_workers);
    out.setKnown(links.known_workers);
    out.setToken(links.leader_token);
    auto names = out.initHears(static_cast<unsigned>(links.reachable_peers.size()));
    for (unsigned i = 0; i < links.reachable_peers.size(); ++i)
        names.set(i, links.reachable_peers[i]);
}

// Controllers of a version without link reports leave out the field.
template <class Message>
LinkStatus read_links(Message in) {
    LinkStatus links;
    if (!in.hasLinks()) return links;
    auto reader = in.getLinks();
    links.reports_links = true;
    links.reaches_kv = reader.getState();
    links.direct_workers = reader.getDirect();
    links.reachable_workers = reader.getReach();
    links.known_workers = reader.getKnown();
    links.leader_token = reader.getToken();
    for (auto name : reader.getHears()) links.reachable_peers.emplace_back(name.cStr());
    return links;
}

}  // namespace

std::string encode_call(uint64_t seq, const PeerCall& call) {
    capnp::MallocMessageBuilder message;
    auto frame = message.initRoot<peer::Frame>();
    frame.setSeq(seq);
    auto out = frame.initCall();
    out.setOp(static_cast<peer::Op>(call.op));
    out.setSubject(call.subject);
    out.setBody(to_data(call.body));
    out.setVia(call.relay);
    if (!call.sender.empty()) out.setSender(call.sender);
    if (call.links.reports_links) write_links(out.initLinks(), call.links);
    return to_frame(message);
}

std::string encode_reply(uint64_t seq, const PeerReply& reply) {
    capnp::MallocMessageBuilder message;
    auto frame = message.initRoot<peer::Frame>();
    frame.setSeq(seq);
    auto out = frame.initReply();
    out.setStatus(static_cast<uint16_t>(reply.status));
    out.setBody(to_data(reply.body));
    out.setRetryAfterS(static_cast<uint16_t>(reply.retry_after_s));
    out.setToken(reply.fencing_token);
    out.setUndecided(reply.leadership_unconfirmed);
    if (reply.links.reports_links) write_links(out.initLinks(), reply.links);
    return to_frame(message);
}

PeerCall decode_call(peer::Call::Reader in) {
    return {static_cast<PeerOp>(in.getOp()),
            std::string(in.getSubject().cStr()),
            to_string(in.getBody()),
            in.getVia(),
            std::string(in.getSender().cStr()),
            read_links(in)};
}

PeerReply decode_reply(peer::Reply::Reader in) {
    return {in.getStatus(), to_string(in.getBody()), in.getRetryAfterS(),
            in.getToken(),  in.getUndecided(),       read_links(in)};
}

}  // namespace weirmill
