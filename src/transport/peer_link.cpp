#include "transport/peer_link.h"

#include <algorithm>
#include <map>
#include <utility>

#include "transport/http_server.h"
#include "transport/peer_codec.h"
#include "transport/peer_connection.h"

namespace weirmill {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kErrorAsValue = asio::as_tuple(asio::use_awaitable);
constexpr double kConnectTimeout_s = 1.0;
// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr double kAcceptRetryDelay_s = 0.1;
// Minimum time a call waits for its reply, even if opening the connection took up its timeout.
constexpr double kMinReplyTimeout_s = 0.01;

void set_no_delay(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> serve_call(std::shared_ptr<const PeerHandler> handler,
                                 std::shared_ptr<PeerConnection> connection, uint64_t seq,
                                 PeerCall call) {
    const PeerReply reply = co_await (*handler)(std::move(call));
    connection->send(encode_reply(seq, reply));
}

}  // namespace

PeerServer::PeerServer(asio::io_context& io, const Endpoint& listen_at, PeerHandler handler,
                       size_t max_queue_bytes)
    : acceptor_(io, to_tcp_endpoint(listen_at), true),
      handler_(std::make_shared<const PeerHandler>(std::move(handler))),
      max_queue_bytes_(max_queue_bytes) {
    asio::co_spawn(io, accept_loop(), asio::detached);
}

asio::awaitable<void> PeerServer::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(kErrorAsValue);
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) {
            co_await sleep_s(kAcceptRetryDelay_s);
            continue;
        }
        serve(std::move(socket));
    }
}

void PeerServer::serve(tcp::socket socket) {
    set_no_delay(socket);
    auto connection = std::make_shared<PeerConnection>(std::move(socket), max_queue_bytes_);
    auto on_frame = [connection, handler = handler_](peer::Frame::Reader frame) {
        if (!frame.isCall()) return;
        asio::co_spawn(
            connection->executor(),
            serve_call(handler, connection, frame.getSeq(), decode_call(frame.getCall())),
            asio::detached);
    };
    asio::co_spawn(acceptor_.get_executor(),
                   PeerConnection::read_loop(connection, std::move(on_frame)), asio::detached);
}

struct PeerClient::Link {
    std::shared_ptr<PeerConnection> connection;
    // By sequence number. The value is nullopt if the connection closed before the reply came.
    std::map<uint64_t, OneShot<std::optional<PeerReply>>> pending_calls;
    double last_reply_at = 0;  // steady clock
    // No reply can arrive on a closed connection, so no call waits for one any longer.
    void fail_pending_calls() const {
        for (const auto& [seq, pending] : pending_calls) pending.set(std::nullopt);
    }
};

// Reads replies until the connection closes. Does not keep the link alive.
asio::awaitable<void> PeerClient::read_replies(std::shared_ptr<PeerConnection> connection,
                                               std::weak_ptr<Link> weak_link) {
    PeerConnection::FrameHandler on_frame = [weak_link](peer::Frame::Reader frame) {
        auto link = weak_link.lock();
        if (!link || !frame.isReply()) return;
        link->last_reply_at = steady_now();
        auto it = link->pending_calls.find(frame.getSeq());
        if (it == link->pending_calls.end()) return;
        it->second.set(decode_reply(frame.getReply()));
    };
    co_await PeerConnection::read_loop(std::move(connection), std::move(on_frame));
    if (auto link = weak_link.lock()) link->fail_pending_calls();
}

PeerClient::PeerClient(asio::io_context& io, Endpoint endpoint, size_t max_queue_bytes)
    : io_(io), endpoint_(std::move(endpoint)), max_queue_bytes_(max_queue_bytes) {}

bool PeerClient::connected() const { return link_ && !link_->connection->closed(); }

// Concurrent calls share one connection attempt. With one attempt per call, a burst of calls to a
// disconnected peer exhausted the process's sockets.
asio::awaitable<bool> PeerClient::connect(double timeout_s) {
    if (connected()) co_return true;
    if (connecting_) {
        OneShot<bool> opened(io_.get_executor());
        connect_waiters_.push_back(opened);
        auto result = co_await opened.wait(timeout_s);
        co_return result.value_or(false);
    }
    connecting_ = true;
    const bool opened = co_await open_link(std::min(timeout_s, kConnectTimeout_s));
    connecting_ = false;
    for (auto& waiter : std::exchange(connect_waiters_, {})) waiter.set(opened);
    co_return opened;
}

asio::awaitable<bool> PeerClient::open_link(double timeout_s) {
    tcp::socket socket(io_);
    auto finished = std::make_shared<bool>(false);
    asio::steady_timer timeout(io_);
    timeout.expires_after(std::chrono::milliseconds(static_cast<int>(timeout_s * 1000)));
    timeout.async_wait([&socket, finished](boost::system::error_code ec) {
        if (ec || *finished) return;
        boost::system::error_code ignored;
        socket.close(ignored);
    });
    auto [ec] = co_await socket.async_connect(to_tcp_endpoint(endpoint_), kErrorAsValue);
    *finished = true;
    timeout.cancel();
    if (ec || !socket.is_open()) co_return false;
    set_no_delay(socket);
    auto link = std::make_shared<Link>();
    link->connection = std::make_shared<PeerConnection>(std::move(socket), max_queue_bytes_);
    asio::co_spawn(io_, read_replies(link->connection, link), asio::detached);
    link_ = link;
    co_return true;
}

asio::awaitable<std::optional<PeerReply>> PeerClient::call(PeerCall call, double timeout_s) {
    const double deadline = steady_now() + timeout_s;
    const bool opened = co_await connect(timeout_s);
    if (!opened || !connected()) co_return std::nullopt;
    auto link = link_;
    const uint64_t seq = next_seq_++;
    const OneShot<std::optional<PeerReply>> pending(io_.get_executor());
    auto frame = encode_call(seq, call);
    link->pending_calls.emplace(seq, pending);
    const double sent_at = steady_now();
    link->connection->send(std::move(frame));
    auto result = co_await pending.wait(std::max(kMinReplyTimeout_s, deadline - steady_now()));
    link->pending_calls.erase(seq);
    std::optional<PeerReply> reply = std::move(result).value_or(std::nullopt);
    // If no reply at all arrived since the call was sent, a network partition may be blocking the
    // connection, so it is closed and the next call opens a new one. If other calls were answered,
    // the peer is only busy, and closing the connection would lose the calls in transit.
    if (!reply && link_ == link && link->last_reply_at < sent_at) {
        link->connection->close();
        link_.reset();
    }
    co_return reply;
}

}  // namespace weirmill
