// Tests of several faults at the same time, mostly of machines and of changes of leader, with real
// controllers over loopback (docs/failures.md, "Meetings").
#include "fault_scenario.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::FaultScenarioFixture;
using test::is_active;
using test::isolated_peers;
using test::ServiceFixture;

// Submits a job of a team, optionally bound to a zone. The fakes check the team limit and the zone.
void submit_for_team(FaultScenarioFixture& service, const std::string& id, const std::string& kind,
                     int tasks, double cpus, double run_s, const std::string& team,
                     const std::string& zone = "", const std::string& priority = "normal") {
    fakes::Job job;
    job.run_s = run_s;
    job.gang = kind == "ensemble";
    job.tasks = static_cast<uint32_t>(tasks);
    job.team = team;
    job.zone = zone;
    job.cpus = cpus;
    service.cloud->jobs[id] = job;
    auto body = ServiceFixture::with_field(ServiceFixture::submission_body(id, kind, tasks, cpus),
                                           "consignor", json::string(team));
    body = ServiceFixture::with_field(
        ServiceFixture::with_field(body, "urgency", json::string(priority)), "expected_s", 60.0);
    if (!zone.empty()) body = ServiceFixture::with_field(body, "yard", json::string(zone));
    ASSERT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 201);
}

// A network partition isolates a zone with some workers and the leader for longer than a worker
// lease. The next leader outside confirms a cancellation. The isolated tasks must stop in time, and
// none may start elsewhere while it may still run in the zone.
TEST(FaultScenarios, IsolatedZoneStopsCancelledTasksInTime) {
    FaultScenarioFixture service(3, isolated_peers());
    service.start_job("req-2", 4);
    service.start_job("req-3", 4, 12);
    int old_leader = service.leader_index();
    for (auto* worker : service.workers_running("req-2")) {
        worker->only_controller = old_leader;
        worker->lose_commands = true;
    }
    for (auto& [name, worker] : service.cloud->workers)
        if (worker->only_controller < 0) worker->unreachable_controller = old_leader;
    double partitioned_at = steady_now();
    service.state_service->refused_controllers.insert(old_leader);
    service.wait_for_new_leader("node-" + std::to_string(old_leader));
    ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
    service.expect_stopped_in_time(steady_now(), "req-2");
    EXPECT_GT(steady_now() - partitioned_at, service.base_settings.lease_s);
    EXPECT_TRUE(is_active(service.job_status("req-3")) || service.job_status("req-3") == "done");
    service.state_service->refused_controllers.clear();
    for (auto& [name, worker] : service.cloud->workers)
        worker->only_controller = worker->unreachable_controller = -1,
        worker->lose_commands = false;
    EXPECT_TRUE(service.wait_until_done("req-3"));
    EXPECT_EQ(service.job_status("req-2"), "aborted");
    service.expect_no_violations();
}

// All controllers are paused or down for longer than a worker lease. Every task must be started
// exactly once more, and a confirmed cancellation must hold.
TEST(FaultScenarios, TasksRestartAfterAllControllersAreDown) {
    for (bool restart : {false, true}) {
        SCOPED_TRACE(restart);
        FaultScenarioFixture service(3, isolated_peers());
        service.start_job("req-2", 3, 3);
        service.start_job("req-3", 2);
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-3"), "aborted");
        for (int i = 0; i < 3; ++i) service.crash(i);
        service.run_for(1.5 * service.base_settings.lease_s);
        EXPECT_FALSE(service.cloud->is_running("req-2"));
        for (int i = 0; i < 3; ++i)
            restart ? service.add_node(i) : void(service.alive[static_cast<size_t>(i)] = true);
        EXPECT_TRUE(service.wait_until_done("req-2"));
        EXPECT_EQ(service.job_status("req-3"), "aborted");
        for (int t = 0; t < 3; ++t)
            EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 2) << t;
        service.expect_no_violations();
    }
}

// The leader changes ten times, once during an outage of the state service. A job is submitted and
// another one cancelled at each change; no job or cancellation may be lost.
TEST(FaultScenarios, JobsSurviveTenLeaderChangesAndOutage) {
    ServiceFixture::Options options = isolated_peers();
    options.election_lease_s = 0.8;
    FaultScenarioFixture service(3, options);
    service.start_job("req-2", 2, 4);
    for (int n = 0; n < 10; ++n) {
        auto kept = "req-" + std::to_string(100 + n), cancelled = "req-" + std::to_string(200 + n);
        EXPECT_EQ(service.submit(kept, "array", 1, {0.3}), 201);
        EXPECT_EQ(service.submit(cancelled, "array", 1, {1000}), 201);
        auto old_leader = service.leader_name();
        service.state_service->refused_controllers = {old_leader.back() - '0'};
        EXPECT_EQ(service.cancel_at_node((old_leader.back() - '0' + 1 + n % 2) % 3, cancelled),
                  "aborted");
        if (n == 5) {
            service.state_service->unavailable = true;
            service.run_for(2 * options.election_lease_s);
            service.state_service->end_outage();
        }
        service.wait_for_new_leader(old_leader);
    }
    service.state_service->refused_controllers.clear();
    for (int n = 0; n < 10; ++n) {
        EXPECT_TRUE(service.wait_until_done("req-" + std::to_string(100 + n))) << n;
        EXPECT_EQ(service.job_status("req-" + std::to_string(200 + n)), "aborted") << n;
    }
    EXPECT_TRUE(service.wait_until_done("req-2"));
    service.expect_no_violations();
}

// Old heartbeats reach every controller again, either before a new leader receives any current one
// or after it has started tasks. The leader must neither revive ended tasks nor take running ones
// for lost.
TEST(FaultScenarios, StaleHeartbeatsDoNotMisleadNewLeader) {
    for (bool leader_active : {false, true}) {
        SCOPED_TRACE(leader_active);
        ServiceFixture::Options options = isolated_peers();
        options.election_lease_s = 0.6;  // the leader changes well within a worker lease
        FaultScenarioFixture service(3, options);
        service.start_job("req-2", 3, 0.5);
        EXPECT_TRUE(service.wait_until_done("req-2"));
        std::map<fakes::Worker*, size_t> earlier;  // heartbeats sent before the next two jobs
        for (auto& [name, worker] : service.cloud->workers)
            earlier[worker.get()] = worker->heartbeat_count();
        service.start_job("req-3", 3, 5);
        service.start_job("req-4", 2);
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-4"), "aborted");
        auto old_leader = service.leader_name();
        service.state_service->refused_controllers = {old_leader.back() - '0'};
        for (auto& [name, worker] : service.cloud->workers) worker->unreachable = !leader_active;
        service.wait_for_new_leader(old_leader);
        if (leader_active) {
            EXPECT_EQ(service.submit("req-5", "array", 4, {0.3}), 201);
            EXPECT_TRUE(service.wait_until_done("req-5"));
        }
        for (auto& [worker, n] : earlier)
            for (size_t k = 0; k < n; k += std::max<size_t>(1, n / 10)) worker->resend_heartbeat(k);
        service.run_for(0.3);
        for (auto& [name, worker] : service.cloud->workers) worker->unreachable = false;
        EXPECT_EQ(service.submit("req-6", "array", 4, {0.3}), 201);
        EXPECT_TRUE(service.wait_until_done("req-6"));
        EXPECT_TRUE(service.wait_until_done("req-3"));
        EXPECT_EQ(service.job_status("req-4"), "aborted");
        for (auto& [task, n] : service.cloud->task_starts) EXPECT_EQ(n, 1) << task;
        service.expect_no_violations();
    }
}

// A team is at its limit when the leader changes, machines with its tasks become unreachable,
// paused or lose their uplink, and the job on them is cancelled. Tasks that may still run there
// count toward the limit; waiting tasks start once the others are gone.
TEST(FaultScenarios, TeamLimitCountsTasksOfUnreachableMachines) {
    struct Row {
        const char* what;
        void (*set_fault)(fakes::Worker&, bool);
    };
    for (auto& row :
         {Row{"unreachable", [](fakes::Worker& worker, bool on) { worker.unreachable = on; }},
          Row{"paused", [](fakes::Worker& worker, bool on) { worker.paused = on; }},
          Row{"uplink lost", [](fakes::Worker& worker, bool on) { worker.uplink_lost = on; }}}) {
        SCOPED_TRACE(row.what);
        FaultScenarioFixture service(3, isolated_peers());
        service.cloud->team_cpu_limits["red"] = 32;  // the same as in small_settings()
        submit_for_team(service, "req-2", "array", 16, 1, 1000, "red");
        submit_for_team(service, "req-3", "array", 16, 1, 1000, "red");
        ASSERT_TRUE(service.wait_until(
            [&] { return service.running_tasks("req-2") + service.running_tasks("req-3") == 32; }));
        submit_for_team(service, "req-5", "array", 16, 1, 0.5,
                        "blue");  // runs on capacity that only the limit keeps free
        EXPECT_TRUE(service.wait_until_done("req-5"));
        submit_for_team(service, "req-4", "array", 16, 1, 0.5, "red");
        auto affected = service.workers_running("req-2");
        for (auto* worker : affected) row.set_fault(*worker, true);
        auto old_leader = service.leader_name();
        service.state_service->refused_controllers = {old_leader.back() - '0'};
        service.wait_for_new_leader(old_leader);
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
        double confirmed = steady_now();
        EXPECT_TRUE(service.wait_until([&] {
            return service.state_service->snapshot().count("f/req-4") > 0 ||
                   steady_now() > confirmed + 3 * service.base_settings.cancel_s;
        }));
        EXPECT_EQ(service.job_status("req-4"), "done");
        for (auto* worker : affected) row.set_fault(*worker, false);
        service.expect_stopped_in_time(confirmed, "req-2");
        EXPECT_EQ(service.cancel_at_node(service.leader_index(), "req-3"), "aborted");
        service.expect_no_violations();
    }
}

// New machines get work while transactions are executed late, and the leader crashes before its
// placements are recorded or while their transaction is in flight. All tasks must complete.
TEST(FaultScenarios, PlacementsSurviveSlowWritesAndLeaderCrash) {
    for (int lag : {1, 4}) {
        SCOPED_TRACE(lag);
        ServiceFixture::Options options;
        options.faulty_links = true;     // the worker lease outlasts the change of leader
        options.election_lease_s = 0.8;  // expires before a delayed transaction is executed
        FaultScenarioFixture service(3, options);
        service.base_settings.worker_response_timeout_s =
            1;  // longer than a heartbeat response is deferred
        submit_for_team(service, "req-2", "array", 24, 4, 2, "blue");  // needs more machines
        service.state_service->delay_txns = lag;
        // Longer than a heartbeat response is deferred for records, but shorter than the delay of
        // the first transaction.
        double until = steady_now() + 0.9;
        service.wait_until(
            [&] { return service.running_tasks("req-2") > 0 || steady_now() > until; });
        auto busy =
            service.workers_running("req-2");  // tasks run only after their placement is recorded
        for (auto* worker : busy) worker->unreachable = true;
        service.crash_leader();
        service.run_for(0.4 * service.base_settings.lease_s);
        for (auto* worker : busy) worker->unreachable = false;
        EXPECT_TRUE(service.wait_until_done("req-2"));
        EXPECT_GE(service.cloud->completed_tasks["req-2"],
                  24);  // more if a lease expired before a completion was reported
        service.expect_no_violations();
    }
}

// Users cancel jobs while the state service starts to refuse the leader; soon after, it is
// unavailable to all for longer than cancel_s. Confirmed cancellations must hold and their tasks
// must stop in time.
TEST(FaultScenarios, CancelsDuringLeaderRefusalHoldInOutage) {
    for (double pause_s : {-0.05, 0.0, 0.02}) {
        bool leader_crashes = pause_s > 0;  // and only the leader receives the cancellations
        SCOPED_TRACE(pause_s);
        FaultScenarioFixture service(3, isolated_peers());
        for (int j = 2; j < 8; ++j) service.start_job("req-" + std::to_string(j), 2);
        int old_leader = service.leader_index();
        std::map<std::string, std::vector<std::shared_ptr<ServiceFixture::PendingRequest>>>
            requests;
        auto cancel = [&](int j) {
            auto id = "req-" + std::to_string(j);
            for (int node = 0; node < 3; ++node)
                if (!leader_crashes || node == old_leader)
                    requests[id].push_back(service.send_request(static_cast<size_t>(node), "POST",
                                                                "/v2/runs/" + id + "/cancel"));
        };
        if (pause_s < 0) service.state_service->refused_controllers.insert(old_leader);
        for (int j = 2; j < 8; ++j) {
            cancel(j);
            service.run_for(std::max(0.0, pause_s));
            if (j == 4) service.state_service->refused_controllers.insert(old_leader);
        }
        double refused_at = steady_now();
        service.run_for(0.5);
        service.state_service->unavailable = true;
        if (leader_crashes) service.crash(old_leader);
        std::map<std::string, double> confirmed;
        double stop_delay_s = 0;
        service.wait_until([&] {
            for (auto& [id, list] : requests)
                for (auto& a : list)
                    if (a->finished && a->job_status() == "aborted")
                        confirmed.emplace(id, steady_now());
            for (auto& [id, at] : confirmed)
                if (service.cloud->is_running(id))
                    stop_delay_s = std::max(stop_delay_s, steady_now() - at);
            return steady_now() > refused_at + 1.2 * service.base_settings.cancel_s;
        });
        EXPECT_LT(stop_delay_s, service.base_settings.cancel_s);
        service.state_service->refused_controllers.clear();
        service.state_service->end_outage();
        for (auto& [id, at] : confirmed) EXPECT_EQ(service.job_status(id), "aborted") << id;
        for (auto& [id, list] : requests)
            EXPECT_EQ(service.cancel_at_node((old_leader + 1) % 3, id), "aborted");
        service.expect_no_violations();
    }
}

// Jobs are cancelled at all nodes while the leadership moves to another controller. Every request
// must be answered, and every cancellation must take effect.
TEST(FaultScenarios, CancelsDuringLeaderChangeTakeEffect) {
    struct Row {
        const char* what;
        std::function<void(FaultScenarioFixture&)> change_leader;
    };
    for (auto& row :
         {Row{"crashes",
              [](FaultScenarioFixture& service) { service.crash(service.leader_index()); }},
          Row{"refused",
              [](FaultScenarioFixture& service) {
                  service.state_service->refused_controllers = {service.leader_index()};
              }},
          Row{"paused", [](FaultScenarioFixture& service) {
                  service.alive[static_cast<size_t>(service.leader_index())] = false;
              }}}) {
        SCOPED_TRACE(row.what);
        FaultScenarioFixture service(3, isolated_peers());
        for (int j = 2; j < 12; ++j) service.start_job("req-" + std::to_string(j), 1);
        auto old_leader = service.leader_name();
        std::vector<std::shared_ptr<ServiceFixture::PendingRequest>> requests;
        for (int j = 2; j < 12; ++j) {
            if (j == 5) row.change_leader(service);
            for (size_t node = 0; node < 3; ++node)
                if (service.alive[node])
                    requests.push_back(service.send_request(
                        node, "POST", "/v2/runs/req-" + std::to_string(j) + "/cancel"));
            service.run_for(0.03);
        }
        service.wait_for_new_leader(old_leader);
        service.alive[static_cast<size_t>(old_leader.back() - '0')] =
            std::string(row.what) != "crashes";
        service.state_service->refused_controllers.clear();
        EXPECT_TRUE(service.wait_until([&] {
            return std::all_of(requests.begin(), requests.end(),
                               [](auto& a) { return a->finished; });
        }));
        for (int j = 2; j < 12; ++j) {
            auto id = "req-" + std::to_string(j);
            EXPECT_EQ(service.cancel_at_node(service.leader_index(), id), "aborted");
            EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running(id); }));
        }
        service.expect_no_violations();
    }
}

// The machines of a cancelled job are paused and continue before or after their lease has expired;
// the leader may change meanwhile. The tasks must stop in time and must not start again.
TEST(FaultScenarios, CancelStopsTasksOfPausedMachines) {
    struct Row {
        double leases;        // duration of the pause, in worker leases
        bool leader_changes;  // during the pause
    };
    for (auto& row : {Row{0.4, false}, Row{0.9, true}, Row{1.6, true}}) {
        SCOPED_TRACE(row.leases);
        FaultScenarioFixture service(3, isolated_peers());
        service.start_job("req-2", 3);
        auto machines = service.workers_running("req-2");
        for (auto* worker : machines) worker->paused = true;
        double paused_at = steady_now();
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
        double confirmed = steady_now();
        if (row.leader_changes)
            service.state_service->refused_controllers = {service.leader_index()};
        service.run_for(paused_at + row.leases * service.base_settings.lease_s - steady_now());
        for (auto* worker : machines) worker->paused = false;
        service.expect_stopped_in_time(confirmed, "req-2");
        for (int t = 0; t < 3; ++t)
            EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 1) << t;
        service.expect_no_violations();
    }
}

// Workers can't connect to any controller, but commands reach them. Commands must stop cancelled
// tasks long before the lease expires, other tasks may start elsewhere only after it, and the
// machines must not count as machines that lost their downlink.
TEST(FaultScenarios, StopCommandsReachMachinesWithoutUplink) {
    ServiceFixture::Options options;
    options.faulty_links = true;  // worker lease of 6 s
    FaultScenarioFixture service(2, options);
    service.start_job("req-2", 3);
    service.start_job("req-3", 2, 1.0 + 2 * service.base_settings.lease_s);
    std::set<fakes::Worker*> affected;
    for (const char* id : {"req-2", "req-3"})
        for (auto* worker : service.workers_running(id)) affected.insert(worker);
    for (auto* worker : affected) worker->uplink_lost = worker->lose_commands = true;
    double started_at = steady_now();
    ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
    service.run_for(0.1 * service.base_settings.lease_s);  // the first stop commands are lost
    for (auto* worker : affected) worker->lose_commands = false;
    EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running("req-2"); }));
    EXPECT_LT(steady_now() - started_at, 0.5 * service.base_settings.lease_s);
    EXPECT_TRUE(service.wait_until([&] {
        return service.cloud->task_starts["req-3/0"] > 1 ||
               service.cloud->task_starts["req-3/1"] > 1;
    }));
    EXPECT_GT(steady_now() - started_at,
              service.base_settings.lease_s - 2 * service.base_settings.heartbeat_interval_s);
    auto page =
        service.request_node(static_cast<size_t>(service.leader_index()), "GET", "/metrics", "");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find("\nweirmill_machines_deaf 0\n"), std::string::npos);
    for (auto* worker : affected) worker->uplink_lost = false;
    EXPECT_TRUE(service.wait_until_done("req-3"));
    service.expect_no_violations();
}

// An array and a gang that are bound to one zone lose machines. Their tasks must restart in that
// zone.
TEST(FaultScenarios, ZoneBoundJobsRestartInTheirZone) {
    FaultScenarioFixture service(2);
    for (const char* kind : {"array", "ensemble"}) {
        std::string id = kind[0] == 'a' ? "req-2" : "req-3";
        submit_for_team(service, id, kind, 3, 4, 2, "blue", "b");
        ASSERT_TRUE(service.wait_until([&] { return service.running_tasks(id) == 3; }));
        auto lost = service.workers_running(id);
        for (size_t i = 0; i < lost.size(); i += 2) lost[i]->kill();
        EXPECT_TRUE(service.wait_until_done(id)) << kind;
        EXPECT_EQ(service.running_tasks(id), 0);
    }
    service.expect_no_violations();
}

// A team has more work than its limit allows. The limit must hold, all jobs must complete, and a
// job of high priority must finish before the last one of low priority.
TEST(FaultScenarios, HighPriorityFinishesBeforeLowAtTeamLimit) {
    FaultScenarioFixture service(3);
    service.cloud->team_cpu_limits["red"] = 32;
    for (int j = 0; j < 4; ++j)
        submit_for_team(service, "req-" + std::to_string(10 + j), "array", 16, 1, 0.4, "red", "",
                        "low");
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->task_starts.size() > 8; }));
    submit_for_team(service, "req-20", "array", 16, 1, 0.4, "red", "", "high");
    ASSERT_TRUE(service.wait_until(
        [&] { return service.state_service->snapshot().count("f/req-20") > 0; }));
    int unfinished = 0;
    for (int j = 0; j < 4; ++j)
        unfinished +=
            service.state_service->snapshot().count("f/req-" + std::to_string(10 + j)) == 0;
    EXPECT_GT(unfinished, 0);
    for (int j = 0; j < 4; ++j)
        EXPECT_TRUE(service.wait_until_done("req-" + std::to_string(10 + j)));
    service.expect_no_violations();
}

// Every transaction is executed after the client's timeout when the leader crashes. Another leader
// must still be elected. A late campaign once found its lease expired, for as long as the delays
// lasted.
TEST(FaultScenarios, DelayedCampaignFindsItsLeaseValid) {
    ServiceFixture::Options options = isolated_peers();
    options.election_lease_s = 0.7;  // less than half of the delay of a transaction
    FaultScenarioFixture service(2, options);
    service.start_job("req-2", 2, 4);
    service.state_service->delay_txns = 1 << 20;
    service.crash_leader();
    EXPECT_TRUE(service.wait_until_done("req-2"));
    service.expect_no_violations();
}

}  // namespace
}  // namespace weirmill
