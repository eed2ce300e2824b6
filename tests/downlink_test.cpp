// Machines whose downlink is lost, late copies of heartbeats, and workers that begin anew: what
// heartbeats show, and the whole service over loopback with such machines. docs/failures.md.
#include "liveness/downlink.h"

#include <random>

#include "service_fixture.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::ServiceFixture;

// Report interval 2 s, lease 18 s, a worker's patience 4 s and 1 s more to the next of two
// controllers.
struct WorkerLink {
    Settings settings = test::small_settings();
    DownlinkState downlink;
    double now = 100;
    WorkerLink() { settings.peers.push_back({"node-1", "a", {"127.0.0.1", 1}}); }
    // A heartbeat, `after` seconds later, which is answered.
    bool report(double after, uint64_t agent_epoch, uint64_t seq, DownlinkObservation what = {}) {
        now += after;
        what.order = {agent_epoch, seq};
        bool downlink_lost = observe_heartbeat(downlink, what, settings, now);
        record_response(downlink, what.order, what.our_fencing_token, now);
        return downlink_lost;
    }
};
DownlinkObservation with(bool our_fencing_token, bool direct, bool taken = false,
                         bool missing = false) {
    return {{}, our_fencing_token, direct, taken, missing};
}

TEST(DownlinkState, IsToldByWhatReportsShow) {
    struct Step {
        double after;
        uint64_t agent_epoch, seq;
        DownlinkObservation what;
    };
    struct Row {
        const char* why;
        std::vector<Step> steps;
        bool downlink_lost;
    };
    auto old = with(false, false), placed_this_term = with(true, false),
         missing = with(true, false, false, true), taken = with(true, false, true),
         here = with(true, true);
    const Row rows[] = {
        {"nothing to be seen",
         {{0, 1, 1, placed_this_term}, {10, 1, 2, placed_this_term}, {10, 1, 3, placed_this_term}},
         false},
        {"one answer lost",
         {{0, 1, 1, placed_this_term}, {10, 1, 2, missing}, {10, 1, 3, taken}},
         false},
        {"two launches not taken up",
         {{0, 1, 1, placed_this_term}, {10, 1, 2, missing}, {10, 1, 3, missing}},
         true},
        {"a launch missed, one taken, one missed",
         {{0, 1, 1, placed_this_term}, {10, 1, 2, missing}, {10, 1, 3, taken}, {10, 1, 4, missing}},
         false},
        {"the token stays behind", {{0, 1, 1, old}, {10, 1, 2, old}, {10, 1, 3, old}}, true},
        {"the token comes with the second answer",
         {{0, 1, 1, old}, {10, 1, 2, old}, {10, 1, 3, placed_this_term}},
         false},
        {"its lease runs out although it was answered",
         {{0, 1, 1, placed_this_term}, {10, 1, 2, placed_this_term}, {10, 2, 3, placed_this_term}},
         true},
        {"it runs out after a long silence",
         {{0, 1, 1, placed_this_term}, {25, 2, 2, placed_this_term}},
         false},
        {"deaf, then a launch is taken",
         {{0, 1, 1, placed_this_term}, {10, 1, 2, missing}, {10, 1, 3, missing}, {5, 1, 4, taken}},
         false},
        {"deaf, then a session outlives the lease",
         {{0, 1, 1, placed_this_term},
          {8, 1, 2, missing},
          {8, 1, 3, missing},
          {9, 1, 4, placed_this_term}},
         false},
        {"deaf, then it stays with this controller",
         {{0, 1, 1, placed_this_term},
          {10, 1, 2, missing},
          {10, 1, 3, missing},
          {2, 1, 4, here},
          {2, 1, 5, here},
          {2, 1, 6, here}},
         false},
        {"deaf, and comes round by the others",
         {{0, 1, 1, placed_this_term},
          {10, 1, 2, missing},
          {10, 1, 3, missing},
          {2, 1, 4, here},
          {10, 1, 5, here},
          {10, 2, 6, here}},
         true},
    };
    for (auto& row : rows) {
        WorkerLink e;
        for (auto& s : row.steps) e.report(s.after, s.agent_epoch, s.seq, s.what);
        EXPECT_EQ(e.downlink.downlink_lost(), row.downlink_lost) << row.why;
    }
}

TEST(DownlinkState, ADeafMachineIsGivenBackUnlessSoManyAreThatItIsOurLink) {
    WorkerLink e;
    e.downlink.lost_since = 100;
    struct Row {
        double now;
        size_t downlink_lost, up;
        bool back;
    };
    // A lease of 18 s, and 30 s for a replacement.
    for (auto& row : {Row{147, 1, 10, false}, Row{149, 1, 10, true}, Row{149, 5, 10, true},
                      Row{149, 6, 10, false}})
        EXPECT_EQ(should_replace_unreachable(e.downlink, 30, row.downlink_lost, row.up, e.settings,
                                             row.now),
                  row.back)
            << row.downlink_lost;
    EXPECT_FALSE(should_replace_unreachable({}, 30, 0, 10, e.settings, 1e6));
}

TEST(DownlinkState, AfterItsLeaseOnlyAWorkerThatIsThereBringsAMachineBack) {
    struct Step {
        double after;
        uint64_t agent_epoch, seq;
        bool back;
    };
    struct Row {
        const char* why;
        std::vector<Step> steps;
    };
    const Row rows[] = {
        {"a new session", {{1, 4, 1, true}}},
        {"a later tick", {{1, 3, 91, true}}},
        {"one late copy", {{1, 3, 60, false}}},
        {"copies in no order",
         {{1, 3, 60, false},
          {2, 3, 20, false},
          {2, 2, 80, false},
          {2, 3, 10, false},
          {2, 3, 9, false}}},
        {"copies in order, all at once",
         {{1, 3, 60, false}, {0.1, 3, 61, false}, {0.1, 3, 62, false}, {0.1, 3, 63, false}}},
        {"it counts from the start", {{1, 1, 1, false}, {2, 1, 2, false}, {2, 1, 3, true}}},
        {"a copy within",
         {{1, 1, 1, false},
          {2, 1, 2, false},
          {1, 3, 50, false},
          {1, 1, 3, false},
          {2, 1, 4, false},
          {2, 1, 5, true}}},
    };
    for (auto& row : rows) {
        WorkerLink e;
        reset_downlink(e.downlink, {3, 90});
        for (auto& s : row.steps) {
            e.now += s.after;
            EXPECT_EQ(has_returned(e.downlink, {s.agent_epoch, s.seq}, e.settings, e.now), s.back)
                << row.why << " " << s.seq;
        }
    }
}

// Summed over the controllers that are there.
double figure(ServiceFixture& s, const std::string& name) {
    double sum = 0;
    for (size_t i = 0; i < s.nodes.size(); ++i) {
        auto page = s.alive[i] ? s.request_node(i, "GET", "/metrics", "") : std::nullopt;
        auto at = page ? page->body.find("\nweirmill_" + name + " ") : std::string::npos;
        if (at != std::string::npos) sum += std::stod(page->body.substr(at + name.size() + 11));
    }
    return sum;
}

// The machine on which a task of the job runs.
std::shared_ptr<fakes::Worker> machine_of(ServiceFixture& s, const std::string& job) {
    for (auto& [name, w] : s.cloud->workers)
        if (!w->dead() && w->is_running(job)) return w;
    return nullptr;
}

TEST(DownlinkService, WorkGoesElsewhereFromAMachineThatHearsNothingAndItIsGivenBack) {
    // It was heard, and so it kept its tasks, got new ones at each of its sessions and was never
    // given back.
    ServiceFixture s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {1.0}), 201);
    ASSERT_TRUE(s.wait_until([&] { return s.cloud->is_running("req-1"); }));
    auto downlink_lost = machine_of(s, "req-1");
    downlink_lost->downlink_lost = true;
    s.cloud->jobs["req-1"].run_s = 3;
    EXPECT_EQ(s.submit("req-2", "array", 3, {0.2}), 201);
    EXPECT_TRUE(s.wait_until_done("req-1"));
    EXPECT_TRUE(s.wait_until_done("req-2"));
    EXPECT_TRUE(s.wait_until([&] { return figure(s, "machines_deaf_total") > 0; }));
    // A job that fills a machine each: none of its tasks is sent to the one without a downlink any
    // more.
    auto body = ServiceFixture::with_field(ServiceFixture::submission_body("req-3", "array", 4, 8),
                                           "expected_s", 1.0);
    s.cloud->jobs["req-3"] = {0.2, false, 4, false, {}};
    EXPECT_EQ(s.request_any_node("POST", "/v2/runs", body).status, 201);
    EXPECT_TRUE(s.wait_until_done("req-3"));
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

TEST(DownlinkService, AMachineThatHearsAgainIsUsedAgain) {
    ServiceFixture s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {0.2}), 201);
    EXPECT_TRUE(s.wait_until_done("req-1"));
    for (auto& [name, w] : s.cloud->workers) w->downlink_lost = true;
    EXPECT_EQ(s.submit("req-2", "array", 1, {0.2}), 201);
    EXPECT_TRUE(s.wait_until([&] { return figure(s, "machines_deaf") > 0; }));
    for (auto& [name, w] : s.cloud->workers) w->downlink_lost = false;
    EXPECT_TRUE(s.wait_until([&] { return figure(s, "machines_deaf") == 0; }));
    EXPECT_TRUE(s.wait_until_done("req-2"));
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

TEST(DownlinkService, CopiesOfReportsChangeNothing) {
    // Of each report five old ones come again, to any controller, while jobs run, the leader ends
    // and machines go silent: each task starts once on a sound machine, and no lease is kept from
    // running out.
    ServiceFixture s(3);
    EXPECT_EQ(s.submit("req-1", "array", 6, {2.0}), 201);
    ASSERT_TRUE(s.wait_until([&] { return s.cloud->task_starts.size() == 6; }));
    auto copies = [&] {
        for (auto& [name, w] : s.cloud->workers) w->stale_copies = 5;
    };
    copies();
    EXPECT_EQ(s.submit("req-2", "ensemble", 3, {0.5}), 201);
    EXPECT_TRUE(s.wait_until_done("req-2"));
    copies();
    s.crash_leader();
    EXPECT_EQ(s.submit("req-3", "array", 6, {0.2}), 201);
    EXPECT_TRUE(s.wait_until_done("req-1"));
    EXPECT_TRUE(s.wait_until_done("req-3"));
    for (auto& [task, n] : s.cloud->task_starts) EXPECT_EQ(n, 1) << task;
    EXPECT_GT(figure(s, "report_copies_total"), 0);
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

TEST(DownlinkService, AMachineThatIsBackAtOnceLosesItsTasksAndIsUsedAgain) {
    // Its counts begin anew: taken for copies, its reports were answered without an end, and what
    // had been there was believed to run.
    ServiceFixture s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {1.5}), 201);
    ASSERT_TRUE(s.wait_until([&] { return s.cloud->is_running("req-1"); }));
    auto w = machine_of(s, "req-1");
    ASSERT_TRUE(s.wait_until([&] { return s.job_status("req-1") == "running"; }));
    w->restart();
    EXPECT_TRUE(s.wait_until_done("req-1"));
    EXPECT_EQ(s.cloud->task_starts["req-1/0"], 2);
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

// Every interleaving of a small world, drawn: one worker, its reports and copies of them in any
// order, answers that are lost or come, sessions that end. The leader's rule for a task that a
// report does not show must never take it for gone while the worker may yet have it from an answer
// of this leader.
TEST(DownlinkState, NoReportProvesGoneWhatAnAnswerMayStillBring) {
    size_t proofs = 0, copies = 0;
    for (unsigned seed = 1; seed <= 4000; ++seed) {
        std::mt19937 random(seed);
        auto one_in = [&](unsigned n) { return random() % n == 0; };
        struct Sent {
            HeartbeatOrder order;
            bool has_task;
        };
        HeartbeatOrder worker{1, 0}, known{};
        bool has_task = false, placed = true;
        uint64_t start_seq = 0;
        std::vector<Sent> network;
        std::optional<Sent> in_flight;
        for (int step = 0; step < 40; ++step) {
            if (one_in(12)) {  // the lease ends
                ++worker.agent_epoch;
                has_task = false;
                in_flight.reset();
            }
            ++worker.seq;
            Sent report{worker, has_task};
            network.push_back(report);
            in_flight = report;
            // Some arrive now, some late, some more than once.
            for (int n = random() % 3; n >= 0 && !network.empty(); --n) {
                auto k = one_in(2) ? network.size() - 1 : random() % network.size();
                auto got = network[k];
                if (!one_in(3)) network.erase(network.begin() + static_cast<long>(k));
                if (got.order <= known) {
                    ++copies;
                    continue;
                }
                if (got.order.agent_epoch > known.agent_epoch && known.agent_epoch > 0)
                    placed = false, ++proofs;
                known = got.order;
                if (placed && !got.has_task && start_seq > 0 && start_seq < got.order.seq &&
                    one_in(2)) {
                    placed = false;
                    ++proofs;
                }
                if (!placed) {
                    EXPECT_FALSE(has_task) << "seed " << seed << " step " << step;
                    break;
                }
                start_seq = got.order.seq;
                // The worker takes the answer to the report that it waits for alone.
                if (in_flight && in_flight->order == got.order && one_in(2)) has_task = true;
            }
            if (!placed) break;
        }
    }
    EXPECT_GT(proofs, 1000u);
    EXPECT_GT(copies, 1000u);
}

}  // namespace
}  // namespace weirmill
