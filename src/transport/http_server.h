// HTTP/1.1 server: deadlines and size limits on every connection, no policy.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "settings/settings.h"

namespace weirmill {

struct HttpRequest {
    std::string method, target, body;
    std::string from;  // the other end
};

struct HttpReply {
    int status = 500;
    std::string body;
    int retry_after_s = 0;  // 0: no header
    const char* content_type = "application/json";
};

using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

inline constexpr size_t kMaxBody = 64 * 1024;

class HttpServer {
  public:
    HttpServer(boost::asio::io_context& io, const Endpoint& at, int max_connections, HttpHandler handler);
    uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::ip::tcp::acceptor acceptor_;
    int max_connections_;
    int connections_ = 0;
    HttpHandler handler_;
};

boost::asio::ip::tcp::endpoint resolve(const Endpoint& e);

}  // namespace weirmill
