#include "fakes/faulty_link.h"

#include <array>

#include "transport/one_shot.h"

namespace weirmill::fakes {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

struct FaultyLink::Connection {
    Connection(Socket client_socket, Socket server_socket)
        : client(std::move(client_socket)), server(std::move(server_socket)) {}
    Socket client, server;
    void close() {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }
};

FaultyLink::FaultyLink(asio::io_context& io, Endpoint target)
    : io_(io),
      target_(std::move(target)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(io_, accept_loop(), asio::detached);
}

void FaultyLink::set_mode(Mode mode) {
    mode_ = mode;
    if (mode_ != Mode::RefuseConnections) return;
    for (auto& connection : connections_) connection->close();
    connections_.clear();
}

asio::awaitable<void> FaultyLink::accept_loop() {
    for (;;) {
        auto [ec, client] = co_await acceptor_.async_accept(kAsTuple);
        if (ec) co_return;
        if (mode_ == Mode::RefuseConnections) continue;  // the socket closes here
        tcp::socket server(io_);
        auto [failed] = co_await server.async_connect(to_tcp_endpoint(target_), kAsTuple);
        if (failed) continue;
        auto connection = std::make_shared<Connection>(std::move(client), std::move(server));
        connections_.insert(connection);
        asio::co_spawn(io_, forward(connection, false), asio::detached);
        asio::co_spawn(io_, forward(connection, true), asio::detached);
    }
}

asio::awaitable<void> FaultyLink::forward(std::shared_ptr<Connection> connection, bool responses) {
    auto& from = responses ? connection->server : connection->client;
    auto& to = responses ? connection->client : connection->server;
    std::array<char, 16384> bytes;
    for (;;) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(bytes), kAsTuple);
        if (ec) break;
        while (mode_ == Mode::HoldData) co_await sleep_s(0.005);
        if (responses && mode_ == Mode::DropResponses) continue;
        auto [failed, written] = co_await asio::async_write(to, asio::buffer(bytes, n), kAsTuple);
        (void)written;
        if (failed) break;
    }
    connection->close();
    connections_.erase(connection);
}

}  // namespace weirmill::fakes
