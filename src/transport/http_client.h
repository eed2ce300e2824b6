// HTTP/1.1 client to one endpoint: reused connections, a deadline and a size limit on each request.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
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

// Of one thread. Requests run beside each other, each on a connection of its own.
class HttpClient {
  public:
    // `body_limit`: bytes of an answer.
    HttpClient(boost::asio::io_context& io, Endpoint to, size_t body_limit);

    // Nothing: no answer came in time, and whether the request was executed is unknown.
    boost::asio::awaitable<std::optional<HttpAnswer>> request(const char* method,
                                                              std::string target, std::string body,
                                                              double timeout_s);

  private:
    using Stream = std::unique_ptr<boost::beast::tcp_stream>;
    // An idle connection or a new one; null: it could not be opened in time.
    boost::asio::awaitable<Stream> open_stream(std::chrono::steady_clock::duration timeout);
    void keep(Stream stream);

    boost::asio::io_context& io_;
    Endpoint to_;
    size_t body_limit_;
    std::vector<Stream> idle_;
};

}  // namespace weirmill
