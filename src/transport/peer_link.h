// Remote calls between controllers: length-prefixed Cap'n Proto messages over one persistent TCP
// connection per peer. Everything runs on the single thread of the io_context.
#pragma once
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "config/settings.h"
#include "transport/one_shot.h"
#include "transport/peer_messages.h"

namespace weirmill {

// Handles one call; the returned reply is sent to the caller. Calls are handled concurrently.
using PeerHandler = std::function<boost::asio::awaitable<PeerReply>(PeerCall)>;

// Default limit on the bytes queued for one peer (see max_peer_queue_bytes in config/capacity.h).
inline constexpr size_t kDefaultMaxPeerQueueBytes = 16 * 1024 * 1024;

class PeerConnection;

// Accepts connections from peers and handles their calls.
class PeerServer {
  public:
    // `max_queue_bytes` limits the replies that wait to be written to one peer. The connection is
    // closed if they exceed it.
    PeerServer(boost::asio::io_context& io, const Endpoint& listen_at, PeerHandler handler,
               size_t max_queue_bytes = kDefaultMaxPeerQueueBytes);
    [[nodiscard]] uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    boost::asio::awaitable<void> accept_loop();
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<const PeerHandler>
        handler_;  // shared with running calls, which may outlive the server
    size_t max_queue_bytes_;
};

// Sends calls to one peer.
class PeerClient {
  public:
    // `max_queue_bytes` limits the calls that wait to be written. The connection is closed if they
    // exceed it.
    PeerClient(boost::asio::io_context& io, Endpoint endpoint,
               size_t max_queue_bytes = kDefaultMaxPeerQueueBytes);
    // Returns nullopt if the peer did not reply in time or the connection closed. The peer may have
    // carried out the call all the same.
    boost::asio::awaitable<std::optional<PeerReply>> call(PeerCall call, double timeout_s);

  private:
    struct Link;
    [[nodiscard]] bool connected() const;
    // Opens the connection unless it is open. Concurrent calls share one attempt. Returns false on
    // failure or timeout.
    boost::asio::awaitable<bool> connect(double timeout_s);
    boost::asio::awaitable<bool> open_link(double timeout_s);
    static boost::asio::awaitable<void> read_replies(std::shared_ptr<PeerConnection> connection,
                                                     std::weak_ptr<Link> weak_link);

    boost::asio::io_context& io_;
    Endpoint endpoint_;
    size_t max_queue_bytes_;
    std::shared_ptr<Link> link_;
    bool connecting_ = false;
    std::vector<OneShot<bool>> connect_waiters_;
    uint64_t next_seq_ = 1;
};

}  // namespace weirmill
