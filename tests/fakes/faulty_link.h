// A link between two processes on loopback that can be cut: connections to it go on to `to` while
// it is up.
#pragma once
#include <boost/asio.hpp>
#include <memory>
#include <set>

#include "transport/http_server.h"

namespace weirmill::fakes {

class FaultyLink {
  public:
    enum class Mode : uint8_t {
        PassThrough,
        RefuseConnections,  // new connections are closed at once, and so are those that stood
        HoldData,           // nothing passes; it is delivered once the link is up again
        DropResponses,  // what is asked arrives and is carried out, what is answered is thrown away
    };
    FaultyLink(boost::asio::io_context& io, Endpoint to);
    Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    void set_mode(Mode mode);

  private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Connection;
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> forward(std::shared_ptr<Connection> line, bool answers);

    boost::asio::io_context& io_;
    Endpoint target_;
    Mode mode_ = Mode::PassThrough;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace weirmill::fakes
