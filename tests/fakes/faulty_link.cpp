#include "fakes/faulty_link.h"

#include <array>

#include "transport/one_shot.h"

namespace weirmill::fakes {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
constexpr auto kQuiet = asio::as_tuple(asio::use_awaitable);

struct FaultyLink::Connection {
    Connection(Socket a, Socket b) : client(std::move(a)), server(std::move(b)) {}
    Socket client, server;
    void close() {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }
};

FaultyLink::FaultyLink(asio::io_context& io, Endpoint to)
    : io_(io),
      target_(std::move(to)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(io_, accept_loop(), asio::detached);
}

void FaultyLink::set_mode(Mode mode) {
    mode_ = mode;
    if (mode_ != Mode::RefuseConnections) return;
    for (auto& line : connections_) line->close();
    connections_.clear();
}

asio::awaitable<void> FaultyLink::accept_loop() {
    for (;;) {
        auto [ec, near] = co_await acceptor_.async_accept(kQuiet);
        if (ec) co_return;
        if (mode_ == Mode::RefuseConnections) continue;  // closed with its socket
        tcp::socket far(io_);
        auto [failed] = co_await far.async_connect(resolve(target_), kQuiet);
        if (failed) continue;
        auto line = std::make_shared<Connection>(std::move(near), std::move(far));
        connections_.insert(line);
        asio::co_spawn(io_, forward(line, false), asio::detached);
        asio::co_spawn(io_, forward(line, true), asio::detached);
    }
}

asio::awaitable<void> FaultyLink::forward(std::shared_ptr<Connection> line, bool answers) {
    auto& from = answers ? line->server : line->client;
    auto& to = answers ? line->client : line->server;
    std::array<char, 16384> bytes;
    for (;;) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(bytes), kQuiet);
        if (ec) break;
        while (mode_ == Mode::HoldData) co_await sleep_s(0.005);
        if (answers && mode_ == Mode::DropResponses) continue;
        auto [failed, written] = co_await asio::async_write(to, asio::buffer(bytes, n), kQuiet);
        (void)written;
        if (failed) break;
    }
    line->close();
    connections_.erase(line);
}

}  // namespace weirmill::fakes
