// Calls between controllers: Cap'n Proto messages, length-framed, over one kept TCP stream per
// peer.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "protocol/links.h"
#include "transport/one_shot.h"

namespace weirmill {

enum class PeerOp : uint8_t { Submit, Status, Cancel, Heartbeat, Ping, Command };

struct PeerCall {
    PeerOp op = PeerOp::Ping;
    std::string subject, body;
    bool via =
        false;  // the sender can't reach the leader: to be passed on, but by the callee alone
    std::string sender{};  // the controller that calls; empty: this one
    LinkStatus links{};    // with a ping
};

struct PeerReply {
    int status = 503;
    std::string body;
    int retry_after_s = 0;
    uint64_t fencing_token = 0;
    bool undecided = false;  // who answered does not lead, or not yet, or is unsure of it
    LinkStatus links{};      // to a ping
};

using PeerHandler = std::function<boost::asio::awaitable<PeerReply>(PeerCall)>;

// Bytes that may wait to be written to one peer, unless told otherwise (settings/capacity.h).
inline constexpr size_t kPeerQueueBytes = 16 * 1024 * 1024;

class PeerServer {
  public:
    // `queue_bytes`: answers that may wait to be written to one peer. Beyond it the connection is
    // closed.
    PeerServer(boost::asio::io_context& io, const Endpoint& at, PeerHandler handler,
               size_t queue_bytes = kPeerQueueBytes);
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::ip::tcp::acceptor acceptor_;
    PeerHandler handler_;
    size_t queue_bytes_;
};

class PeerClient {
  public:
    // `queue_bytes`: calls that may wait to be written. Beyond it the link is closed.
    PeerClient(boost::asio::io_context& io, Endpoint to, size_t queue_bytes = kPeerQueueBytes);
    // Nothing: the peer did not answer in time.
    boost::asio::awaitable<std::optional<PeerReply>> call(PeerCall call, double timeout_s);

  private:
    struct Link;
    bool connected() const;
    // Opens the link, once for all calls that wait for it.
    boost::asio::awaitable<bool> connect(double timeout_s);
    boost::asio::awaitable<bool> open_link(double timeout_s);

    boost::asio::io_context& io_;
    Endpoint to_;
    size_t queue_bytes_;
    std::shared_ptr<Link> link_;
    bool connecting_ = false;
    std::vector<OneShot<bool>> waiting_for_link_;
    uint64_t next_seq_ = 1;
};

}  // namespace weirmill
