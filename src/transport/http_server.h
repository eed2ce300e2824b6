// HTTP/1.1 server: deadlines and size limits on every connection, no policy.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config/settings.h"

namespace weirmill {

struct HttpRequest {
    std::string method, target, body;
    std::string from;  // the client's ADDRESS:PORT; "?": not known
};

struct HttpReply {
    int status = 500;
    std::string body;
    int retry_after_s = 0;  // 0: no header
    const char* content_type = "application/json";
    // Asked by one of many that each ask rarely: closed first when sockets run short.
    bool from_machine = false;
};

// Serves one request. An exception becomes a 500.
using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

// Of a request, in bytes; a larger one gets a 413.
inline constexpr size_t kMaxBody = 64 * 1024;

// Connections are kept between requests while there are few. Near the limit they are kept for a
// shorter time, and those of machines are closed with their answers. At the limit the one that has
// been silent the longest makes room, machines' first; where each is being answered, further ones
// wait in the listen backlog.
class HttpServer {
  public:
    HttpServer(boost::asio::io_context& io, const Endpoint& at, int max_connections,
               HttpHandler handler);
    [[nodiscard]] uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    class Session;
    struct SilentConnection {
        boost::beast::tcp_stream* stream;
        std::chrono::steady_clock::time_point since;
    };
    using SilentConnections = std::list<SilentConnection>;  // the longest silent first
    // Outlives the server where connections do.
    struct Connections {
        explicit Connections(boost::asio::io_context& io) : room(io) {}
        int count = 0;
        boost::asio::steady_timer room;  // cancelled when a connection ends
    };

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    // Waits until a further connection may be served.
    boost::asio::awaitable<void> wait_for_room();
    void close_longest_silent();
    [[nodiscard]] std::chrono::steady_clock::duration idle_timeout() const;
    [[nodiscard]] bool near_limit() const;

    boost::asio::ip::tcp::acceptor acceptor_;
    int max_connections_;
    std::shared_ptr<Connections> connections_;
    SilentConnections silent_machines_, silent_users_;
    HttpHandler handler_;
};

// Throws SettingsError where the host is no IP address.
boost::asio::ip::tcp::endpoint resolve(const Endpoint& e);

}  // namespace weirmill
