#include "transport/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <charconv>
#include <utility>

#include "transport/clock.h"
#include "transport/http_server.h"

namespace weirmill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kErrorAsValue = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxIdleConnections = 4;
constexpr unsigned kHttp11 = 11;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

Request make_request(const char* method, const std::string& target, const std::string& host,
                     std::string body) {
    Request request(http::string_to_verb(method), target, kHttp11);
    request.set(http::field::host, host);
    if (!body.empty()) request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

// Returns 0 if the header is missing or not a number of seconds.
double retry_after_s(const Response& response) {
    auto text = response[http::field::retry_after];
    const char* end = text.data() + text.size();
    unsigned seconds = 0;
    auto [parsed_to, ec] = std::from_chars(text.data(), end, seconds);
    return ec == std::errc() && parsed_to == end ? seconds : 0;
}

}  // namespace

HttpClient::HttpClient(asio::io_context& io, Endpoint endpoint, size_t max_body_bytes)
    : io_(io), endpoint_(std::move(endpoint)), max_body_bytes_(max_body_bytes) {}

asio::awaitable<HttpClient::Stream> HttpClient::acquire_stream(
    std::chrono::steady_clock::duration timeout) {
    if (!idle_streams_.empty()) {
        auto idle = std::move(idle_streams_.back());
        idle_streams_.pop_back();
        idle->expires_after(timeout);
        co_return idle;
    }
    auto stream = std::make_unique<beast::tcp_stream>(io_);
    stream->expires_after(timeout);
    auto [ec] = co_await stream->async_connect(to_tcp_endpoint(endpoint_), kErrorAsValue);
    if (ec) co_return nullptr;
    boost::system::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
    co_return stream;
}

void HttpClient::release_stream(Stream stream) {
    if (idle_streams_.size() >= kMaxIdleConnections) return;
    stream->expires_never();
    idle_streams_.push_back(std::move(stream));
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::request(const char* method,
                                                                 std::string target,
                                                                 std::string body,
                                                                 double timeout_s) {
    // The deadline set here on the stream covers connecting, writing and reading.
    auto stream = co_await acquire_stream(steady_duration(timeout_s));
    if (!stream) co_return std::nullopt;
    auto request = make_request(method, target, endpoint_.text(), std::move(body));
    [[maybe_unused]] auto [write_ec, bytes_written] =
        co_await http::async_write(*stream, request, kErrorAsValue);
    if (write_ec) co_return std::nullopt;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes_);
    [[maybe_unused]] auto [read_ec, bytes_read] =
        co_await http::async_read(*stream, buffer, parser, kErrorAsValue);
    if (read_ec) co_return std::nullopt;
    auto response = parser.release();
    const bool keep_alive = response.keep_alive();
    HttpResponse result{static_cast<int>(response.result_int()), std::move(response.body()),
                        retry_after_s(response)};
    if (keep_alive) release_stream(std::move(stream));
    co_return result;
}

}  // namespace weirmill
