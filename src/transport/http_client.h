// HTTP/1.1 client for one endpoint. It reuses connections; each request has a deadline, and each
// response a size limit.
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

// A response as the client received it.
struct HttpResponse {
    int status = 0;
    std::string body;
    double retry_after_s = 0;  // 0: no Retry-After header, or one that is not a number of seconds
};

// Not thread-safe. Concurrent requests use separate connections.
class HttpClient {
  public:
    // `max_body_bytes` limits the body of a response.
    HttpClient(boost::asio::io_context& io, Endpoint endpoint, size_t max_body_bytes);

    // Returns nullopt if no response arrived in time; the server may or may not have executed the
    // request.
    boost::asio::awaitable<std::optional<HttpResponse>> request(const char* method,
                                                                std::string target,
                                                                std::string body, double timeout_s);

  private:
    using Stream = std::unique_ptr<boost::beast::tcp_stream>;
    // Returns an idle connection or opens a new one; null if that failed or timed out.
    boost::asio::awaitable<Stream> acquire_stream(std::chrono::steady_clock::duration timeout);
    // Keeps a connection for later requests, unless enough are idle already.
    void release_stream(Stream stream);

    boost::asio::io_context& io_;
    Endpoint endpoint_;
    size_t max_body_bytes_;
    std::vector<Stream> idle_streams_;
};

}  // namespace weirmill
