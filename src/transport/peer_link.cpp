#include "transport/peer_link.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <spdlog/spdlog.h>

#include "protocol/peer.capnp.h"
#include "transport/http_server.h"

namespace weirmill {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
constexpr auto kQuiet = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kMaxFrame = 160 * 1024;
constexpr double kConnect_s = 1.0;

namespace {

std::string frame_text(capnp::MessageBuilder& message) {
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    uint32_t n = static_cast<uint32_t>(bytes.size());
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

// One connection, either side: a reader hands frames on, a writer drains the queue.
struct Wire : std::enable_shared_from_this<Wire> {
    Wire(tcp::socket s, size_t queue_limit)
        : socket(std::move(s)), most_queued_bytes(queue_limit) {}

    tcp::socket socket;
    std::deque<std::string> queue;
    size_t queued_bytes = 0;
    size_t most_queued_bytes;
    bool writing = false, dead = false;

    void close() {
        dead = true;
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    void send(std::string frame) {
        if (dead) return;
        if (queued_bytes + frame.size() > most_queued_bytes) {
            spdlog::error("peer: link closed, {} bytes wait to be written", queued_bytes);
            return close();
        }
        queued_bytes += frame.size();
        queue.push_back(std::move(frame));
        if (!writing) {
            writing = true;
            asio::co_spawn(socket.get_executor(), write_loop(shared_from_this()), asio::detached);
        }
    }

    static asio::awaitable<void> write_loop(std::shared_ptr<Wire> self) {
        while (!self->queue.empty() && !self->dead) {
            std::string frame = std::move(self->queue.front());
            self->queue.pop_front();
            self->queued_bytes -= frame.size();
            auto [ec, n] = co_await asio::async_write(self->socket, asio::buffer(frame), kQuiet);
            (void)n;
            if (ec) self->close();
        }
        self->writing = false;
    }

    static asio::awaitable<void> read_loop(std::shared_ptr<Wire> self,
                                           std::function<void(peer::Frame::Reader)> on_frame) {
        std::vector<capnp::word> words;
        while (!self->dead) {
            unsigned char head[4];
            auto [ec, n] = co_await asio::async_read(self->socket, asio::buffer(head), kQuiet);
            (void)n;
            uint32_t size =
                head[0] | head[1] << 8 | head[2] << 16 | static_cast<uint32_t>(head[3]) << 24;
            if (ec) break;
            if (size > kMaxFrame || size % sizeof(capnp::word) != 0) {
                spdlog::error("peer: refused a frame of {} bytes", size);
                break;
            }
            words.resize(size / sizeof(capnp::word));
            auto [body_ec, body_n] = co_await asio::async_read(
                self->socket, asio::buffer(static_cast<void*>(words.data()), size), kQuiet);
            (void)body_n;
            if (body_ec) break;
            try {
                capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
                on_frame(reader.getRoot<peer::Frame>());
            } catch (const kj::Exception& e) {
                spdlog::error("peer: malformed message refused: {}", e.getDescription().cStr());
                break;
            }
        }
        self->close();
    }
};

PeerServer::PeerServer(asio::io_context& io, const Endpoint& at, PeerHandler handler,
                       size_t queue_bytes)
    : acceptor_(io, resolve(at), true), handler_(std::move(handler)), queue_bytes_(queue_bytes) {
    asio::co_spawn(io, accept_loop(), asio::detached);
}

asio::awaitable<void> PeerServer::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(kQuiet);
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) {
            co_await sleep_s(0.1);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto wire = std::make_shared<Wire>(std::move(socket), queue_bytes_);
        auto on_frame = [this, wire = wire.get()](peer::Frame::Reader frame) {
            if (!frame.isCall()) return;
            auto in = frame.getCall();
            PeerCall call{static_cast<PeerOp>(in.getOp()),
                          std::string(in.getSubject().cStr()),
                          text_of(in.getBody()),
                          in.getVia(),
                          std::string(in.getSender().cStr()),
                          read_links(in)};
            asio::co_spawn(
                wire->socket.get_executor(),
                [](PeerHandler& handler, std::shared_ptr<Wire> to, uint64_t seq,
                   PeerCall call) -> asio::awaitable<void> {
                    PeerReply reply = co_await handler(std::move(call));
                    capnp::MallocMessageBuilder message;
                    auto out = message.initRoot<peer::Frame>();
                    out.setSeq(seq);
                    auto r = out.initReply();
                    r.setStatus(static_cast<uint16_t>(reply.status));
                    r.setBody(data_of(reply.body));
                    r.setRetryAfterS(static_cast<uint16_t>(reply.retry_after_s));
                    r.setToken(reply.fencing_token);
                    r.setUndecided(reply.undecided);
                    if (reply.links.reports_links) write_links(r.initLinks(), reply.links);
                    to->send(frame_text(message));
                }(handler_, wire->shared_from_this(), frame.getSeq(), std::move(call)),
                asio::detached);
        };
        asio::co_spawn(acceptor_.get_executor(), Wire::read_loop(wire, on_frame), asio::detached);
    }
}

struct PeerClient::Link {
    std::shared_ptr<Wire> wire;
    std::map<uint64_t, OneShot<PeerReply>> waiting;
    double answered_at = 0;  // when the last answer came
};

PeerClient::PeerClient(asio::io_context& io, Endpoint to, size_t queue_bytes)
    : io_(io), to_(std::move(to)), queue_bytes_(queue_bytes) {}

bool PeerClient::connected() const { return link_ && !link_->wire->dead; }

// A socket for each call that found no link, in a burst of them, once took all the sockets there
// are.
asio::awaitable<bool> PeerClient::connect(double timeout_s) {
    if (connected()) co_return true;
    if (connecting_) {
        OneShot<bool> opened(io_.get_executor());
        waiting_for_link_.push_back(opened);
        auto result = co_await opened.wait(timeout_s);
        co_return result.value_or(false);
    }
    connecting_ = true;
    bool opened = co_await open_link(std::min(timeout_s, kConnect_s));
    connecting_ = false;
    for (auto& waiter : std::exchange(waiting_for_link_, {})) waiter.set(opened);
    co_return opened;
}

asio::awaitable<bool> PeerClient::open_link(double timeout_s) {
    tcp::socket socket(io_);
    auto over = std::make_shared<bool>(false);
    asio::steady_timer limit(io_);
    limit.expires_after(std::chrono::milliseconds(static_cast<int>(timeout_s * 1000)));
    limit.async_wait([&socket, over](boost::system::error_code ec) {
        if (ec || *over) return;
        boost::system::error_code ignored;
        socket.close(ignored);
    });
    auto [ec] = co_await socket.async_connect(resolve(to_), kQuiet);
    *over = true;
    limit.cancel();
    if (ec || !socket.is_open()) co_return false;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto link = std::make_shared<Link>();
    link->wire = std::make_shared<Wire>(std::move(socket), queue_bytes_);
    auto on_frame = [weak = std::weak_ptr<Link>(link)](peer::Frame::Reader frame) {
        auto link = weak.lock();
        if (!link || !frame.isReply()) return;
        link->answered_at = steady_now();
        auto it = link->waiting.find(frame.getSeq());
        if (it == link->waiting.end()) return;
        auto in = frame.getReply();
        it->second.set(PeerReply{in.getStatus(), text_of(in.getBody()), in.getRetryAfterS(),
                                 in.getToken(), in.getUndecided(), read_links(in)});
    };
    asio::co_spawn(io_, Wire::read_loop(link->wire, on_frame), asio::detached);
    link_ = link;
    co_return true;
}

asio::awaitable<std::optional<PeerReply>> PeerClient::call(PeerCall call, double timeout_s) {
    double until = steady_now() + timeout_s;
    bool opened = co_await connect(timeout_s);
    if (!opened || !connected()) co_return std::nullopt;
    auto link = link_;
    uint64_t seq = next_seq_++;
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<peer::Frame>();
    out.setSeq(seq);
    auto c = out.initCall();
    c.setOp(static_cast<peer::Op>(call.op));
    c.setSubject(call.subject);
    c.setBody(data_of(call.body));
    c.setVia(call.via);
    if (!call.sender.empty()) c.setSender(call.sender);
    if (call.links.reports_links) write_links(c.initLinks(), call.links);
    OneShot<PeerReply> answer(io_.get_executor());
    link->waiting.emplace(seq, answer);
    double sent_at = steady_now();
    link->wire->send(frame_text(message));
    auto reply = co_await answer.wait(std::max(0.01, until - steady_now()));
    link->waiting.erase(seq);
    // A link on which nothing was answered since may be held by a cut: the next call opens a fresh
    // one. Where others were answered, the peer is busy, and all that is on its way would be lost
    // with the link.
    if (!reply && link_ == link && link->answered_at < sent_at) {
        link->wire->close();
        link_.reset();
    }
    co_return reply;
}

}  // namespace weirmill
