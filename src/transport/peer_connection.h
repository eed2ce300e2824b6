// One connection between two controllers, used on both sides. A read loop passes received frames to
// a handler, and a write loop sends queued frames. A frame is a length in bytes, as four bytes in
// little-endian order, followed by a Cap'n Proto message (Frame in protocol/peer.capnp). Everything
// runs on the socket's executor.
#pragma once
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "protocol/peer.capnp.h"

namespace weirmill {

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
  public:
    using FrameHandler = std::function<void(peer::Frame::Reader)>;

    // `max_queue_bytes` limits the frames that wait to be written. The connection is closed if they
    // exceed it.
    PeerConnection(boost::asio::ip::tcp::socket socket, size_t max_queue_bytes);

    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] boost::asio::any_io_executor executor() { return socket_.get_executor(); }
    void close();
    // Queues a frame for writing. Drops it if the connection is closed.
    void send(std::string frame);
    // Reads frames until the connection ends or a frame is malformed, then closes the connection.
    static boost::asio::awaitable<void> read_loop(std::shared_ptr<PeerConnection> self,
                                                  FrameHandler on_frame);

  private:
    static boost::asio::awaitable<void> write_loop(std::shared_ptr<PeerConnection> self);

    boost::asio::ip::tcp::socket socket_;
    size_t max_queue_bytes_;
    std::deque<std::string> queue_;
    size_t queue_bytes_ = 0;
    bool writing_ = false, closed_ = false;
};

}  // namespace weirmill
