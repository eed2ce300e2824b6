// Clock, links, and a small HTTP/1.1 server and client for the stand-ins. One thread, one io_context.
#pragma once
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
template <class T>
using Async = asio::awaitable<T>;
inline constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

inline double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline std::chrono::steady_clock::duration seconds(double s) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(s));
}
inline Async<void> sleep_s(double s) {
    asio::steady_timer timer(co_await asio::this_coro::executor, seconds(std::max(0.0, s)));
    co_await timer.async_wait(kTuple);
}

// State of a link. Hold: what is sent arrives, in order, once the link is open again, except on a connection that was opened
// meanwhile and given up. Refuse: connections are reset.
struct Link {
    enum Mode { Open, Hold, Refuse } mode = Open;
};
inline Async<void> wait_open(const Link* link) {
    while (link && link->mode == Link::Hold) co_await sleep_s(0.01);
}

struct Request {
    std::string method, target, body;
};
struct Reply {
    int status = 200;
    std::string body = "{}";
    bool silent = false;  // the connection is closed without a response, after `silent_s`
    double silent_s = 0;
    std::string path() const { return body; }
};
inline Reply json_reply(int status, const json::value& v) { return {status, json::serialize(v)}; }

using Handler = std::function<Async<Reply>(Request)>;

class Server {
  public:
    Server(asio::io_context& io, Handler handler, const Link* link = nullptr)
        : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          handler_(std::move(handler)),
          link_(link) {
        acceptor_.listen(1024);
        asio::co_spawn(io, accept_loop(), asio::detached);
    }
    uint16_t port() const { return port_; }
    std::string addr() const { return "127.0.0.1:" + std::to_string(port_); }
    void close() {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

  private:
    Async<void> accept_loop() {
        for (;;) {
            auto [ec, socket] = co_await acceptor_.async_accept(kTuple);
            if (ec) co_return;
            if (link_ && link_->mode == Link::Refuse) continue;
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket), handler_, link_),
                           asio::detached);
        }
    }
    static bool given_up(tcp::socket& socket) {
        char c;
        auto n = ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0;
    }
    static Async<void> serve(tcp::socket socket, Handler handler, const Link* link) {
        bool opened_in_cut = link && link->mode == Link::Hold;
        beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(1 << 20);
            auto [ec, n] = co_await http::async_read(socket, buffer, parser, kTuple);
            (void)n;
            if (ec) co_return;
            co_await wait_open(link);
            if (link && link->mode == Link::Refuse) co_return;
            if (opened_in_cut && given_up(socket)) co_return;
            auto request = parser.release();
            Request in{std::string(request.method_string()), std::string(request.target()),
                       std::move(request.body())};
            Reply reply = co_await handler(std::move(in));
            if (reply.silent) {
                co_await sleep_s(reply.silent_s);
                co_return;
            }
            co_await wait_open(link);
            if (link && link->mode == Link::Refuse) co_return;
            http::response<http::string_body> out(static_cast<http::status>(reply.status), 11);
            out.set(http::field::content_type, "application/json");
            out.keep_alive(request.keep_alive());
            out.body() = std::move(reply.body);
            out.prepare_payload();
            auto [wec, wn] = co_await http::async_write(socket, out, kTuple);
            (void)wn;
            if (wec || !request.keep_alive()) co_return;
        }
    }

    tcp::acceptor acceptor_;
    uint16_t port_ = acceptor_.local_endpoint().port();
    Handler handler_;
    const Link* link_;
};

struct Answer {
    int status = 0;  // 0: no response
    std::string body;
    int retry_after = 0;
    std::string text(const char* field) const {
        boost::system::error_code ec;
        auto v = json::parse(body, ec);
        if (ec || !v.is_object()) return "";
        auto* f = v.as_object().if_contains(field);
        return f && f->is_string() ? std::string(f->as_string()) : "";
    }
};

// One request on a connection of its own. The response counts only within `timeout_s`; the connection is closed then.
inline Async<Answer> call(uint16_t port, std::string method, std::string target, std::string body,
                          double timeout_s, const Link* link = nullptr) {
    Answer answer;
    double until = now() + timeout_s;
    while (link && link->mode == Link::Hold) {
        if (now() >= until) co_return answer;
        co_await sleep_s(0.02);
    }
    if (link && link->mode == Link::Refuse) co_return answer;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(seconds(until - now()));
    auto [ec] = co_await stream.async_connect(
        tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), kTuple);
    if (ec) co_return answer;
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::connection, "close");
    if (!body.empty()) request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    auto [wec, wn] = co_await http::async_write(stream, request, kTuple);
    (void)wn;
    if (wec) co_return answer;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(1 << 20);
    auto [rec, rn] = co_await http::async_read(stream, buffer, parser, kTuple);
    (void)rn;
    if (rec) co_return answer;
    // The response is held, or lost, as the link is when it comes.
    while (link && link->mode == Link::Hold) {
        if (now() >= until) co_return answer;
        co_await sleep_s(0.02);
    }
    if (link && link->mode == Link::Refuse) co_return answer;
    auto response = parser.release();
    answer.status = static_cast<int>(response.result_int());
    auto after = response[http::field::retry_after];
    if (!after.empty()) answer.retry_after = std::atoi(std::string(after).c_str());
    answer.body = std::move(response.body());
    co_return answer;
}

// A TCP proxy for the connections between controllers.
class Proxy {
  public:
    Proxy(asio::io_context& io, const Link* link)
        : io_(io), link_(link), acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
        acceptor_.listen(256);
        asio::co_spawn(io, accept_loop(), asio::detached);
    }
    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    uint16_t target = 0;

  private:
    using Socket = std::shared_ptr<tcp::socket>;
    Async<void> accept_loop() {
        for (;;) {
            auto [ec, socket] = co_await acceptor_.async_accept(kTuple);
            if (ec) co_return;
            if (link_->mode == Link::Refuse) continue;
            asio::co_spawn(io_, run(std::make_shared<tcp::socket>(std::move(socket))),
                           asio::detached);
        }
    }
    Async<void> run(Socket client) {
        co_await wait_open(link_);
        char c;
        if (::recv(client->native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0) co_return;
        auto server = std::make_shared<tcp::socket>(io_);
        auto [ec] = co_await server->async_connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), target), kTuple);
        if (ec) co_return;
        boost::system::error_code ignored;
        client->set_option(tcp::no_delay(true), ignored);
        server->set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(io_, pump(client, server), asio::detached);
        asio::co_spawn(io_, pump(server, client), asio::detached);
        asio::co_spawn(io_, reset_on_refusal(client, server), asio::detached);
    }
    Async<void> pump(Socket from, Socket to) {
        std::vector<char> bytes(16384);
        for (;;) {
            auto [ec, n] = co_await from->async_read_some(asio::buffer(bytes), kTuple);
            co_await wait_open(link_);
            if (ec) break;
            auto [wec, wn] = co_await asio::async_write(*to, asio::buffer(bytes.data(), n), kTuple);
            (void)wn;
            if (wec) break;
        }
        boost::system::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }
    Async<void> reset_on_refusal(Socket a, Socket b) {
        while (a->is_open() && b->is_open()) {
            if (link_->mode == Link::Refuse) {
                boost::system::error_code ignored;
                a->close(ignored);
                b->close(ignored);
            }
            co_await sleep_s(0.05);
        }
    }
    asio::io_context& io_;
    const Link* link_;
    tcp::acceptor acceptor_;
};

inline std::mt19937_64& rng() {
    static std::mt19937_64 engine{1};
    return engine;
}
inline double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng()); }
inline int pick(int a, int b) { return std::uniform_int_distribution<int>(a, b)(rng()); }
inline bool chance(double p) { return uniform(0, 1) < p; }
