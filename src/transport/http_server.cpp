#include "transport/http_server.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace weirmill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

namespace {
constexpr auto kIdle = 75s;     // a silent keep-alive connection
constexpr auto kRequest = 10s;  // from the first byte of a request to its last
constexpr auto kWrite = 10s;
constexpr auto kQuiet = asio::as_tuple(asio::use_awaitable);
}  // namespace

tcp::endpoint resolve(const Endpoint& e) {
    boost::system::error_code ec;
    auto address = asio::ip::make_address(e.host, ec);
    if (ec) throw SettingsError("settings: not an IP address: " + e.host);
    return {address, e.port};
}

HttpServer::HttpServer(asio::io_context& io, const Endpoint& at, int max_connections, HttpHandler handler)
    : acceptor_(io), max_connections_(max_connections), handler_(std::move(handler)) {
    auto endpoint = resolve(at);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(256);
    asio::co_spawn(io, accept_loop(), asio::detached);
}

asio::awaitable<void> HttpServer::accept_loop() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(kQuiet);
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) {
            // Out of descriptors: wait for connections to end instead of spinning.
            asio::steady_timer pause(acceptor_.get_executor(), 100ms);
            co_await pause.async_wait(kQuiet);
            continue;
        }
        if (connections_ >= max_connections_) continue;  // closes it
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket) {
    ++connections_;
    struct Leave {
        int& n;
        ~Leave() { --n; }
    } leave{connections_};
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto peer = socket.remote_endpoint(ignored);
    std::string from = ignored ? "?" : peer.address().to_string() + ":" + std::to_string(peer.port());
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(kMaxBody + 16 * 1024);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBody);
        parser.header_limit(8 * 1024);
        stream.expires_after(buffer.size() ? kRequest : kIdle);
        auto [head_ec, head_n] = co_await http::async_read_header(stream, buffer, parser, kQuiet);
        (void)head_n;
        auto ec = head_ec;
        if (!ec && !parser.is_done()) {
            stream.expires_after(kRequest);
            auto [body_ec, body_n] = co_await http::async_read(stream, buffer, parser, kQuiet);
            (void)body_n;
            ec = body_ec;
        }
        HttpReply reply;
        bool keep = false;
        unsigned version = 11;
        if (ec) {
            if (ec == http::error::end_of_stream ||
                ec.category() != http::make_error_code(http::error::body_limit).category())
                co_return;
            reply.status = ec == http::error::body_limit ? 413 : 400;
            reply.body = R"({"error":"malformed request"})";
        } else {
            auto request = parser.release();
            keep = request.keep_alive();
            version = request.version();
            HttpRequest in{std::string(request.method_string()), std::string(request.target()),
                           std::move(request.body()), from};
            stream.expires_never();
            try {
                reply = co_await handler_(std::move(in));
            } catch (const std::exception& e) {
                spdlog::error("http: handler failed: {}", e.what());
                reply = {500, R"({"error":"internal"})"};
            }
        }
        http::response<http::string_body> out(static_cast<http::status>(reply.status), version);
        out.set(http::field::content_type, reply.content_type);
        if (reply.retry_after_s > 0) out.set(http::field::retry_after, std::to_string(reply.retry_after_s));
        out.body() = std::move(reply.body);
        out.keep_alive(keep);
        out.prepare_payload();
        stream.expires_after(kWrite);
        auto [write_ec, written] = co_await http::async_write(stream, out, kQuiet);
        (void)written;
        if (write_ec || !keep) break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

}  // namespace weirmill
