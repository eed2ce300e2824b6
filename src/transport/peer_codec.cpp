#include "transport/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>

namespace weirmill {

namespace {

std::string frame_of(capnp::MessageBuilder& message) {
    auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    const auto n = static_cast<uint32_t>(bytes.size());
    std::string out(4 + n, '\0');
    for (int i = 0; i < 4; ++i) out[i] = static_cast<char>(n >> (8 * i));
    std::copy(bytes.begin(), bytes.end(), reinterpret_cast<kj::byte*>(out.data() + 4));
    return out;
}

std::string text_of(capnp::Data::Reader d) {
    return {reinterpret_cast<const char*>(d.begin()), d.size()};
}

capnp::Data::Reader data_of(const std::string& s) {
    return {reinterpret_cast<const kj::byte*>(s.data()), s.size()};
}

void write_links(peer::Links::Builder out, const LinkStatus& links) {
    out.setState(links.reaches_kv);
    out.setDirect(links.direct_workers);
    out.setReach(links.reachable_workers);
    out.setKnown(links.known_workers);
    auto hears = out.initHears(static_cast<unsigned>(links.reachable_peers.size()));
    for (unsigned i = 0; i < links.reachable_peers.size(); ++i)
        hears.set(i, links.reachable_peers[i]);
}

// A version that knows nothing of links leaves them out.
template <class Message>
LinkStatus read_links(Message in) {
    LinkStatus links;
    if (!in.hasLinks()) return links;
    auto l = in.getLinks();
    links.reports_links = true;
    links.reaches_kv = l.getState();
    links.direct_workers = l.getDirect();
    links.reachable_workers = l.getReach();
    links.known_workers = l.getKnown();
    for (auto name : l.getHears()) links.reachable_peers.emplace_back(name.cStr());
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
    out.setBody(data_of(call.body));
    out.setVia(call.relay);
    if (!call.sender.empty()) out.setSender(call.sender);
    if (call.links.reports_links) write_links(out.initLinks(), call.links);
    return frame_of(message);
}

std::string encode_reply(uint64_t seq, const PeerReply& reply) {
    capnp::MallocMessageBuilder message;
    auto frame = message.initRoot<peer::Frame>();
    frame.setSeq(seq);
    auto out = frame.initReply();
    out.setStatus(static_cast<uint16_t>(reply.status));
    out.setBody(data_of(reply.body));
    out.setRetryAfterS(static_cast<uint16_t>(reply.retry_after_s));
    out.setToken(reply.fencing_token);
    out.setUndecided(reply.undecided);
    if (reply.links.reports_links) write_links(out.initLinks(), reply.links);
    return frame_of(message);
}

PeerCall decode_call(peer::Call::Reader in) {
    return {static_cast<PeerOp>(in.getOp()),
            std::string(in.getSubject().cStr()),
            text_of(in.getBody()),
            in.getVia(),
            std::string(in.getSender().cStr()),
            read_links(in)};
}

PeerReply decode_reply(peer::Reply::Reader in) {
    return {in.getStatus(), text_of(in.getBody()), in.getRetryAfterS(),
            in.getToken(),  in.getUndecided(),     read_links(in)};
}

}  // namespace weirmill
