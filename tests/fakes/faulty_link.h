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
    enum class Is : uint8_t {
        Up,
        Refused,      // new connections are closed at once, and so are those that stood
        Held,         // nothing passes; it is delivered once the link is up again
        AnswersLost,  // what is asked arrives and is carried out, what is answered is thrown away
    };
    FaultyLink(boost::asio::io_context& io, Endpoint to);
    Endpoint at() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    void set(Is is);

  private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Line;
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> pump(std::shared_ptr<Line> line, bool answers);

    boost::asio::io_context& io_;
    Endpoint to_;
    Is is_ = Is::Up;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Line>> lines_;
};

}  // namespace weirmill::fakes
