// HTTP/1.1 server with deadlines and size limits on every connection. Request handling is left to
// the handler.
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

// A request as the server received it.
struct HttpRequest {
    std::string method, target, body;
    std::string client_address;  // ADDRESS:PORT; "?" if unknown
};

// The reply of a request handler.
struct HttpReply {
    int status = 500;
    std::string body;
    int retry_after_s = 0;  // 0: no Retry-After header
    const char* content_type = "application/json";
    // The client is a worker. Workers are many and send requests rarely, so the server closes their
    // connections first when it runs short of sockets.
    bool from_worker = false;
};

// Handles one request. The server replies with status 500 if the handler throws.
using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

// Size limit of a request body; the server rejects a larger one with status 413.
inline constexpr size_t kMaxRequestBodyBytes = 64 * 1024;

// The server keeps connections alive between requests while there are few. Near the connection
// limit it closes idle connections sooner, and connections of workers after each response. At the
// limit it closes the connection that has been idle for the longest time, those of workers first.
// If none is idle, new connections wait in the listen backlog.
class HttpServer {
  public:
    HttpServer(boost::asio::io_context& io, const Endpoint& listen_at, int max_connections,
               HttpHandler handler);
    [[nodiscard]] uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    class Session;
    struct IdleConnection {
        boost::beast::tcp_stream* stream;
        std::chrono::steady_clock::time_point since;
    };
    using IdleConnections = std::list<IdleConnection>;  // ordered by `since`, oldest first
    // Shared with the connections, which may outlive the server.
    struct ConnectionCount {
        explicit ConnectionCount(boost::asio::io_context& io) : closed_signal(io) {}
        int count = 0;
        boost::asio::steady_timer closed_signal;  // cancelled when a connection ends
    };

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    // Waits until the number of connections is below the limit.
    boost::asio::awaitable<void> wait_for_free_slot();
    void close_longest_idle();
    [[nodiscard]] std::chrono::steady_clock::duration idle_timeout() const;
    [[nodiscard]] bool near_limit() const;

    boost::asio::ip::tcp::acceptor acceptor_;
    int max_connections_;
    std::shared_ptr<ConnectionCount> connections_;
    IdleConnections idle_workers_, idle_users_;
    HttpHandler handler_;
};

// Throws SettingsError if the host is not an IP address.
boost::asio::ip::tcp::endpoint to_tcp_endpoint(const Endpoint& endpoint);

}  // namespace weirmill
