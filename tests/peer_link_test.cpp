// Tests of the calls between controllers over a link that fails.
#include "transport/peer_link.h"

#include <gtest/gtest.h>

#include "fakes/faulty_link.h"

namespace weirmill {
namespace {

namespace asio = boost::asio;
using fakes::FaultyLink;
using Mode = FaultyLink::Mode;

constexpr double kCallTimeout_s = 5;
constexpr double kTestDeadline_s = 20;
// A call that fails at once takes less than this.
constexpr double kAtOnce_s = 1;

// A server that answers no call, a link to it and a client behind the link.
struct PeerLinkFixture {
    asio::io_context io{1};
    size_t calls_received = 0;
    PeerServer server{io, Endpoint{"127.0.0.1", 0}, [this](PeerCall) { return never_answer(); }};
    FaultyLink link{io, Endpoint{"127.0.0.1", server.port()}};
    PeerClient client{io, link.endpoint()};
    // The duration of each completed call, and whether it was answered.
    std::vector<std::pair<double, bool>> finished;

    asio::awaitable<PeerReply> never_answer() {
        ++calls_received;
        co_await sleep_s(kTestDeadline_s);
        co_return PeerReply{};
    }
    void start_call() {
        asio::co_spawn(
            io,
            [this]() -> asio::awaitable<void> {
                double started = steady_now();
                PeerCall call{PeerOp::Heartbeat, "10.0.0.1", "{}"};
                auto reply = co_await client.call(std::move(call), kCallTimeout_s);
                finished.emplace_back(steady_now() - started, reply.has_value());
            },
            asio::detached);
    }
    bool run_until(const std::function<bool()>& condition) {
        for (double end = steady_now() + kTestDeadline_s; steady_now() < end && !condition();)
            io.run_one_for(std::chrono::milliseconds(1));
        return condition();
    }
};

TEST(PeerLink, CallFailsAtOnceWhenConnectionCloses) {
    // Guards against heartbeats that wait for a reply on a closed connection to the leader.
    PeerLinkFixture fixture;
    for (int i = 0; i < 3; ++i) fixture.start_call();
    ASSERT_TRUE(fixture.run_until([&] { return fixture.calls_received == 3; }));
    double closed_at = steady_now();
    fixture.link.set_mode(Mode::RefuseConnections);
    ASSERT_TRUE(fixture.run_until([&] { return fixture.finished.size() == 3; }));
    EXPECT_LT(steady_now() - closed_at, kAtOnce_s);
    for (auto& [duration_s, answered] : fixture.finished) EXPECT_FALSE(answered);
    // So do calls on a connection that is accepted and closed.
    fixture.start_call();
    ASSERT_TRUE(fixture.run_until([&] { return fixture.finished.size() == 4; }));
    EXPECT_LT(fixture.finished.back().first, kAtOnce_s);
    EXPECT_FALSE(fixture.finished.back().second);
}

TEST(PeerLink, CallOnSilentConnectionWaitsForItsTimeout) {
    // Guards against failing a call early whose reply may still come.
    PeerLinkFixture fixture;
    fixture.link.set_mode(Mode::HoldData);
    fixture.start_call();
    ASSERT_TRUE(fixture.run_until([&] { return fixture.finished.size() == 1; }));
    EXPECT_GE(fixture.finished[0].first, kCallTimeout_s - 0.1);
}

}  // namespace
}  // namespace weirmill
