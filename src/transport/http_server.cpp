#include "transport/http_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <optional>
#include <utility>

namespace weirmill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kErrorAsValue = asio::as_tuple(asio::use_awaitable);
// How long an idle keep-alive connection is kept, while there are few and near the limit.
constexpr auto kIdleTimeout = 75s;
constexpr auto kIdleTimeoutNearLimit = 5s;
// Shares of the connection limit. Above the first, the server keeps idle connections for a shorter
// time; above the second, it closes connections of workers after each response. The rest is left to
// users, and to workers that connect one after another.
constexpr double kManyConnections = 0.5, kNearLimit = 0.75;
// A connection that has been idle for less may have a request in transit.
constexpr auto kMinIdleTime = 1s;
constexpr auto kFreeSlotPollInterval = 100ms;
constexpr auto kAcceptRetryDelay = 100ms;
constexpr auto kRequestTimeout = 10s;  // from the first byte of a request to its last
constexpr auto kWriteTimeout = 10s;
constexpr size_t kMaxHeaderBytes = 8 * 1024;
constexpr size_t kMaxBufferBytes = kMaxRequestBodyBytes + 2 * kMaxHeaderBytes;
constexpr unsigned kHttp11 = 11;

using Parser = http::request_parser<http::string_body>;

// Returns true if the request itself was malformed, so that the client can be sent an error, rather
// than the connection lost.
bool is_malformed_request(boost::system::error_code ec) {
    return ec != http::error::end_of_stream &&
           ec.category() == http::make_error_code(http::error::body_limit).category();
}

HttpReply malformed_request_reply(boost::system::error_code ec) {
    HttpReply reply;
    reply.status = ec == http::error::body_limit ? 413 : 400;
    reply.body = R"({"error":"malformed request"})";
    return reply;
}

http::response<http::string_body> to_response(HttpReply reply, unsigned version, bool keep_alive) {
    http::response<http::string_body> out(static_cast<http::status>(reply.status), version);
    out.set(http::field::content_type, reply.content_type);
    if (reply.retry_after_s > 0)
        out.set(http::field::retry_after, std::to_string(reply.retry_after_s));
    out.body() = std::move(reply.body);
    out.keep_alive(keep_alive);
    out.prepare_payload();
    return out;
}

std::string address_of(const tcp::socket& socket) {
    boost::system::error_code ec;
    auto peer = socket.remote_endpoint(ec);
    if (ec) return "?";
    return peer.address().to_string() + ":" + std::to_string(peer.port());
}

}  // namespace

tcp::endpoint to_tcp_endpoint(const Endpoint& endpoint) {
    boost::system::error_code ec;
    auto address = asio::ip::make_address(endpoint.host, ec);
    if (ec) throw SettingsError("settings: not an IP address: " + endpoint.host);
    return {address, endpoint.port};
}

HttpServer::HttpServer(asio::io_context& io, const Endpoint& listen_at, int max_connections,
                       HttpHandler handler)
    : acceptor_(io),
      max_connections_(max_connections),
      connections_(std::make_shared<ConnectionCount>(io)),
      handler_(std::move(handler)) {
    auto endpoint = to_tcp_endpoint(listen_at);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(io, accept_loop(), asio::detached);
}

asio::awaitable<void> HttpServer::accept_loop() {
    for (;;) {
        co_await wait_for_free_slot();
        auto [ec, socket] = co_await acceptor_.async_accept(kErrorAsValue);
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) {
            // The process may be out of file descriptors: wait for connections to end instead of
            // retrying in a busy loop.
            asio::steady_timer delay(acceptor_.get_executor(), kAcceptRetryDelay);
            co_await delay.async_wait(kErrorAsValue);
            continue;
        }
        ++connections_->count;
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::wait_for_free_slot() {
    while (connections_->count >= max_connections_) {
        close_longest_idle();
        connections_->closed_signal.expires_after(kFreeSlotPollInterval);
        co_await connections_->closed_signal.async_wait(kErrorAsValue);
    }
}

// The coroutine of the closed connection ends asynchronously and then wakes the accept loop.
void HttpServer::close_longest_idle() {
    auto now = std::chrono::steady_clock::now();
    for (auto* idle : {&idle_workers_, &idle_users_}) {
        if (idle->empty() || now - idle->front().since < kMinIdleTime) continue;
        idle->front().stream->close();
        return;
    }
}

std::chrono::steady_clock::duration HttpServer::idle_timeout() const {
    const std::chrono::duration<double> longest = kIdleTimeout, shortest = kIdleTimeoutNearLimit;
    const double load = static_cast<double>(connections_->count) / max_connections_;
    const double share =
        std::clamp((load - kManyConnections) / (kNearLimit - kManyConnections), 0.0, 1.0);
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        longest + (shortest - longest) * share);
}

bool HttpServer::near_limit() const { return connections_->count > kNearLimit * max_connections_; }

// Serves the requests of one connection, one after another.
class HttpServer::Session {
  public:
    Session(HttpServer& server, tcp::socket socket)
        : server_(server), client_address_(address_of(socket)), stream_(std::move(socket)) {}

    asio::awaitable<void> run();

  private:
    // Reads the next request into parser_.
    asio::awaitable<boost::system::error_code> read_request();
    asio::awaitable<HttpReply> call_handler(HttpRequest request);
    // Handles the request in parser_ and writes the reply. Returns false if the connection must be
    // closed.
    asio::awaitable<bool> serve_request(boost::system::error_code read_error);

    HttpServer& server_;
    std::string client_address_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{kMaxBufferBytes};
    std::optional<Parser> parser_;  // of the current request
    bool from_worker_ = false;      // copied from the last reply
};

asio::awaitable<void> HttpServer::Session::run() {
    for (;;) {
        const auto ec = co_await read_request();
        if (ec && !is_malformed_request(ec)) co_return;
        const bool keep_alive = co_await serve_request(ec);
        if (!keep_alive) break;
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

asio::awaitable<boost::system::error_code> HttpServer::Session::read_request() {
    parser_.emplace();
    parser_->body_limit(kMaxRequestBodyBytes);
    parser_->header_limit(kMaxHeaderBytes);
    const bool started = buffer_.size() > 0;
    stream_.expires_after(started ? kRequestTimeout : server_.idle_timeout());
    auto& idle = from_worker_ ? server_.idle_workers_ : server_.idle_users_;
    auto entry = idle.insert(idle.end(), {&stream_, std::chrono::steady_clock::now()});
    [[maybe_unused]] auto [header_ec, header_bytes] =
        co_await http::async_read_header(stream_, buffer_, *parser_, kErrorAsValue);
    idle.erase(entry);
    if (header_ec || parser_->is_done()) co_return header_ec;
    stream_.expires_after(kRequestTimeout);
    [[maybe_unused]] auto [body_ec, body_bytes] =
        co_await http::async_read(stream_, buffer_, *parser_, kErrorAsValue);
    co_return body_ec;
}

asio::awaitable<HttpReply> HttpServer::Session::call_handler(HttpRequest request) {
    try {
        co_return co_await server_.handler_(std::move(request));
    } catch (const std::exception& e) {
        spdlog::error("http: handler failed: {}", e.what());
    }
    co_return HttpReply{500, R"({"error":"internal"})"};
}

asio::awaitable<bool> HttpServer::Session::serve_request(boost::system::error_code read_error) {
    HttpReply reply;
    bool keep_alive = false;
    unsigned version = kHttp11;
    if (read_error) {
        reply = malformed_request_reply(read_error);
    } else {
        auto request = parser_->release();
        keep_alive = request.keep_alive();
        version = request.version();
        HttpRequest in{std::string(request.method_string()), std::string(request.target()),
                       std::move(request.body()), client_address_};
        stream_.expires_never();
        reply = co_await call_handler(std::move(in));
    }
    from_worker_ = reply.from_worker;
    if (from_worker_ && server_.near_limit()) keep_alive = false;
    auto response = to_response(std::move(reply), version, keep_alive);
    stream_.expires_after(kWriteTimeout);
    [[maybe_unused]] auto [ec, bytes_written] =
        co_await http::async_write(stream_, response, kErrorAsValue);
    co_return !ec && keep_alive;
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket) {
    struct CountGuard {
        std::shared_ptr<ConnectionCount> connections;
        explicit CountGuard(std::shared_ptr<ConnectionCount> c) : connections(std::move(c)) {}
        CountGuard(const CountGuard&) = delete;
        CountGuard& operator=(const CountGuard&) = delete;
        ~CountGuard() {
            --connections->count;
            connections->closed_signal.cancel();
        }
    };
    const CountGuard guard(connections_);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    Session session(*this, std::move(socket));
    co_await session.run();
}

}  // namespace weirmill
