// Tests of lost downlinks, delayed copies of heartbeats and restarted workers: the conclusions
// drawn from heartbeats, and the whole service over loopback with such machines. See
// docs/failures.md.
#include "liveness/downlink.h"

#include <random>

#include "service_fixture.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::ServiceFixture;

// The downlink state of one worker. The heartbeat interval is 2 s, the lease 18 s, and the
// worker waits 4 s for a response and tries the other one of two controllers 1 s later.
struct DownlinkFixture {
    Settings settings = test::small_settings();
    DownlinkState downlink;
    double now = 100;
    DownlinkFixture() { settings.peers.push_back({"node-1", "a", {"127.0.0.1", 1}}); }
    // Sends a heartbeat `after_s` seconds later and answers it. Returns whether the downlink counts
    // as lost from now on.
    bool send_heartbeat(double after_s, uint64_t agent_epoch, uint64_t seq,
                        DownlinkObservation observation = {}) {
        now += after_s;
        observation.order = {agent_epoch, seq};
        bool downlink_lost = observe_heartbeat(downlink, observation, settings, now);
        record_response(downlink, observation.order, observation.saw_fencing_token, now);
        return downlink_lost;
    }
};
DownlinkObservation make_observation(bool saw_fencing_token, bool direct,
                                     bool launch_confirmed = false, bool launch_missing = false) {
    return {{}, saw_fencing_token, direct, launch_confirmed, launch_missing};
}

TEST(DownlinkState, WorkerThatLeavesAfterAnswersIsNotServed) {
    // Guards against a leader that takes heartbeats whose answers are lost for workers it reaches.
    struct Step {
        double after_s;
        uint64_t agent_epoch, seq;
        bool commands_sent = false;
    };
    struct Row {
        const char* name;
        std::vector<Step> steps;
        bool leaves;
        double served_at;  // -1: not checked
    };
    const Row rows[] = {
        {"stays", {{0, 1, 1}, {8, 1, 2}, {8, 1, 3}, {8, 1, 4}}, false, 116},
        {"one answer lost", {{0, 1, 1}, {8, 1, 2}, {7, 1, 5}}, false, 100},
        {"one answer lost, then it stays", {{0, 1, 1}, {7, 1, 4}, {8, 1, 5}}, false, 107},
        {"two in a row", {{0, 1, 1}, {8, 1, 2}, {7, 1, 5}, {7, 1, 8}}, true, 100},
        {"answers arrive again", {{0, 1, 1}, {7, 1, 4}, {7, 1, 7}, {8, 1, 8}}, false, 114},
        {"commands explain the gaps",
         {{0, 1, 1}, {8, 1, 4, true}, {8, 1, 7, true}, {8, 1, 9, true}},
         false,
         -1},
        {"commands neither show nor hide it",
         {{0, 1, 1}, {7, 1, 4}, {7, 1, 7}, {7, 1, 10, true}},
         true,
         -1},
        {"a new agent epoch starts over", {{0, 1, 1}, {7, 1, 4}, {7, 2, 9}}, false, -1},
    };
    for (auto& row : rows) {
        DownlinkFixture fixture;
        for (auto& step : row.steps) {
            auto observation = make_observation(true, true);
            observation.commands_sent = step.commands_sent;
            (void)fixture.send_heartbeat(step.after_s, step.agent_epoch, step.seq, observation);
        }
        EXPECT_EQ(fixture.downlink.leaves_after_answers(), row.leaves) << row.name;
        if (row.served_at >= 0) {
            EXPECT_EQ(fixture.downlink.served_at, row.served_at) << row.name;
        }
    }
    // A heartbeat that was not answered shows nothing by the next one's place in the sequence.
    DownlinkFixture fixture;
    for (uint64_t seq : {1, 4, 7, 10}) {
        DownlinkObservation observation = make_observation(true, true);
        observation.order = {1, seq};
        (void)observe_heartbeat(fixture.downlink, observation, fixture.settings, fixture.now);
    }
    EXPECT_FALSE(fixture.downlink.leaves_after_answers());
}

TEST(DownlinkState, FollowsFromHeartbeats) {
    struct Step {
        double after_s;
        uint64_t agent_epoch, seq;
        DownlinkObservation observation;
    };
    struct Row {
        const char* name;
        std::vector<Step> steps;
        bool downlink_lost;
    };
    auto old_token = make_observation(false, false), current_token = make_observation(true, false),
         missing = make_observation(true, false, false, true),
         confirmed = make_observation(true, false, true), direct = make_observation(true, true);
    const Row rows[] = {
        {"no evidence",
         {{0, 1, 1, current_token}, {10, 1, 2, current_token}, {10, 1, 3, current_token}},
         false},
        {"one response lost",
         {{0, 1, 1, current_token}, {10, 1, 2, missing}, {10, 1, 3, confirmed}},
         false},
        {"two launches missing",
         {{0, 1, 1, current_token}, {10, 1, 2, missing}, {10, 1, 3, missing}},
         true},
        {"a launch missing, one confirmed, one missing",
         {{0, 1, 1, current_token},
          {10, 1, 2, missing},
          {10, 1, 3, confirmed},
          {10, 1, 4, missing}},
         false},
        {"the token stays old",
         {{0, 1, 1, old_token}, {10, 1, 2, old_token}, {10, 1, 3, old_token}},
         true},
        {"the token is current after the second response",
         {{0, 1, 1, old_token}, {10, 1, 2, old_token}, {10, 1, 3, current_token}},
         false},
        {"the lease expires although it was renewed",
         {{0, 1, 1, current_token}, {10, 1, 2, current_token}, {10, 2, 3, current_token}},
         true},
        {"the lease expires after a long silence",
         {{0, 1, 1, current_token}, {25, 2, 2, current_token}},
         false},
        {"downlink lost, then a launch is confirmed",
         {{0, 1, 1, current_token}, {10, 1, 2, missing}, {10, 1, 3, missing}, {5, 1, 4, confirmed}},
         false},
        {"downlink lost, then an epoch outlives the lease",
         {{0, 1, 1, current_token},
          {8, 1, 2, missing},
          {8, 1, 3, missing},
          {9, 1, 4, current_token}},
         false},
        {"downlink lost, then the worker stays with this controller",
         {{0, 1, 1, current_token},
          {10, 1, 2, missing},
          {10, 1, 3, missing},
          {2, 1, 4, direct},
          {2, 1, 5, direct},
          {2, 1, 6, direct}},
         false},
        {"downlink lost, and the worker tries the other controllers",
         {{0, 1, 1, current_token},
          {10, 1, 2, missing},
          {10, 1, 3, missing},
          {2, 1, 4, direct},
          {10, 1, 5, direct},
          {10, 2, 6, direct}},
         true},
    };
    for (auto& row : rows) {
        DownlinkFixture f;
        for (auto& s : row.steps) f.send_heartbeat(s.after_s, s.agent_epoch, s.seq, s.observation);
        EXPECT_EQ(f.downlink.downlink_lost(), row.downlink_lost) << row.name;
    }
}

TEST(DownlinkState, ReplacesLostMachineUnlessMostAreLost) {
    DownlinkFixture f;
    f.downlink.lost_since = 100;
    struct Row {
        double now;
        size_t downlink_lost, up;
        bool replaced;
    };
    // The lease is 18 s and a replacement takes 30 s.
    for (auto& row : {Row{147, 1, 10, false}, Row{149, 1, 10, true}, Row{149, 5, 10, true},
                      Row{149, 6, 10, false}})
        EXPECT_EQ(should_replace_without_downlink(f.downlink, 30, row.downlink_lost, row.up,
                                                  f.settings, row.now),
                  row.replaced)
            << row.downlink_lost;
    EXPECT_FALSE(should_replace_without_downlink({}, 30, 0, 10, f.settings, 1e6));
}

TEST(DownlinkState, OnlyLiveWorkerReturnsAfterLease) {
    struct Step {
        double after_s;
        uint64_t agent_epoch, seq;
        bool returned;
    };
    struct Row {
        const char* name;
        std::vector<Step> steps;
    };
    const Row rows[] = {
        {"a new epoch", {{1, 4, 1, true}}},
        {"a higher sequence number", {{1, 3, 91, true}}},
        {"one late copy", {{1, 3, 60, false}}},
        {"copies out of order",
         {{1, 3, 60, false},
          {2, 3, 20, false},
          {2, 2, 80, false},
          {2, 3, 10, false},
          {2, 3, 9, false}}},
        {"copies in order, too fast",
         {{1, 3, 60, false}, {0.1, 3, 61, false}, {0.1, 3, 62, false}, {0.1, 3, 63, false}}},
        {"restarted counters", {{1, 1, 1, false}, {2, 1, 2, false}, {2, 1, 3, true}}},
        {"restarted counters and a copy",
         {{1, 1, 1, false},
          {2, 1, 2, false},
          {1, 3, 50, false},
          {1, 1, 3, false},
          {2, 1, 4, false},
          {2, 1, 5, true}}},
    };
    for (auto& row : rows) {
        DownlinkFixture f;
        reset_downlink(f.downlink, {3, 90});
        for (auto& s : row.steps) {
            f.now += s.after_s;
            EXPECT_EQ(has_returned(f.downlink, {s.agent_epoch, s.seq}, f.settings, f.now),
                      s.returned)
                << row.name << " " << s.seq;
        }
    }
}

// Returns the sum of a metric over the live controllers.
double metric_sum(ServiceFixture& s, const std::string& name) {
    double sum = 0;
    for (size_t i = 0; i < s.nodes.size(); ++i) {
        auto page = s.alive[i] ? s.request_node(i, "GET", "/metrics", "") : std::nullopt;
        auto at = page ? page->body.find("\nweirmill_" + name + " ") : std::string::npos;
        if (at != std::string::npos) sum += std::stod(page->body.substr(at + name.size() + 11));
    }
    return sum;
}

// Returns the worker of a machine that runs a task of the job.
std::shared_ptr<fakes::Worker> worker_running(ServiceFixture& s, const std::string& job) {
    for (auto& [name, w] : s.cloud->workers)
        if (!w->dead() && w->is_running(job)) return w;
    return nullptr;
}

TEST(DownlinkService, LostMachineLosesWorkAndIsReplaced) {
    // Such a machine once kept its tasks, got new ones in each agent epoch and was never
    // terminated, because its heartbeats still arrived.
    ServiceFixture s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {1.0}), 201);
    ASSERT_TRUE(s.wait_until([&] { return s.cloud->is_running("req-1"); }));
    auto lost_worker = worker_running(s, "req-1");
    lost_worker->downlink_lost = true;
    s.cloud->jobs["req-1"].run_s = 3;
    EXPECT_EQ(s.submit("req-2", "array", 3, {0.2}), 201);
    EXPECT_TRUE(s.wait_until_done("req-1"));
    EXPECT_TRUE(s.wait_until_done("req-2"));
    EXPECT_TRUE(s.wait_until([&] { return metric_sum(s, "machines_deaf_total") > 0; }));
    // Each task of this job fills a machine. No task is placed on the machine without a downlink
    // any more.
    auto body = ServiceFixture::with_field(ServiceFixture::submission_body("req-3", "array", 4, 8),
                                           "expected_s", 1.0);
    s.cloud->jobs["req-3"] = {0.2, false, 4, false, {}};
    EXPECT_EQ(s.request_any_node("POST", "/v2/runs", body).status, 201);
    EXPECT_TRUE(s.wait_until_done("req-3"));
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

TEST(DownlinkService, RecoveredMachineIsUsedAgain) {
    ServiceFixture s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {0.2}), 201);
    EXPECT_TRUE(s.wait_until_done("req-1"));
    for (auto& [name, w] : s.cloud->workers) w->downlink_lost = true;
    EXPECT_EQ(s.submit("req-2", "array", 1, {0.2}), 201);
    EXPECT_TRUE(s.wait_until([&] { return metric_sum(s, "machines_deaf") > 0; }));
    for (auto& [name, w] : s.cloud->workers) w->downlink_lost = false;
    EXPECT_TRUE(s.wait_until([&] { return metric_sum(s, "machines_deaf") == 0; }));
    EXPECT_TRUE(s.wait_until_done("req-2"));
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

TEST(DownlinkService, HeartbeatCopiesHaveNoEffect) {
    // Five old heartbeats are sent again with each heartbeat, to any controller, while jobs run and
    // the leader crashes. Each task starts once on a healthy machine, and no copy extends a lease.
    ServiceFixture s(3);
    EXPECT_EQ(s.submit("req-1", "array", 6, {2.0}), 201);
    ASSERT_TRUE(s.wait_until([&] { return s.cloud->task_starts.size() == 6; }));
    auto repeat_heartbeats = [&] {
        for (auto& [name, w] : s.cloud->workers) w->stale_copies = 5;
    };
    repeat_heartbeats();
    EXPECT_EQ(s.submit("req-2", "ensemble", 3, {0.5}), 201);
    EXPECT_TRUE(s.wait_until_done("req-2"));
    repeat_heartbeats();
    s.crash_leader();
    EXPECT_EQ(s.submit("req-3", "array", 6, {0.2}), 201);
    EXPECT_TRUE(s.wait_until_done("req-1"));
    EXPECT_TRUE(s.wait_until_done("req-3"));
    for (auto& [task, n] : s.cloud->task_starts) EXPECT_EQ(n, 1) << task;
    EXPECT_GT(metric_sum(s, "report_copies_total"), 0);
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

TEST(DownlinkService, RestartedMachineRunsItsTasksAgain) {
    // A restarted worker counts its heartbeats from the start. When these were taken for copies,
    // the tasks of the earlier process were believed to run forever.
    ServiceFixture s(1);
    EXPECT_EQ(s.submit("req-1", "array", 1, {1.5}), 201);
    ASSERT_TRUE(s.wait_until([&] { return s.cloud->is_running("req-1"); }));
    auto worker = worker_running(s, "req-1");
    ASSERT_TRUE(s.wait_until([&] { return s.job_status("req-1") == "running"; }));
    worker->restart();
    EXPECT_TRUE(s.wait_until_done("req-1"));
    EXPECT_EQ(s.cloud->task_starts["req-1/0"], 2);
    EXPECT_TRUE(s.cloud->violations.empty()) << s.cloud->violations[0];
}

// Random interleavings of one worker, its heartbeats and copies of them in any order, responses
// that are lost or arrive, and epochs that end. The leader's rule for a task that a heartbeat does
// not report must never conclude that the task is gone while the worker may still receive it with a
// response of this leader.
TEST(DownlinkState, HeartbeatNeverProvesLiveTaskGone) {
    size_t proofs = 0, copies = 0;
    for (unsigned seed = 1; seed <= 4000; ++seed) {
        std::mt19937 random(seed);
        auto one_in = [&](unsigned n) { return random() % n == 0; };
        struct Sent {
            HeartbeatOrder order;
            bool has_task;
        };
        HeartbeatOrder worker{1, 0}, last_applied{};
        bool has_task = false, placed = true;
        uint64_t start_seq = 0;
        std::vector<Sent> network;
        std::optional<Sent> in_flight;
        for (int step = 0; step < 40; ++step) {
            if (one_in(12)) {  // the lease expires
                ++worker.agent_epoch;
                has_task = false;
                in_flight.reset();
            }
            ++worker.seq;
            Sent heartbeat{worker, has_task};
            network.push_back(heartbeat);
            in_flight = heartbeat;
            // Heartbeats arrive at once, late, or more than once.
            for (int n = random() % 3; n >= 0 && !network.empty(); --n) {
                auto k = one_in(2) ? network.size() - 1 : random() % network.size();
                auto received = network[k];
                if (!one_in(3)) network.erase(network.begin() + static_cast<long>(k));
                if (received.order <= last_applied) {
                    ++copies;
                    continue;
                }
                if (received.order.agent_epoch > last_applied.agent_epoch &&
                    last_applied.agent_epoch > 0)
                    placed = false, ++proofs;
                last_applied = received.order;
                if (placed && !received.has_task && start_seq > 0 &&
                    start_seq < received.order.seq && one_in(2)) {
                    placed = false;
                    ++proofs;
                }
                if (!placed) {
                    EXPECT_FALSE(has_task) << "seed " << seed << " step " << step;
                    break;
                }
                start_seq = received.order.seq;
                // The worker accepts only the response to the heartbeat that it waits for.
                if (in_flight && in_flight->order == received.order && one_in(2)) has_task = true;
            }
            if (!placed) break;
        }
    }
    EXPECT_GT(proofs, 1000u);
    EXPECT_GT(copies, 1000u);
}

}  // namespace
}  // namespace weirmill
