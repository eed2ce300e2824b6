// The whole service over loopback with links that are cut one by one, held, refused, or lose their
// answers. In every case a chain of links from the workers to the state service stands, and the
// work that runs must outlive the cut: each of its tasks starts once.
#include "service_fixture.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using fakes::FaultyLink;
using test::ServiceFixture;
using Mode = FaultyLink::Mode;

ServiceFixture::Options cables(std::set<int> old = {}) {
    ServiceFixture::Options with;
    with.faulty_links = true;
    with.without_membership = std::move(old);
    return with;
}

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

constexpr int kWork = 6;

// Tasks that fill a machine each and run for longer than a worker's lease: they can't outlive a cut
// in which nobody answers for them.
void start_work(ServiceFixture& service) {
    fakes::Job job;
    job.run_s = service.base_settings.lease_s + 2;
    job.tasks = kWork;
    service.cloud->jobs["req-1"] = job;
    auto body = ServiceFixture::with_field(
        ServiceFixture::submission_body("req-1", "array", kWork, 8), "expected_s", 60.0);
    ASSERT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->task_starts.size() == kWork; }));
    // Long enough for a hand-over to be allowed.
    double ready = steady_now() + 0.9;
    service.wait_until([&] { return steady_now() > ready; });
}

void expect_nothing_lost(ServiceFixture& service, const char* what) {
    EXPECT_TRUE(service.wait_until_done("req-1")) << what;
    for (auto& [task, n] : service.cloud->task_starts) EXPECT_EQ(n, 1) << what << ": " << task;
    EXPECT_TRUE(service.cloud->violations.empty()) << what << ": " << service.cloud->violations[0];
}

double figure(ServiceFixture& service, int node, const std::string& name) {
    auto page = service.request_node(static_cast<size_t>(node), "GET", "/metrics", "");
    if (!page) return -1;
    auto at = page->body.find("\nweirmill_" + name + " ");
    return at == std::string::npos ? 0 : std::stod(page->body.substr(at + name.size() + 11));
}

class EveryCut : public testing::TestWithParam<Mode> {};

TEST_P(EveryCut, ALeaderThatLosesTheWorkersHandsOverWhilePeersRefuseEachOther) {
    // It used to keep the leadership until every lease had run out, beside two controllers that
    // reached all workers.
    ServiceFixture service(3, cables());
    start_work(service);
    int old = service.leader_name().back() - '0';
    Links links{service};
    links.peers(Mode::RefuseConnections);
    links.workers(old, GetParam());
    EXPECT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old;
    }));
    expect_nothing_lost(service, "deaf leader");
    EXPECT_EQ(figure(service, old, "hand_overs_total"), 1);
}

INSTANTIATE_TEST_SUITE_P(Links, EveryCut,
                         testing::Values(Mode::RefuseConnections, Mode::HoldData,
                                         Mode::DropResponses));

TEST(LinksService, WhereNoControllerHasBothReportsAndStopsGoOverAPeer) {
    ServiceFixture service(3, cables());
    start_work(service);
    int leader = service.leader_name().back() - '0', a = (leader + 1) % 3, b = (leader + 2) % 3;
    Links links{service};
    links.workers(leader, Mode::HoldData);
    links.state(a, Mode::RefuseConnections);
    links.state(b, Mode::RefuseConnections);
    // A cancellation reaches the workers as well: its stops go by the controller that relays for
    // them.
    fakes::Job job;
    job.run_s = 60;
    EXPECT_EQ(service.submit("req-2", "array", 2, job), 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-2"); }));
    ASSERT_TRUE(service.wait_until([&] {
        return figure(service, leader, "workers_reached") > 0 &&
               figure(service, leader, "workers_direct") == 0;
    }));
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs/req-2/cancel").status, 200);
    EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running("req-2"); }));
    EXPECT_GT(
        figure(service, a, "stops_passed_on_total") + figure(service, b, "stops_passed_on_total"),
        0);
    expect_nothing_lost(service, "no controller has both");
    EXPECT_EQ(service.leader_name().back() - '0', leader);
}

TEST(LinksService, AControllerAloneWithItsWorkersIsLeftByThemAndIsQuietOnItsReturn) {
    // It reaches neither the state service nor a peer, and hears all workers. They are answered
    // until its grace is over and then go to the next leader within their lease; users get nothing
    // that may be old.
    ServiceFixture service(3, cables());
    start_work(service);
    int old = service.leader_name().back() - '0';
    Links links{service};
    links.state(old, Mode::RefuseConnections);
    for (int other : {(old + 1) % 3, (old + 2) % 3})
        links.peer(old, other, Mode::RefuseConnections);
    ASSERT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old;
    }));
    auto next = service.leader_name();
    ASSERT_TRUE(service.wait_until(
        [&] { return figure(service, next.back() - '0', "workers_direct") >= kWork; }));
    auto at_old = [&](const char* method, const std::string& target, const std::string& body = "") {
        auto reply = service.request_node(static_cast<size_t>(old), method, target, body);
        return reply ? reply->status : 0;
    };
    EXPECT_TRUE(service.wait_until([&] { return at_old("GET", "/healthz") == 503; }));
    EXPECT_EQ(at_old("GET", "/v2/runs/req-1"), 503);
    EXPECT_EQ(at_old("GET", "/v2/runs/req-999"), 503);
    EXPECT_EQ(at_old("POST", "/v2/runs", ServiceFixture::submission_body("req-2", "array", 1)),
              503);
    links.state(old, Mode::PassThrough);
    for (int other : {(old + 1) % 3, (old + 2) % 3}) links.peer(old, other, Mode::PassThrough);
    EXPECT_TRUE(service.wait_until([&] { return at_old("GET", "/v2/runs/req-1") == 200; }));
    EXPECT_EQ(figure(service, old, "leading"), 0);
    EXPECT_EQ(service.leader_name(), next);
    expect_nothing_lost(service, "alone with its workers");
}

TEST(LinksService, TwoHopsServeWhereOnlyThoseAreLeft) {
    ServiceFixture service(3, cables());
    start_work(service);
    int leader = service.leader_name().back() - '0', a = (leader + 1) % 3, b = (leader + 2) % 3;
    Links links{service};
    // Workers reach `a` alone, which reaches the leader over `b` alone; neither has the state
    // service.
    links.workers(leader, Mode::RefuseConnections);
    links.workers(b, Mode::RefuseConnections);
    links.peer(a, leader, Mode::RefuseConnections);
    links.state(a, Mode::RefuseConnections);
    links.state(b, Mode::RefuseConnections);
    ASSERT_TRUE(service.wait_until([&] { return figure(service, a, "second_hops_total") > 0; }));
    // Users of the one at the far end are served over both, too.
    service.cloud->jobs["req-2"] = {0.2, false, 1, false, {}};
    std::optional<HttpAnswer> reply;
    EXPECT_TRUE(service.wait_until([&] {
        reply = service.request_node(static_cast<size_t>(a), "POST", "/v2/runs",
                                     ServiceFixture::submission_body("req-2", "array", 1));
        return reply && reply->status != 503;
    }));
    EXPECT_EQ(reply->status, 201);
    expect_nothing_lost(service, "two hops");
    EXPECT_TRUE(service.wait_until_done("req-2"));
}

TEST(LinksService, AllThreeLoseTheStateServiceOneAfterTheOther) {
    ServiceFixture service(3, cables());
    start_work(service);
    Links links{service};
    for (int round = 0; round < 3; ++round) {
        auto old = service.leader_name();
        ASSERT_FALSE(old.empty());
        links.state(old.back() - '0', Mode::RefuseConnections);
        ASSERT_TRUE(service.wait_until([&] {
            return !service.leader_name().empty() && service.leader_name() != old;
        })) << round;
        for (int i = 0; i < 3; ++i)
            if (service.node_settings[i]->name != old) links.state(i, Mode::PassThrough);
    }
    expect_nothing_lost(service, "state service lost in turn");
}

TEST(LinksService, ALinkThatFlapsMovesTheLeadershipOnceAtMost) {
    ServiceFixture service(3, cables());
    start_work(service);
    int old = service.leader_name().back() - '0';
    Links links{service};
    for (int i = 0; i < 12; ++i) {
        links.workers(old, i % 2 ? Mode::PassThrough : Mode::HoldData);
        double until = steady_now() + 0.25;
        service.wait_until([&] { return steady_now() > until; });
    }
    expect_nothing_lost(service, "flapping link");
    double moves = 0;
    for (int i = 0; i < 3; ++i) moves += figure(service, i, "hand_overs_total");
    EXPECT_LE(moves, 1);
}

TEST(LinksService, AYieldWithoutAnAnswerAndASuccessorThatEndsLeaveALeaderAllTheSame) {
    ServiceFixture service(3, cables());
    start_work(service);
    int old = service.leader_name().back() - '0';
    Links links{service};
    // Carried out, and not answered in time: whoever yields does not lead again by itself.
    service.state_service->lose_response_for_key = "m/yield";
    links.peers(Mode::RefuseConnections);
    links.workers(old, Mode::HoldData);
    ASSERT_TRUE(service.wait_until([&] {
        return !service.leader_name().empty() && service.leader_name().back() - '0' != old;
    }));
    int next = service.leader_name().back() - '0';
    service.crash(next);
    ASSERT_TRUE(service.wait_until([&] {
        auto now = service.leader_name();
        return !now.empty() && now.back() - '0' != next;
    }));
    links.workers(old, Mode::PassThrough);
    links.peers(Mode::PassThrough);
    expect_nothing_lost(service, "a hand-over during a hand-over");
}

TEST(LinksService, OlderControllersThatSayNothingOfLinksAreNotYieldedToAndRelay) {
    // A rolling upgrade: the leader is new, the others are not yet.
    ServiceFixture service(3, cables({1, 2}));
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
    start_work(service);
    Links{service}.workers(0, Mode::HoldData);
    expect_nothing_lost(service, "older peers");
    EXPECT_EQ(service.leader_name(), "node-0");
    EXPECT_EQ(figure(service, 0, "hand_overs_total"), 0);
}

TEST(LinksService, HalfOfTheWorkersAreCutFromOneControllerAndHalfFromAnother) {
    ServiceFixture service(3, cables());
    start_work(service);
    int leader = service.leader_name().back() - '0', n = 0;
    for (auto& [name, worker] : service.cloud->workers)
        worker->unreachable_controller = n++ % 2 ? leader : (leader + 1) % 3;
    expect_nothing_lost(service, "halves");
    EXPECT_EQ(service.leader_name().back() - '0', leader);  // no other hears more of them
}

TEST(LinksService, AControllerThatStoodStillWakesWithAnOldViewAndDoesNoHarm) {
    for (bool leads : {true, false}) {
        ServiceFixture service(3, cables());
        start_work(service);
        int old = service.leader_name().back() - '0', still = leads ? old : (old + 1) % 3;
        Links links{service};
        links.peers(Mode::RefuseConnections);
        service.crash(still);  // nothing of it runs, its connections stand
        double until = steady_now() + 3;
        service.wait_until([&] { return steady_now() > until; });
        service.alive[still] = true;
        links.workers(still, Mode::HoldData);
        service.wait_until([&] { return steady_now() > until + 1; });
        links.workers(still, Mode::PassThrough);
        links.peers(Mode::PassThrough);
        expect_nothing_lost(service, leads ? "frozen leader" : "frozen follower");
        EXPECT_EQ(service.leader_name().back() - '0' == old, !leads);
    }
}

TEST(LinksService, ALeaderCutFromEverythingButItsUsersSendsThemElsewhere) {
    ServiceFixture service(3, cables());
    start_work(service);
    int old = service.leader_name().back() - '0';
    Links links{service};
    links.peers(Mode::RefuseConnections);
    links.state(old, Mode::HoldData);
    EXPECT_TRUE(service.wait_until([&] {
        auto health = service.request_node(static_cast<size_t>(old), "GET", "/healthz", "");
        return health && health->status == 503;
    }));
    expect_nothing_lost(service, "cut from all but users");
}

}  // namespace
}  // namespace weirmill
