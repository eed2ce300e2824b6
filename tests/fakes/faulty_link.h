// TCP proxy between two processes on loopback that injects network faults.
#pragma once
#include <boost/asio.hpp>
#include <memory>
#include <set>

#include "transport/http_server.h"

namespace weirmill::fakes {

// Forwards each connection to its endpoint to the target, as the mode allows.
class FaultyLink {
  public:
    enum class Mode : uint8_t {
        PassThrough,
        RefuseConnections,  // closes existing connections, and new ones at once
        HoldData,           // delivers nothing until the mode changes
        DropResponses,      // delivers requests and discards responses
    };
    FaultyLink(boost::asio::io_context& io, Endpoint target);
    Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    void set_mode(Mode mode);

  private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Connection;
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> forward(std::shared_ptr<Connection> connection, bool responses);

    boost::asio::io_context& io_;
    Endpoint target_;
    Mode mode_ = Mode::PassThrough;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace weirmill::fakes
