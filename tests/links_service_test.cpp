// The whole service over loopback with links that are cut one by one, held, refused, or lose their
// answers. In every case a chain of links from the workers to the state service stands, and the
// work that runs must outlive the cut: each of its tasks starts once.
#include "service.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using fakes::FaultyLink;
using test::Service;
using Is = FaultyLink::Is;

Service::With cables(std::set<int> old = {}) {
    Service::With with;
    with.links = true;
    with.old = std::move(old);
    return with;
}

struct Links {
    Service& s;
    void peers(Is is) {
        for (auto& [ends, faulty_link] : s.peer_links) faulty_link->set(is);
    }
    void peer(int a, int b, Is is) {
        s.peer_links.at({a, b})->set(is);
        s.peer_links.at({b, a})->set(is);
    }
    void workers(int i, Is is) { s.worker_cables[i]->set(is); }
    void state(int i, Is is) { s.kv_links[i]->set(is); }
};

constexpr int kWork = 6;

// Tasks that fill a machine each and run for longer than a worker's lease: they can't outlive a cut
// in which nobody answers for them.
void start_work(Service& s) {
    fakes::Job job;
    job.run_s = s.base.lease_s + 2;
    job.tasks = kWork;
    s.cloud->jobs["req-1"] = job;
    auto body = Service::with(Service::submission("req-1", "array", kWork, 8), "expected_s", 60.0);
    ASSERT_EQ(s.ask("POST", "/v2/runs", body).status, 201);
    ASSERT_TRUE(s.until([&] { return s.cloud->starts.size() == kWork; }));
    // Long enough for a hand-over to be allowed.
    double ready = steady_now() + 0.9;
    s.until([&] { return steady_now() > ready; });
}

void expect_nothing_lost(Service& s, const char* what) {
    EXPECT_TRUE(s.done("req-1")) << what;
    for (auto& [task, n] : s.cloud->starts) EXPECT_EQ(n, 1) << what << ": " << task;
    EXPECT_TRUE(s.cloud->broken.empty()) << what << ": " << s.cloud->broken[0];
}

double figure(Service& s, int node, const std::string& name) {
    auto page = s.ask_node(static_cast<size_t>(node), "GET", "/metrics", "");
    if (!page) return -1;
    auto at = page->body.find("\nweirmill_" + name + " ");
    return at == std::string::npos ? 0 : std::stod(page->body.substr(at + name.size() + 11));
}

class EveryCut : public testing::TestWithParam<Is> {};

TEST_P(EveryCut, ALeaderThatLosesTheWorkersHandsOverWhilePeersRefuseEachOther) {
    // It used to keep the leadership until every lease had run out, beside two controllers that
    // reached all workers.
    Service s(3, cables());
    start_work(s);
    int old = s.leader().back() - '0';
    Links links{s};
    links.peers(Is::Refused);
    links.workers(old, GetParam());
    EXPECT_TRUE(s.until([&] { return !s.leader().empty() && s.leader().back() - '0' != old; }));
    expect_nothing_lost(s, "deaf leader");
    EXPECT_EQ(figure(s, old, "hand_overs_total"), 1);
}

INSTANTIATE_TEST_SUITE_P(Links, EveryCut, testing::Values(Is::Refused, Is::Held, Is::AnswersLost));

TEST(LinksService, WhereNoControllerHasBothReportsAndStopsGoOverAPeer) {
    Service s(3, cables());
    start_work(s);
    int leader = s.leader().back() - '0', a = (leader + 1) % 3, b = (leader + 2) % 3;
    Links links{s};
    links.workers(leader, Is::Held);
    links.state(a, Is::Refused);
    links.state(b, Is::Refused);
    // A cancellation reaches the workers as well: its stops go by the controller that relays for
    // them.
    fakes::Job job;
    job.run_s = 60;
    EXPECT_EQ(s.submit("req-2", "array", 2, job), 201);
    ASSERT_TRUE(s.until([&] { return s.cloud->on_some_machine("req-2"); }));
    ASSERT_TRUE(s.until([&] {
        return figure(s, leader, "workers_reached") > 0 && figure(s, leader, "workers_direct") == 0;
    }));
    EXPECT_EQ(s.ask("POST", "/v2/runs/req-2/cancel").status, 200);
    EXPECT_TRUE(s.until([&] { return !s.cloud->on_some_machine("req-2"); }));
    EXPECT_GT(figure(s, a, "stops_passed_on_total") + figure(s, b, "stops_passed_on_total"), 0);
    expect_nothing_lost(s, "no controller has both");
    EXPECT_EQ(s.leader().back() - '0', leader);
}

TEST(LinksService, AControllerAloneWithItsWorkersIsLeftByThemAndIsQuietOnItsReturn) {
    // It reaches neither the state service nor a peer, and hears all workers. They are answered
    // until its grace is over and then go to the next leader within their lease; users get nothing
    // that may be old.
    Service s(3, cables());
    start_work(s);
    int old = s.leader().back() - '0';
    Links links{s};
    links.state(old, Is::Refused);
    for (int other : {(old + 1) % 3, (old + 2) % 3}) links.peer(old, other, Is::Refused);
    ASSERT_TRUE(s.until([&] { return !s.leader().empty() && s.leader().back() - '0' != old; }));
    auto next = s.leader();
    ASSERT_TRUE(s.until([&] { return figure(s, next.back() - '0', "workers_direct") >= kWork; }));
    auto at_old = [&](const char* method, const std::string& target, const std::string& body = "") {
        auto reply = s.ask_node(static_cast<size_t>(old), method, target, body);
        return reply ? reply->status : 0;
    };
    EXPECT_TRUE(s.until([&] { return at_old("GET", "/healthz") == 503; }));
    EXPECT_EQ(at_old("GET", "/v2/runs/req-1"), 503);
    EXPECT_EQ(at_old("GET", "/v2/runs/req-999"), 503);
    EXPECT_EQ(at_old("POST", "/v2/runs", Service::submission("req-2", "array", 1)), 503);
    links.state(old, Is::Up);
    for (int other : {(old + 1) % 3, (old + 2) % 3}) links.peer(old, other, Is::Up);
    EXPECT_TRUE(s.until([&] { return at_old("GET", "/v2/runs/req-1") == 200; }));
    EXPECT_EQ(figure(s, old, "leading"), 0);
    EXPECT_EQ(s.leader(), next);
    expect_nothing_lost(s, "alone with its workers");
}

TEST(LinksService, TwoHopsServeWhereOnlyThoseAreLeft) {
    Service s(3, cables());
    start_work(s);
    int leader = s.leader().back() - '0', a = (leader + 1) % 3, b = (leader + 2) % 3;
    Links links{s};
    // Workers reach `a` alone, which reaches the leader over `b` alone; neither has the state
    // service.
    links.workers(leader, Is::Refused);
    links.workers(b, Is::Refused);
    links.peer(a, leader, Is::Refused);
    links.state(a, Is::Refused);
    links.state(b, Is::Refused);
    ASSERT_TRUE(s.until([&] { return figure(s, a, "second_hops_total") > 0; }));
    // Users of the one at the far end are served over both, too.
    s.cloud->jobs["req-2"] = {0.2, false, 1, false, {}};
    std::optional<HttpResponse> reply;
    EXPECT_TRUE(s.until([&] {
        reply = s.ask_node(static_cast<size_t>(a), "POST", "/v2/runs",
                           Service::submission("req-2", "array", 1));
        return reply && reply->status != 503;
    }));
    EXPECT_EQ(reply->status, 201);
    expect_nothing_lost(s, "two hops");
    EXPECT_TRUE(s.done("req-2"));
}

TEST(LinksService, AllThreeLoseTheStateServiceOneAfterTheOther) {
    Service s(3, cables());
    start_work(s);
    Links links{s};
    for (int round = 0; round < 3; ++round) {
        auto old = s.leader();
        ASSERT_FALSE(old.empty());
        links.state(old.back() - '0', Is::Refused);
        ASSERT_TRUE(s.until([&] { return !s.leader().empty() && s.leader() != old; })) << round;
        for (int i = 0; i < 3; ++i)
            if (s.settings[i]->name != old) links.state(i, Is::Up);
    }
    expect_nothing_lost(s, "state service lost in turn");
}

TEST(LinksService, ALinkThatFlapsMovesTheLeadershipOnceAtMost) {
    Service s(3, cables());
    start_work(s);
    int old = s.leader().back() - '0';
    Links links{s};
    for (int i = 0; i < 12; ++i) {
        links.workers(old, i % 2 ? Is::Up : Is::Held);
        double until = steady_now() + 0.25;
        s.until([&] { return steady_now() > until; });
    }
    expect_nothing_lost(s, "flapping link");
    double moves = 0;
    for (int i = 0; i < 3; ++i) moves += figure(s, i, "hand_overs_total");
    EXPECT_LE(moves, 1);
}

TEST(LinksService, AYieldWithoutAnAnswerAndASuccessorThatEndsLeaveALeaderAllTheSame) {
    Service s(3, cables());
    start_work(s);
    int old = s.leader().back() - '0';
    Links links{s};
    // Carried out, and not answered in time: whoever yields does not lead again by itself.
    s.state->lose_answer_of = "m/yield";
    links.peers(Is::Refused);
    links.workers(old, Is::Held);
    ASSERT_TRUE(s.until([&] { return !s.leader().empty() && s.leader().back() - '0' != old; }));
    int next = s.leader().back() - '0';
    s.crash(next);
    ASSERT_TRUE(s.until([&] {
        auto now = s.leader();
        return !now.empty() && now.back() - '0' != next;
    }));
    links.workers(old, Is::Up);
    links.peers(Is::Up);
    expect_nothing_lost(s, "a hand-over during a hand-over");
}

TEST(LinksService, OlderControllersThatSayNothingOfLinksAreNotYieldedToAndRelay) {
    // A rolling upgrade: the leader is new, the others are not yet.
    Service s(3, cables({1, 2}));
    ASSERT_TRUE(s.until([&] { return !s.leader().empty(); }));
    for (int i = 0; s.leader() != "node-0" && i < 20; ++i) {
        int other = s.leader().back() - '0';
        Links{s}.state(other, Is::Refused);
        ASSERT_TRUE(
            s.until([&] { return !s.leader().empty() && s.leader().back() - '0' != other; }));
        Links{s}.state(other, Is::Up);
    }
    ASSERT_EQ(s.leader(), "node-0");
    start_work(s);
    Links{s}.workers(0, Is::Held);
    expect_nothing_lost(s, "older peers");
    EXPECT_EQ(s.leader(), "node-0");
    EXPECT_EQ(figure(s, 0, "hand_overs_total"), 0);
}

TEST(LinksService, HalfOfTheWorkersAreCutFromOneControllerAndHalfFromAnother) {
    Service s(3, cables());
    start_work(s);
    int leader = s.leader().back() - '0', n = 0;
    for (auto& [name, w] : s.cloud->workers) w->cut_from = n++ % 2 ? leader : (leader + 1) % 3;
    expect_nothing_lost(s, "halves");
    EXPECT_EQ(s.leader().back() - '0', leader);  // no other hears more of them
}

TEST(LinksService, AControllerThatStoodStillWakesWithAnOldViewAndDoesNoHarm) {
    for (bool leads : {true, false}) {
        Service s(3, cables());
        start_work(s);
        int old = s.leader().back() - '0', still = leads ? old : (old + 1) % 3;
        Links links{s};
        links.peers(Is::Refused);
        s.crash(still);  // nothing of it runs, its connections stand
        double until = steady_now() + 3;
        s.until([&] { return steady_now() > until; });
        s.alive[still] = true;
        links.workers(still, Is::Held);
        s.until([&] { return steady_now() > until + 1; });
        links.workers(still, Is::Up);
        links.peers(Is::Up);
        expect_nothing_lost(s, leads ? "frozen leader" : "frozen follower");
        EXPECT_EQ(s.leader().back() - '0' == old, !leads);
    }
}

TEST(LinksService, ALeaderCutFromEverythingButItsUsersSendsThemElsewhere) {
    Service s(3, cables());
    start_work(s);
    int old = s.leader().back() - '0';
    Links links{s};
    links.peers(Is::Refused);
    links.state(old, Is::Held);
    EXPECT_TRUE(s.until([&] {
        auto health = s.ask_node(static_cast<size_t>(old), "GET", "/healthz", "");
        return health && health->status == 503;
    }));
    expect_nothing_lost(s, "cut from all but users");
}

}  // namespace
}  // namespace weirmill
