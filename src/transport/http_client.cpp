#include "transport/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <charconv>

#include "transport/http_server.h"

namespace weirmill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
constexpr auto kQuiet = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxIdle = 4;

HttpClient::HttpClient(asio::io_context& io, Endpoint to, size_t body_limit)
    : io_(io), to_(std::move(to)), body_limit_(body_limit) {}

asio::awaitable<std::optional<HttpAnswer>> HttpClient::request(const char* method,
                                                               std::string target, std::string body,
                                                               double timeout_s) {
    Stream stream;
    auto deadline = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(timeout_s));
    if (!idle_.empty()) {
        stream = std::move(idle_.back());
        idle_.pop_back();
        stream->expires_after(deadline);
    } else {
        stream = std::make_unique<beast::tcp_stream>(io_);
        stream->expires_after(deadline);
        auto [ec] = co_await stream->async_connect(resolve(to_), kQuiet);
        if (ec) co_return std::nullopt;
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, to_.text());
    if (!body.empty()) request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    auto [write_ec, written] = co_await http::async_write(*stream, request, kQuiet);
    (void)written;
    if (write_ec) co_return std::nullopt;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit_);
    auto [read_ec, got] = co_await http::async_read(*stream, buffer, parser, kQuiet);
    (void)got;
    if (read_ec) co_return std::nullopt;
    auto response = parser.release();
    HttpAnswer answer{static_cast<int>(response.result_int()), std::move(response.body()), 0};
    auto after = response[http::field::retry_after];
    unsigned seconds = 0;
    if (auto [end, bad] = std::from_chars(after.data(), after.data() + after.size(), seconds);
        bad == std::errc() && end == after.data() + after.size())
        answer.retry_after_s = seconds;
    if (response.keep_alive() && idle_.size() < kMaxIdle) {
        stream->expires_never();
        idle_.push_back(std::move(stream));
    }
    co_return answer;
}

}  // namespace weirmill
