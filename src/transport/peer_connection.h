// One connection between controllers, either side: a reader hands frames on, a writer drains the
// queue. A frame is its length in bytes, as four bytes from the lowest, and a Cap'n Proto message
// (peer.capnp's Frame). All runs on the socket's executor.
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

    // `max_queue_bytes`: of frames that wait to be written. Beyond it the connection is closed.
    PeerConnection(boost::asio::ip::tcp::socket socket, size_t max_queue_bytes);

    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] boost::asio::any_io_executor executor() { return socket_.get_executor(); }
    void close();
    // Queues a frame; none is sent once the connection is closed.
    void send(std::string frame);
    // Until the connection ends: it is closed then, and on a frame that is malformed.
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
