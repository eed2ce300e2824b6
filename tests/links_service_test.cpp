// Tests of the whole service with faults of single links between processes. In every test a path
// from the workers to the state service remains, so running tasks must survive: each starts exactly
// once.
#include "service_fixture.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using fakes::FaultyLink;
using test::ServiceFixture;
using Mode = FaultyLink::Mode;

// Returns options with a FaultyLink in each connection.
ServiceFixture::Options faulty_link_options(std::set<int> without_membership = {}) {
    ServiceFixture::Options options;
    options.faulty_links = true;
    options.without_membership = std::move(without_membership);
    return options;
}

// Sets the mode of groups of links; `i` is the index of the controller.
struct Links {
    ServiceFixture& service;
    void peers(Mode mode) {
        for (auto& [ends, faulty_link] : service.peer_links) faulty_link->set_mode(mode);
    }
    void peer(int a, int b, Mode mode) {
        service.peer_links.at({a, b})->set_mode(mode);
        service.peer_links.at({b, a})->set_mode(mode);
    }
    void workers(int i, Mode mode) { service.worker_links[i]->set_mode(mode); }
    void state(int i, Mode mode) { service.kv_links[i]->set_mode(mode); }
};

constexpr int kTaskCount = 6;

// Starts tasks that fill a machine each and run for longer than a worker lease, so that they only
// survive a fault during which controllers answer the workers.
void start_long_tasks(ServiceFixture& service) {
    fakes::Job job;
    job.run_s = service.base_settings.lease_s + 2;
    job.tasks = kTaskCount;
    service.cloud->jobs["req-1"] = job;
    auto body = ServiceFixture::with_field(
        ServiceFixture::submission_body("req-1", "array", kTaskCount, 8), "expected_s", 60.0);
    ASSERT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 201);
    ASSERT_TRUE(
        service.wait_until([&] { return service.cloud->task_starts.size() == kTaskCount; }));
    // Waits until the leader may hand over.
    double ready = steady_now() + 0.9;
    service.wait_until([&] { return steady_now() > ready; });
}

void expect_tasks_ran_once(ServiceFixture& service, const char* what) {
    EXPECT_TRUE(service.wait_until_done("req-1")) << what;
    for (auto& [task, n] : service.cloud->task_starts) EXPECT_EQ(n, 1) << what << ": " << task;
    EXPECT_TRUE(service.cloud->violations.empty()) << what << ": " << service.cloud->violations[0];
}

// Returns the value of a metric at a node: 0 if the page lacks it, -1 if the node does not answer.
double metric(ServiceFixture& service, int node, const std::string& name) {
    auto page = service.request_node(static_cast<size_t>(node), "GET", "/metrics", "");
    if (!page) return -1;
    auto at = page->body.find("\nweirmill_" + name + " ");
    return at == std::string::npos ? 0 : std::stod(page->body.substr(at + name.size() + 11));
}

class WorkerLinkFault : public testing::TestWithParam<Mode> {};

TEST_P(WorkerLinkFault, LeaderWithoutWorkersHandsOver) {
    // The leader once kept the leadership until all worker leases had expired, although two other
    // controllers reached all workers.
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int old_leader = service.leader_name().back() - '0';
    Links links{service};
    links.peers(Mode::RefuseConnections);
    links.workers(old_leader, GetParam());
    EXPECT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old_leader;
    }));
    expect_tasks_ran_once(service, "leader without workers");
    EXPECT_EQ(metric(service, old_leader, "hand_overs_total"), 1);
}

INSTANTIATE_TEST_SUITE_P(Links, WorkerLinkFault,
                         testing::Values(Mode::RefuseConnections, Mode::HoldData,
                                         Mode::DropResponses));

// Returns how many leadership transfers the controllers have asked for.
double count_transfers(ServiceFixture& service) {
    double transfers = 0;
    for (int i = 0; i < 3; ++i) transfers += metric(service, i, "hand_overs_total");
    return transfers;
}

void run_for(ServiceFixture& service, double seconds) {
    double until = steady_now() + seconds;
    service.wait_until([&] { return steady_now() > until; });
}

TEST(LinksService, SuccessorIgnoresCountsOfEarlierTerm) {
    // Guards against a successor that hands back before its workers arrive, because of old counts.
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    auto old_leader = service.leader_name();
    auto old_token = service.state_service->version("leader");
    Links links{service};
    links.peers(Mode::RefuseConnections);
    links.workers(old_leader.back() - '0', Mode::RefuseConnections);
    ASSERT_TRUE(service.wait_until(
        [&] { return !service.leader_name().empty() && service.leader_name() != old_leader; }));
    auto successor = service.leader_name();
    // The workers are on their way, and the record of the former leader still has them all.
    for (auto& [name, worker] : service.cloud->workers) worker->paused = true;
    service.state_service->put("m/c/" + old_leader, json::object{{"state", true},
                                                                 {"direct", kTaskCount},
                                                                 {"reach", kTaskCount},
                                                                 {"known", 0},
                                                                 {"token", old_token},
                                                                 {"hears", json::array{}}});
    run_for(service, 1.2);
    for (auto& [name, worker] : service.cloud->workers) worker->paused = false;
    EXPECT_EQ(service.leader_name(), successor);
    expect_tasks_ran_once(service, "late workers");
    EXPECT_EQ(service.leader_name(), successor);
    EXPECT_EQ(count_transfers(service), 1);
}

TEST(LinksService, LeaderStepsDownBeforeWorkerLeasesExpire) {
    // Guards against a pause between transfers that outlasts the leases of the lost workers.
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    auto old_leader = service.leader_name();
    // After six transfers in short succession the pause is 9.6 s, and the leases last 6 s.
    service.state_service->put(
        "m/yield",
        json::object{{"from", "node-9"}, {"to", old_leader}, {"count", 6}, {"at", wall_now()}});
    Links links{service};
    links.peers(Mode::RefuseConnections);
    links.workers(old_leader.back() - '0', Mode::RefuseConnections);
    EXPECT_TRUE(service.wait_until(
        [&] { return !service.leader_name().empty() && service.leader_name() != old_leader; }));
    expect_tasks_ran_once(service, "step down within a pause");
    EXPECT_EQ(metric(service, old_leader.back() - '0', "hand_overs_total"), 1);
}

class ProtocolRatioLinkFault : public testing::TestWithParam<Mode> {};

TEST_P(ProtocolRatioLinkFault, LeaderWithoutWorkersHandsOver) {
    // Guards against a leader that takes heartbeats whose answers are lost for workers it reaches.
    auto options = faulty_link_options();
    options.protocol_ratios = true;
    ServiceFixture service(3, options);
    start_long_tasks(service);
    int old_leader = service.leader_name().back() - '0';
    run_for(service, 1);
    Links links{service};
    links.peers(Mode::RefuseConnections);
    links.workers(old_leader, GetParam());
    EXPECT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old_leader;
    }));
    expect_tasks_ran_once(service, "leader without workers");
    EXPECT_EQ(metric(service, old_leader, "hand_overs_total"), 1);
}

INSTANTIATE_TEST_SUITE_P(Links, ProtocolRatioLinkFault,
                         testing::Values(Mode::RefuseConnections, Mode::HoldData,
                                         Mode::DropResponses));

TEST(LinksService, FailedTransferIsNotFollowedByOwnCampaign) {
    // Guards against a leader that leads again after its transfer was refused, and transfers again.
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int old_leader = service.leader_name().back() - '0';
    Links links{service};
    service.state_service->refuse_deletes = true;
    links.peers(Mode::RefuseConnections);
    links.workers(old_leader, Mode::DropResponses);
    ASSERT_TRUE(service.wait_until([&] {
        return metric(service, old_leader, "hand_overs_unconfirmed_total") == 1 ||
               metric(service, old_leader, "hand_overs_total") == 1;
    }));
    // The other controllers learn late that the leader key is deleted.
    auto set_others = [&](Mode mode) {
        for (int i = 0; i < 3; ++i)
            if (i != old_leader) links.state(i, mode);
    };
    set_others(Mode::HoldData);
    service.state_service->refuse_deletes = false;
    ASSERT_TRUE(service.wait_until([&] { return service.leader_name().empty(); }));
    run_for(service, 0.5);
    set_others(Mode::PassThrough);
    ASSERT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old_leader;
    }));
    expect_tasks_ran_once(service, "failed transfer");
    EXPECT_EQ(metric(service, old_leader, "hand_overs_total"), 1);
}

TEST(LinksService, PeerRelaysWhenNoControllerHasAllLinks) {
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int leader = service.leader_name().back() - '0', a = (leader + 1) % 3, b = (leader + 2) % 3;
    Links links{service};
    links.workers(leader, Mode::HoldData);
    links.state(a, Mode::RefuseConnections);
    links.state(b, Mode::RefuseConnections);
    // Stop commands of a cancellation go through the controller that relays for the workers.
    fakes::Job job;
    job.run_s = 60;
    EXPECT_EQ(service.submit("req-2", "array", 2, job), 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-2"); }));
    ASSERT_TRUE(service.wait_until([&] {
        return metric(service, leader, "workers_reached") > 0 &&
               metric(service, leader, "workers_direct") == 0;
    }));
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs/req-2/cancel").status, 200);
    EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running("req-2"); }));
    EXPECT_GT(
        metric(service, a, "stops_passed_on_total") + metric(service, b, "stops_passed_on_total"),
        0);
    expect_tasks_ran_once(service, "no controller has all links");
    EXPECT_EQ(service.leader_name().back() - '0', leader);
}

TEST(LinksService, IsolatedLeaderLosesItsWorkersAndRejoins) {
    // The leader reaches its workers, but neither the state service nor a peer. It answers the
    // workers for its grace period; then they move to the next leader within their lease. Users get
    // no response that may be outdated.
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int old_leader = service.leader_name().back() - '0';
    Links links{service};
    links.state(old_leader, Mode::RefuseConnections);
    for (int other : {(old_leader + 1) % 3, (old_leader + 2) % 3})
        links.peer(old_leader, other, Mode::RefuseConnections);
    ASSERT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old_leader;
    }));
    auto next = service.leader_name();
    ASSERT_TRUE(service.wait_until(
        [&] { return metric(service, next.back() - '0', "workers_direct") >= kTaskCount; }));
    auto status_at_old = [&](const char* method, const std::string& target,
                             const std::string& body = "") {
        auto reply = service.request_node(static_cast<size_t>(old_leader), method, target, body);
        return reply ? reply->status : 0;
    };
    EXPECT_TRUE(service.wait_until([&] { return status_at_old("GET", "/healthz") == 503; }));
    EXPECT_EQ(status_at_old("GET", "/v2/runs/req-1"), 503);
    EXPECT_EQ(status_at_old("GET", "/v2/runs/req-999"), 503);
    EXPECT_EQ(
        status_at_old("POST", "/v2/runs", ServiceFixture::submission_body("req-2", "array", 1)),
        503);
    links.state(old_leader, Mode::PassThrough);
    for (int other : {(old_leader + 1) % 3, (old_leader + 2) % 3})
        links.peer(old_leader, other, Mode::PassThrough);
    EXPECT_TRUE(service.wait_until([&] { return status_at_old("GET", "/v2/runs/req-1") == 200; }));
    EXPECT_EQ(metric(service, old_leader, "leading"), 0);
    EXPECT_EQ(service.leader_name(), next);
    expect_tasks_ran_once(service, "isolated leader");
}

TEST(LinksService, TwoHopRelayServesWorkersAndUsers) {
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int leader = service.leader_name().back() - '0', a = (leader + 1) % 3, b = (leader + 2) % 3;
    Links links{service};
    // Workers only reach `a`, which reaches the leader only through `b`. Neither reaches the state
    // service.
    links.workers(leader, Mode::RefuseConnections);
    links.workers(b, Mode::RefuseConnections);
    links.peer(a, leader, Mode::RefuseConnections);
    links.state(a, Mode::RefuseConnections);
    links.state(b, Mode::RefuseConnections);
    ASSERT_TRUE(service.wait_until([&] { return metric(service, a, "second_hops_total") > 0; }));
    // Requests of users at `a` take the same two hops.
    service.cloud->jobs["req-2"] = {0.2, false, 1, false, {}};
    std::optional<HttpResponse> reply;
    EXPECT_TRUE(service.wait_until([&] {
        reply = service.request_node(static_cast<size_t>(a), "POST", "/v2/runs",
                                     ServiceFixture::submission_body("req-2", "array", 1));
        return reply && reply->status != 503;
    }));
    EXPECT_EQ(reply->status, 201);
    expect_tasks_ran_once(service, "two hops");
    EXPECT_TRUE(service.wait_until_done("req-2"));
}

TEST(LinksService, LeadersLoseTheStateServiceInTurn) {
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    Links links{service};
    for (int round = 0; round < 3; ++round) {
        auto old_leader = service.leader_name();
        ASSERT_FALSE(old_leader.empty());
        links.state(old_leader.back() - '0', Mode::RefuseConnections);
        ASSERT_TRUE(service.wait_until([&] {
            return !service.leader_name().empty() && service.leader_name() != old_leader;
        })) << round;
        for (int i = 0; i < 3; ++i)
            if (service.node_settings[i]->name != old_leader) links.state(i, Mode::PassThrough);
    }
    expect_tasks_ran_once(service, "state service lost in turn");
}

TEST(LinksService, FlappingLinkMovesLeadershipAtMostOnce) {
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int old_leader = service.leader_name().back() - '0';
    Links links{service};
    for (int i = 0; i < 12; ++i) {
        links.workers(old_leader, i % 2 ? Mode::PassThrough : Mode::HoldData);
        double until = steady_now() + 0.25;
        service.wait_until([&] { return steady_now() > until; });
    }
    expect_tasks_ran_once(service, "flapping link");
    double moves = 0;
    for (int i = 0; i < 3; ++i) moves += metric(service, i, "hand_overs_total");
    EXPECT_LE(moves, 1);
}

TEST(LinksService, LeaderEmergesAfterInterruptedHandOver) {
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int old_leader = service.leader_name().back() - '0';
    Links links{service};
    // The transaction that yields is executed, but its response is lost: the leader that yielded
    // must not lead again on its own.
    service.state_service->lose_response_for_key = "m/yield";
    links.peers(Mode::RefuseConnections);
    links.workers(old_leader, Mode::HoldData);
    ASSERT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old_leader;
    }));
    int next = service.leader_name().back() - '0';
    service.crash(next);
    ASSERT_TRUE(service.wait_until([&] {
        auto now = service.leader_name();
        return !now.empty() && now.back() - '0' != next;
    }));
    links.workers(old_leader, Mode::PassThrough);
    links.peers(Mode::PassThrough);
    expect_tasks_ran_once(service, "interrupted hand-over");
}

TEST(LinksService, OlderControllersRelayButNeverSucceed) {
    // During a rolling upgrade the leader runs the new version and the others the old one, which
    // has no link records.
    ServiceFixture service(3, faulty_link_options({1, 2}));
    ASSERT_TRUE(service.wait_until([&] { return !service.leader_name().empty(); }));
    for (int i = 0; service.leader_name() != "node-0" && i < 20; ++i) {
        int other = service.leader_name().back() - '0';
        Links{service}.state(other, Mode::RefuseConnections);
        ASSERT_TRUE(service.wait_until([&] {
            return !service.leader_name().empty() && service.leader_name().back() - '0' != other;
        }));
        Links{service}.state(other, Mode::PassThrough);
    }
    ASSERT_EQ(service.leader_name(), "node-0");
    start_long_tasks(service);
    Links{service}.workers(0, Mode::HoldData);
    expect_tasks_ran_once(service, "older controllers");
    EXPECT_EQ(service.leader_name(), "node-0");
    EXPECT_EQ(metric(service, 0, "hand_overs_total"), 0);
}

TEST(LinksService, SplitWorkersKeepTheLeader) {
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int leader = service.leader_name().back() - '0', n = 0;
    for (auto& [name, worker] : service.cloud->workers)
        worker->unreachable_controller = n++ % 2 ? leader : (leader + 1) % 3;
    expect_tasks_ran_once(service, "split workers");
    EXPECT_EQ(service.leader_name().back() - '0',
              leader);  // no other controller reaches more workers
}

TEST(LinksService, PausedControllerResumesHarmlessly) {
    for (bool leads : {true, false}) {
        ServiceFixture service(3, faulty_link_options());
        start_long_tasks(service);
        int old_leader = service.leader_name().back() - '0',
            paused = leads ? old_leader : (old_leader + 1) % 3;
        Links links{service};
        links.peers(Mode::RefuseConnections);
        service.crash(paused);  // its process is paused, and its connections stay open
        double until = steady_now() + 3;
        service.wait_until([&] { return steady_now() > until; });
        service.alive[paused] = true;
        links.workers(paused, Mode::HoldData);
        service.wait_until([&] { return steady_now() > until + 1; });
        links.workers(paused, Mode::PassThrough);
        links.peers(Mode::PassThrough);
        expect_tasks_ran_once(service, leads ? "paused leader" : "paused follower");
        EXPECT_EQ(service.leader_name().back() - '0' == old_leader, !leads);
    }
}

TEST(LinksService, LeaderWithOnlyUserLinksReportsUnhealthy) {
    ServiceFixture service(3, faulty_link_options());
    start_long_tasks(service);
    int old_leader = service.leader_name().back() - '0';
    Links links{service};
    links.peers(Mode::RefuseConnections);
    links.state(old_leader, Mode::HoldData);
    EXPECT_TRUE(service.wait_until([&] {
        auto health = service.request_node(static_cast<size_t>(old_leader), "GET", "/healthz", "");
        return health && health->status == 503;
    }));
    expect_tasks_ran_once(service, "leader with only user links");
}

}  // namespace
}  // namespace weirmill
