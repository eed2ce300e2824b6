#include "fakes/faulty_link.h"

#include <array>

#include "transport/one_shot.h"

namespace weirmill::fakes {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
constexpr auto kQuiet = asio::as_tuple(asio::use_awaitable);

struct FaultyLink::Line {
    Line(Socket a, Socket b) : near(std::move(a)), far(std::move(b)) {}
    Socket near, far;
    void close() {
        boost::system::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }
};

FaultyLink::FaultyLink(asio::io_context& io, Endpoint to)
    : io_(io),
      to_(std::move(to)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(io_, accept_loop(), asio::detached);
}

void FaultyLink::set(Is is) {
    is_ = is;
    if (is_ != Is::Refused) return;
    for (auto& line : lines_) line->close();
    lines_.clear();
}

asio::awaitable<void> FaultyLink::accept_loop() {
    for (;;) {
        auto [ec, near] = co_await acceptor_.async_accept(kQuiet);
        if (ec) co_return;
        if (is_ == Is::Refused) continue;  // closed with its socket
        tcp::socket far(io_);
        auto [failed] = co_await far.async_connect(to_tcp_endpoint(to_), kQuiet);
        if (failed) continue;
        auto line = std::make_shared<Line>(std::move(near), std::move(far));
        lines_.insert(line);
        asio::co_spawn(io_, pump(line, false), asio::detached);
        asio::co_spawn(io_, pump(line, true), asio::detached);
    }
}

asio::awaitable<void> FaultyLink::pump(std::shared_ptr<Line> line, bool answers) {
    auto& from = answers ? line->far : line->near;
    auto& to = answers ? line->near : line->far;
    std::array<char, 16384> bytes;
    for (;;) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(bytes), kQuiet);
        if (ec) break;
        while (is_ == Is::Held) co_await sleep_s(0.005);
        if (answers && is_ == Is::AnswersLost) continue;
        auto [failed, written] = co_await asio::async_write(to, asio::buffer(bytes, n), kQuiet);
        (void)written;
        if (failed) break;
    }
    line->close();
    lines_.erase(line);
}

}  // namespace weirmill::fakes
