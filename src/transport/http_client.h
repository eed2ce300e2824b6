// HTTP/1.1 client to one endpoint: reused connections, a deadline and a size limit on each request.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"

namespace weirmill {

struct HttpAnswer {
    int status = 0;
    std::string body;
    double retry_after_s = 0;  // 0: no such header, or one that is no number of seconds
};

class HttpClient {
  public:
    HttpClient(boost::asio::io_context& io, Endpoint to, size_t body_limit);

    // Nothing: no answer came, and whether the request was executed is unknown.
    boost::asio::awaitable<std::optional<HttpAnswer>> request(const char* method,
                                                              std::string target, std::string body,
                                                              double timeout_s);

  private:
    using Stream = std::unique_ptr<boost::beast::tcp_stream>;
    boost::asio::io_context& io_;
    Endpoint to_;
    size_t body_limit_;
    std::vector<Stream> idle_;
};

}  // namespace weirmill
