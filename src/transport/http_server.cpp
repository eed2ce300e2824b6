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
// A silent keep-alive connection is closed after this, while there are few, and near the limit.
constexpr auto kIdleTimeout = 75s;
constexpr auto kIdleTimeoutNearLimit = 5s;
// Shares of the limit: from the first on, silent connections are kept for a shorter time; from the
// second on, those of machines are closed with their answers. The rest is for users, and for
// machines that come one after another.
constexpr double kManyConnections = 0.5, kNearLimit = 0.75;
constexpr auto kMinSilence = 1s;  // one silent for less may have a request on its way
constexpr auto kRoomPoll = 100ms;
constexpr auto kAcceptPause = 100ms;
constexpr auto kRequestTimeout = 10s;  // from the first byte of a request to its last
constexpr auto kWriteTimeout = 10s;
constexpr size_t kMaxHeader = 8 * 1024;  // bytes
constexpr size_t kMaxBuffer = kMaxBody + 2 * kMaxHeader;
constexpr unsigned kHttp11 = 11;

using Parser = http::request_parser<http::string_body>;

// Whether the request was at fault, so that the client can be told, rather than the connection.
bool is_malformed_request(boost::system::error_code ec) {
    return ec != http::error::end_of_stream &&
           ec.category() == http::make_error_code(http::error::body_limit).category();
}

HttpReply malformed_request(boost::system::error_code ec) {
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

tcp::endpoint resolve(const Endpoint& e) {
    boost::system::error_code ec;
    auto address = asio::ip::make_address(e.host, ec);
    if (ec) throw SettingsError("settings: not an IP address: " + e.host);
    return {address, e.port};
}

HttpServer::HttpServer(asio::io_context& io, const Endpoint& at, int max_connections,
                       HttpHandler handler)
    : acceptor_(io),
      max_connections_(max_connections),
      connections_(std::make_shared<Connections>(io)),
      handler_(std::move(handler)) {
    auto endpoint = resolve(at);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(io, accept_loop(), asio::detached);
}

asio::awaitable<void> HttpServer::accept_loop() {
    for (;;) {
        co_await wait_for_room();
        auto [ec, socket] = co_await acceptor_.async_accept(kErrorAsValue);
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) {
            // Out of descriptors: wait for connections to end instead of spinning.
            asio::steady_timer pause(acceptor_.get_executor(), kAcceptPause);
            co_await pause.async_wait(kErrorAsValue);
            continue;
        }
        ++connections_->count;
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::wait_for_room() {
    while (connections_->count >= max_connections_) {
        close_longest_silent();
        connections_->room.expires_after(kRoomPoll);
        co_await connections_->room.async_wait(kErrorAsValue);
    }
}

// Its coroutine ends a little later, and wakes the accept loop.
void HttpServer::close_longest_silent() {
    auto now = std::chrono::steady_clock::now();
    for (auto* silent : {&silent_machines_, &silent_users_}) {
        if (silent->empty() || now - silent->front().since < kMinSilence) continue;
        silent->front().stream->close();
        return;
    }
}

std::chrono::steady_clock::duration HttpServer::idle_timeout() const {
    const std::chrono::duration<double> few = kIdleTimeout, near = kIdleTimeoutNearLimit;
    const double used = static_cast<double>(connections_->count) / max_connections_;
    const double share =
        std::clamp((used - kManyConnections) / (kNearLimit - kManyConnections), 0.0, 1.0);
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(few +
                                                                           (near - few) * share);
}

bool HttpServer::near_limit() const { return connections_->count > kNearLimit * max_connections_; }

// The requests of one connection, one after another.
class HttpServer::Session {
  public:
    Session(HttpServer& server, tcp::socket socket)
        : server_(server), from_(address_of(socket)), stream_(std::move(socket)) {}

    asio::awaitable<void> run();

  private:
    // Into parser_.
    asio::awaitable<boost::system::error_code> read_request();
    asio::awaitable<HttpReply> call_handler(HttpRequest request);
    // False: the connection is over.
    asio::awaitable<bool> serve_request(boost::system::error_code read_error);

    HttpServer& server_;
    std::string from_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{kMaxBuffer};
    std::optional<Parser> parser_;  // of the present request
    bool from_machine_ = false;     // as the last reply said
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
    parser_->body_limit(kMaxBody);
    parser_->header_limit(kMaxHeader);
    const bool begun = buffer_.size() > 0;
    stream_.expires_after(begun ? kRequestTimeout : server_.idle_timeout());
    auto& silent = from_machine_ ? server_.silent_machines_ : server_.silent_users_;
    auto entry = silent.insert(silent.end(), {&stream_, std::chrono::steady_clock::now()});
    [[maybe_unused]] auto [header_ec, header_n] =
        co_await http::async_read_header(stream_, buffer_, *parser_, kErrorAsValue);
    silent.erase(entry);
    if (header_ec || parser_->is_done()) co_return header_ec;
    stream_.expires_after(kRequestTimeout);
    [[maybe_unused]] auto [body_ec, body_n] =
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
        reply = malformed_request(read_error);
    } else {
        auto request = parser_->release();
        keep_alive = request.keep_alive();
        version = request.version();
        HttpRequest in{std::string(request.method_string()), std::string(request.target()),
                       std::move(request.body()), from_};
        stream_.expires_never();
        reply = co_await call_handler(std::move(in));
    }
    from_machine_ = reply.from_machine;
    if (from_machine_ && server_.near_limit()) keep_alive = false;
    auto response = to_response(std::move(reply), version, keep_alive);
    stream_.expires_after(kWriteTimeout);
    [[maybe_unused]] auto [ec, written] =
        co_await http::async_write(stream_, response, kErrorAsValue);
    co_return !ec && keep_alive;
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket) {
    struct CountGuard {
        std::shared_ptr<Connections> connections;
        explicit CountGuard(std::shared_ptr<Connections> c) : connections(std::move(c)) {}
        CountGuard(const CountGuard&) = delete;
        CountGuard& operator=(const CountGuard&) = delete;
        ~CountGuard() {
            --connections->count;
            connections->room.cancel();
        }
    };
    const CountGuard guard(connections_);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    Session session(*this, std::move(socket));
    co_await session.run();
}

}  // namespace weirmill
