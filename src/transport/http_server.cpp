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
constexpr auto kIdle = 75s;     // a silent keep-alive connection, while there are few
constexpr auto kIdleNear = 5s;  // near the limit
// Shares of the limit: from the first on, silent connections are kept for a shorter time; from the
// second on, those of machines are closed with their answers. The rest is for users, and for
// machines that come one after another.
constexpr double kMany = 0.5, kNear = 0.75;
constexpr auto kMinSilent = 1s;  // one silent for less may have a request on its way
constexpr auto kRoomPause = 100ms;
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
        auto [ec, socket] = co_await acceptor_.async_accept(kQuiet);
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) {
            // Out of descriptors: wait for connections to end instead of spinning.
            asio::steady_timer pause(acceptor_.get_executor(), 100ms);
            co_await pause.async_wait(kQuiet);
            continue;
        }
        ++connections_->count;
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::wait_for_room() {
    while (connections_->count >= max_connections_) {
        close_longest_silent();
        connections_->room.expires_after(kRoomPause);
        co_await connections_->room.async_wait(kQuiet);
    }
}

// Its coroutine ends a little later, and wakes the accept loop.
void HttpServer::close_longest_silent() {
    auto now = std::chrono::steady_clock::now();
    for (auto* silent : {&silent_machines_, &silent_users_}) {
        if (silent->empty() || now - silent->front().since < kMinSilent) continue;
        silent->front().stream->close();
        return;
    }
}

std::chrono::duration<double> HttpServer::idle_time() const {
    std::chrono::duration<double> few = kIdle, near = kIdleNear;
    double used = static_cast<double>(connections_->count) / max_connections_;
    double share = std::clamp((used - kMany) / (kNear - kMany), 0.0, 1.0);
    return few + (near - few) * share;
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket) {
    struct Leave {
        std::shared_ptr<Connections> connections;
        ~Leave() {
            --connections->count;
            connections->room.cancel();
        }
    } leave{connections_};
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto peer = socket.remote_endpoint(ignored);
    std::string from =
        ignored ? "?" : peer.address().to_string() + ":" + std::to_string(peer.port());
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(kMaxBody + 16 * 1024);
    bool from_machine = false;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBody);
        parser.header_limit(8 * 1024);
        auto idle = std::chrono::duration_cast<std::chrono::steady_clock::duration>(idle_time());
        stream.expires_after(buffer.size() ? kRequest : idle);
        auto& silent = from_machine ? silent_machines_ : silent_users_;
        auto entry = silent.insert(silent.end(), {&stream, std::chrono::steady_clock::now()});
        auto [head_ec, head_n] = co_await http::async_read_header(stream, buffer, parser, kQuiet);
        silent.erase(entry);
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
        from_machine = reply.from_machine;
        if (from_machine && connections_->count > kNear * max_connections_) keep = false;
        http::response<http::string_body> out(static_cast<http::status>(reply.status), version);
        out.set(http::field::content_type, reply.content_type);
        if (reply.retry_after_s > 0)
            out.set(http::field::retry_after, std::to_string(reply.retry_after_s));
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
