// Capacity limits with 4000 machines that all send a heartbeat within the same second; see
// docs/limits.md.
#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "config/capacity.h"
#include "controller/leader.h"
#include "controller/stop_sender.h"
#include "fixtures.h"
#include "protocol/paths.h"
#include "service_fixture.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"

namespace weirmill::test {
namespace {

constexpr int kMachines = 4000;
constexpr size_t kHeartbeatBytes = 1000;
constexpr double kWorkerReplyTimeout_s = 4;  // the default worker timeout in Settings

// Runs the io_context until the condition holds. Returns false after `timeout_s` seconds.
bool run_until(asio::io_context& io, const std::function<bool()>& condition, double timeout_s) {
    for (double end = steady_now() + timeout_s; steady_now() < end;) {
        if (condition()) return true;
        io.run_one_for(std::chrono::milliseconds(10));
    }
    return condition();
}

// Counts the replies to a burst of requests by status; 0: there was no reply.
struct BurstReplies {
    int completed = 0;
    std::map<int, int> statuses;
    void count(int status) {
        ++completed;
        ++statuses[status];
    }
};

// Returns the heartbeat of a worker that last heard from the leader with this fencing token.
std::string heartbeat_json(int machine, uint64_t fencing_token) {
    json::object report{{"millstone", "machine-" + std::to_string(machine)},
                        {"addr", "127.0.0.1:1"},
                        {"rig", "std"},
                        {"yard", "a"},
                        {"loaners", false},
                        {"shift", 1},
                        {"tick", 1},
                        {"gavel", fencing_token},
                        {"recall_s", nullptr},
                        {"lots", json::array()}};
    return json::serialize(report);
}

asio::awaitable<void> relay_heartbeat(PeerClient& link, BurstReplies& burst) {
    PeerCall call{PeerOp::Heartbeat, "machine", std::string(kHeartbeatBytes, 'r')};
    auto reply = co_await link.call(std::move(call), 5);
    burst.count(reply ? reply->status : 0);
}

asio::awaitable<void> send_heartbeat(asio::io_context& io, Endpoint to, std::string body,
                                     BurstReplies& burst) {
    HttpClient client(io, to, 1024 * 1024);
    auto answer = co_await client.request("POST", std::string(paths::kHeartbeats), std::move(body),
                                          kWorkerReplyTimeout_s);
    burst.count(answer ? answer->status : 0);
}

const std::map<int, int> kAllAccepted{{200, kMachines}};

TEST(PeerLink, CarriesHeartbeatsOf4000MachinesAtOnce) {
    asio::io_context io{1};
    PeerServer server(io, {"127.0.0.1", 0}, [](PeerCall) -> asio::awaitable<PeerReply> {
        co_return PeerReply{200, std::string(200, 'a')};
    });
    PeerClient link(io, {"127.0.0.1", server.port()});
    BurstReplies burst;
    for (int i = 0; i < kMachines; ++i)
        asio::co_spawn(io, relay_heartbeat(link, burst), asio::detached);
    ASSERT_TRUE(run_until(io, [&] { return burst.completed == kMachines; }, 10));
    EXPECT_EQ(burst.statuses, kAllAccepted);
}

TEST(PeerLink, OpensOneConnectionForBurstOfCalls) {
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<asio::ip::tcp::socket> accepted;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (;;) accepted.push_back(co_await acceptor.async_accept(asio::use_awaitable));
        },
        asio::detached);
    PeerClient link(io, {"127.0.0.1", acceptor.local_endpoint().port()});
    BurstReplies burst;
    for (int i = 0; i < 400; ++i) asio::co_spawn(io, relay_heartbeat(link, burst), asio::detached);
    run_until(io, [] { return false; }, 0.5);
    EXPECT_EQ(accepted.size(), 1u);
}

TEST(PeerLink, CallTimeoutKeepsConnectionOfOtherCalls) {
    asio::io_context io{1};
    PeerServer server(io, {"127.0.0.1", 0}, [](PeerCall call) -> asio::awaitable<PeerReply> {
        if (call.op == PeerOp::Submit) co_await sleep_s(1);
        if (call.op == PeerOp::Status) co_await sleep_s(0.6);
        co_return PeerReply{200, "{}"};
    });
    PeerClient link(io, {"127.0.0.1", server.port()});
    std::optional<PeerReply> status;
    bool status_call_done = false;
    auto call = [&](PeerOp op, double timeout_s) -> asio::awaitable<void> {
        PeerCall peer_call{op, "", ""};
        auto reply = co_await link.call(std::move(peer_call), timeout_s);
        if (op != PeerOp::Status) co_return;
        status = reply;
        status_call_done = true;
    };
    asio::co_spawn(io, call(PeerOp::Submit, 0.4), asio::detached);
    asio::co_spawn(io, call(PeerOp::Status, 3), asio::detached);
    asio::co_spawn(io, call(PeerOp::Heartbeat, 3), asio::detached);
    ASSERT_TRUE(run_until(io, [&] { return status_call_done; }, 5));
    EXPECT_TRUE(status.has_value());
}

// After an outage all machines connect within a second, each over a new connection.
TEST(HttpServer, Serves4000MachinesOver400Connections) {
    constexpr int kConnections = 400;
    asio::io_context server_io{1}, io{1};
    HttpServer server(server_io, {"127.0.0.1", 0}, kConnections,
                      [](HttpRequest) -> asio::awaitable<HttpReply> {
                          HttpReply reply{200, "{}"};
                          reply.from_worker = true;
                          co_return reply;
                      });
    Endpoint at{"127.0.0.1", server.port()};
    BurstReplies burst;
    for (int i = 0; i < kMachines; ++i)
        asio::co_spawn(io, send_heartbeat(io, at, std::string(kHeartbeatBytes, 'r'), burst),
                       asio::detached);
    for (double end = steady_now() + 9; burst.completed < kMachines && steady_now() < end;) {
        server_io.poll();
        io.run_one_for(std::chrono::milliseconds(1));
    }
    EXPECT_EQ(burst.statuses, kAllAccepted);
}

// Tests the mailbox of the leader: all heartbeats are queued before the first one is handled.
TEST(Leader, QueuesHeartbeatsOf4000MachinesAtOnce) {
    asio::io_context io{1};
    auto settings = small_settings();
    settings.heartbeat_interval_s = 60;  // avoids further heartbeats during the burst
    fakes::StateService key_value_store(io);
    fakes::Cloud cloud(io, settings);
    settings.state = key_value_store.endpoint_for(0);
    settings.cloud = cloud.endpoint();
    Properties properties;
    Metrics metrics;
    KvClient state(io, settings);
    auto term = std::make_shared<LeadershipTerm>();
    term->fencing_token = 1;
    term->won_at = steady_now();
    term->lease_valid_until = steady_now() + 60;
    auto leader = std::make_shared<Leader>(io, settings, properties, state, metrics, term);
    leader->start();
    ASSERT_TRUE(run_until(io, [&] { return leader->ready(); }, 5));
    BurstReplies burst;
    auto report = [&](int machine) -> asio::awaitable<void> {
        PeerCall call{PeerOp::Heartbeat, "machine", heartbeat_json(machine, 0)};
        auto reply = co_await leader->request(std::move(call));
        burst.count(reply.status);
    };
    for (int i = 0; i < kMachines; ++i) asio::co_spawn(io, report(i), asio::detached);
    ASSERT_TRUE(run_until(io, [&] { return burst.completed == kMachines; }, 5));
    EXPECT_EQ(burst.statuses, kAllAccepted);
    EXPECT_FALSE(term->ended);
    leader->stop();
    run_until(io, [] { return false; }, 0.3);
}

// Sends a heartbeat of every machine to this controller at once, each over a connection of its own.
BurstReplies send_all_heartbeats(ServiceFixture& s, size_t node, uint64_t fencing_token) {
    BurstReplies burst;
    Endpoint at{"127.0.0.1", s.nodes[node]->api_port()};
    for (int i = 0; i < kMachines; ++i)
        asio::co_spawn(s.io, send_heartbeat(s.io, at, heartbeat_json(i, fencing_token), burst),
                       asio::detached);
    for (double end = steady_now() + 8; burst.completed < kMachines && steady_now() < end;) {
        for (size_t i = 0; i < s.node_io.size(); ++i)
            if (s.alive[i]) s.node_io[i]->poll();
        s.io.poll();
    }
    return burst;
}

bool accepts_submission(ServiceFixture& s) { return s.submit("req-1", "array", 1) == 201; }

TEST(RequestRouter, NewLeaderAnswers4000MachinesAtOnce) {
    ServiceFixture s(2);
    ASSERT_TRUE(s.wait_until([&] { return !s.leader_name().empty(); }));
    s.crash_leader();
    ASSERT_TRUE(accepts_submission(s));
    EXPECT_EQ(send_all_heartbeats(s, static_cast<size_t>(s.leader_name().back() - '0'), 0).statuses,
              kAllAccepted);
}

TEST(RequestRouter, FollowerRelays4000HeartbeatsAtOnce) {
    ServiceFixture s(2);
    ASSERT_TRUE(s.wait_until([&] { return !s.leader_name().empty(); }));
    ASSERT_TRUE(accepts_submission(s));
    size_t follower = s.leader_name() == "node-0" ? 1 : 0;
    auto first = s.request_node(1 - follower, "POST", std::string(paths::kHeartbeats),
                                heartbeat_json(kMachines, 0));
    ASSERT_TRUE(first && first->status == 200);
    auto fencing_token = json::parse(first->body).at("gavel").to_number<uint64_t>();
    bool relays = false;  // true once the follower knows the leader
    double end = steady_now() + 5;
    for (int i = 1; !relays && steady_now() < end; ++i) {
        auto reply = s.request_node(follower, "POST", std::string(paths::kHeartbeats),
                                    heartbeat_json(kMachines + i, fencing_token));
        relays = reply && reply->status == 200;
        for (int k = 0; k < 50; ++k) s.poll_once();
    }
    ASSERT_TRUE(relays);
    EXPECT_EQ(send_all_heartbeats(s, follower, fencing_token).statuses, kAllAccepted);
}

// A cancelled job with a task on each of 200 machines, all at one address. Tests set the time in
// context.now.
struct StopFixture {
    static constexpr int kMachineCount = 200;
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    Settings settings = small_settings();
    Properties properties;
    Metrics metrics;
    KvClient kv{io, settings};
    std::shared_ptr<LeadershipTerm> term = std::make_shared<LeadershipTerm>();
    LeaderContext context{io, settings, properties, kv, metrics, term};
    StopSender sender{context};
    asio::ip::tcp::acceptor worker{io, {asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<asio::ip::tcp::socket> accepted;  // connections that are never answered

    explicit StopFixture(bool listening) {
        settings.max_sockets = 1000;  // 62 sockets each for first and for repeated stops
        context.keep_alive = [] { return std::shared_ptr<void>(); };
        auto addr = "127.0.0.1:" + std::to_string(worker.local_endpoint().port());
        if (listening)
            asio::co_spawn(io, accept(), asio::detached);
        else
            worker.close();
        auto& cluster = context.cluster;
        cluster.set_types({{"std", {8000, 0, 64000}, 50, 1, 1.0, 0.4, 30, {"a", "b"}}});
        JobSpec spec;
        spec.id = "cancelled";
        spec.tasks = kMachineCount;
        spec.demand = {1000, 0, 1000};
        spec.team = cluster.names.teams.find("blue");
        spec.job_class = cluster.names.classes.intern("class");
        spec.image = cluster.names.images.intern("image");
        auto job = cluster.add_job(spec, 1000, 0);
        cluster.jobs[job]->record_revision = 1;
        for (uint32_t t = 0; t < kMachineCount; ++t) {
            auto index = cluster.add_machine("machine-" + std::to_string(t), 0);
            auto& machine = *cluster.machines[index];
            cluster.describe_machine(machine, "std", "a", false);
            machine.up = true;
            machine.agent_epoch = 1;
            machine.addr = addr;
            cluster.place(job, t, index, 1, 0);
        }
        cluster.jobs[job]->cancelled = true;
    }

    asio::awaitable<void> accept() {
        for (;;) accepted.push_back(co_await worker.async_accept(asio::use_awaitable));
    }
    void run_for(double seconds) {
        run_until(io, [] { return false; }, seconds);
    }
    // Repeats the stops that are due at this time. Returns the number of machines that were sent
    // repeated stops so far, each counted once per repetition.
    uint64_t repeated_stops_at(double now) {
        context.now = now;
        sender.repeat_stops();
        run_for(0.2);
        auto text = metrics.to_prometheus_text({});
        auto at = text.rfind("stops_repeated_total ");
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + 21));
    }
    // Sends the queued stops, after queuing one for each machine if `queue` is set. Returns the
    // number of sockets opened so far.
    size_t sockets_opened_at(double now, bool queue) {
        context.now = now;
        for (Index i = 0; queue && i < kMachineCount; ++i)
            sender.queue_stop(i, {CommandOp::Stop, "cancelled", i, 1, 0});
        sender.flush_stops();
        run_for(0.2);
        return accepted.size();
    }
};

TEST(StopSender, RepeatsEachStopOncePerHeartbeatInterval) {
    StopFixture f(false);  // connections are refused, so their sockets are free at the next check
    struct {
        double now;
        uint64_t repeated;
    } steps[] = {{100, 62},    {100.5, 124}, {101, 186},   {101.5, 200}, {101.9, 200}, {102, 262},
                 {102.5, 324}, {103, 386},   {103.4, 386}, {103.5, 400}, {103.9, 400}, {104, 462}};
    ASSERT_EQ(stop_sockets(f.settings), 62);
    for (auto& step : steps) EXPECT_EQ(f.repeated_stops_at(step.now), step.repeated) << step.now;
}

// Unanswered stops hold their sockets until they time out, and 62 machines are served in each
// heartbeat interval.
TEST(StopSender, UnansweredRepeatedStopsKeepTheirSockets) {
    StopFixture f(true);
    EXPECT_EQ(f.repeated_stops_at(100), 62u);
    EXPECT_EQ(f.repeated_stops_at(100.5), 62u);
    EXPECT_EQ(f.repeated_stops_at(101.5), 62u);
    EXPECT_EQ(f.repeated_stops_at(102), 124u);
    EXPECT_EQ(f.repeated_stops_at(102.5), 124u);
    EXPECT_EQ(f.accepted.size(), 124u);
    f.run_for(2.2);  // longer than the timeout of the stops
    EXPECT_EQ(f.repeated_stops_at(103), 186u);
}

// The stops that found no free socket are sent by a later flush.
TEST(StopSender, LimitsSocketsOfFirstStops) {
    StopFixture f(true);
    for (auto& machine : f.context.cluster.machines) machine->last_heartbeat = 100;
    EXPECT_EQ(f.sockets_opened_at(100, true), 62u);
    EXPECT_EQ(f.sockets_opened_at(100.3, false), 62u);
    f.run_for(2.2);
    EXPECT_EQ(f.sockets_opened_at(100.6, false), 124u);
}

TEST(StopSender, SilentMachinesUseHalfOfTheSockets) {
    StopFixture f(true);
    EXPECT_EQ(f.sockets_opened_at(100, true), 31u);
    for (Index i = 150; i < 200; ++i) f.context.cluster.machines[i]->last_heartbeat = 100;
    EXPECT_EQ(f.sockets_opened_at(100, false), 62u);
}

}  // namespace
}  // namespace weirmill::test
