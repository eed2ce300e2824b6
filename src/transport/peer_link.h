// Calls between controllers: Cap'n Proto messages, length-framed, over one kept TCP connection per
// peer. All runs on the io_context's one thread.
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

// Serves one call; the reply goes back once the coroutine returns. Calls are served beside each
// other.
using PeerHandler = std::function<boost::asio::awaitable<PeerReply>(PeerCall)>;

// Bytes that may be queued to be written to one peer, unless told otherwise (config/capacity.h).
inline constexpr size_t kMaxPeerQueueBytes = 16 * 1024 * 1024;

class PeerServer {
  public:
    // `max_queue_bytes`: of replies that wait to be written to one peer. Beyond it the connection
    // is closed.
    PeerServer(boost::asio::io_context& io, const Endpoint& at, PeerHandler handler,
               size_t max_queue_bytes = kMaxPeerQueueBytes);
    [[nodiscard]] uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    boost::asio::awaitable<void> accept_loop();
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<const PeerHandler> handler_;  // calls that are being served outlive the server
    size_t max_queue_bytes_;
};

class PeerClient {
  public:
    // `max_queue_bytes`: of calls that wait to be written. Beyond it the connection is closed.
    PeerClient(boost::asio::io_context& io, Endpoint to,
               size_t max_queue_bytes = kMaxPeerQueueBytes);
    // Nothing: the peer did not answer in time.
    boost::asio::awaitable<std::optional<PeerReply>> call(PeerCall call, double timeout_s);

  private:
    struct Link;
    [[nodiscard]] bool connected() const;
    // Opens the link, once for all calls that wait for it.
    boost::asio::awaitable<bool> connect(double timeout_s);
    boost::asio::awaitable<bool> open_link(double timeout_s);

    boost::asio::io_context& io_;
    Endpoint to_;
    size_t max_queue_bytes_;
    std::shared_ptr<Link> link_;
    bool connecting_ = false;
    std::vector<OneShot<bool>> waiting_for_link_;
    uint64_t next_seq_ = 1;
};

}  // namespace weirmill
