// The further meetings of the operators' page, over loopback (docs/failures.md, "Meetings").
#include "fault_scenario.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::FaultScenarioFixture;
using test::is_active;
using test::isolated_peers;
using test::ServiceFixture;

// A job of a team with a limit, or bound to a zone, as its user and its workers know it.
void submit_as(FaultScenarioFixture& service, const std::string& id, const std::string& kind,
               int tasks, double cpus, double run_s, const std::string& team,
               const std::string& zone = "", const std::string& urgency = "normal") {
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
        ServiceFixture::with_field(body, "urgency", json::string(urgency)), "expected_s", 60.0);
    if (!zone.empty()) body = ServiceFixture::with_field(body, "yard", json::string(zone));
    ASSERT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 201);
}

// A zone with workers and the leader is cut off for longer than a worker's lease: inside they hear
// each other, outside another controller leads, cancels, and starts nothing of the zone's work
// before it is proven gone.
TEST(MoreFaultScenarios, AZoneWithItsControllerCutOffForLongerThanALease) {
    FaultScenarioFixture service(3, isolated_peers());
    service.start_job("req-2", 4);
    service.start_job("req-3", 4, 12);
    int old = service.leader_index();
    for (auto* worker : service.workers_running("req-2")) {
        worker->only_controller = old;
        worker->lose_commands = true;
    }
    for (auto& [name, worker] : service.cloud->workers)
        if (worker->only_controller < 0) worker->unreachable_controller = old;
    double cut = steady_now();
    service.state_service->refused_controllers.insert(old);
    service.wait_for_new_leader("node-" + std::to_string(old));
    ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
    service.expect_stopped_in_time(steady_now(), "req-2");
    EXPECT_GT(steady_now() - cut, service.base_settings.lease_s);
    EXPECT_TRUE(is_active(service.job_status("req-3")) || service.job_status("req-3") == "done");
    service.state_service->refused_controllers.clear();
    for (auto& [name, worker] : service.cloud->workers)
        worker->only_controller = worker->unreachable_controller = -1,
        worker->lose_commands = false;
    EXPECT_TRUE(service.wait_until_done("req-3"));
    EXPECT_EQ(service.job_status("req-2"), "aborted");
    service.expect_no_violations();
}

// All controllers stand still, or end, for longer than a worker's lease: all work starts anew, each
// task once more, and what users were told holds.
TEST(MoreFaultScenarios, AllControllersAreAwayForLongerThanALease) {
    for (bool end : {false, true}) {
        SCOPED_TRACE(end);
        FaultScenarioFixture service(3, isolated_peers());
        service.start_job("req-2", 3, 3);
        service.start_job("req-3", 2);
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-3"), "aborted");
        for (int i = 0; i < 3; ++i) service.crash(i);
        service.run_for(1.5 * service.base_settings.lease_s);
        EXPECT_FALSE(service.cloud->is_running("req-2"));
        for (int i = 0; i < 3; ++i)
            end ? service.add_node(i) : void(service.alive[static_cast<size_t>(i)] = true);
        EXPECT_TRUE(service.wait_until_done("req-2"));
        EXPECT_EQ(service.job_status("req-3"), "aborted");
        for (int t = 0; t < 3; ++t)
            EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 2) << t;
        service.expect_no_violations();
    }
}

// Leaders change ten times, once inside an outage; at each change a job is submitted and another
// cancelled.
TEST(MoreFaultScenarios, LeadersChangeTenTimesAlsoInsideAnOutage) {
    ServiceFixture::Options with = isolated_peers();
    with.election_lease_s = 0.8;
    FaultScenarioFixture service(3, with);
    service.start_job("req-2", 2, 4);
    for (int n = 0; n < 10; ++n) {
        auto work = "req-" + std::to_string(100 + n), off = "req-" + std::to_string(200 + n);
        EXPECT_EQ(service.submit(work, "array", 1, {0.3}), 201);
        EXPECT_EQ(service.submit(off, "array", 1, {1000}), 201);
        auto old = service.leader_name();
        service.state_service->refused_controllers = {old.back() - '0'};
        EXPECT_EQ(service.cancel_at_node((old.back() - '0' + 1 + n % 2) % 3, off), "aborted");
        if (n == 5) {
            service.state_service->unavailable = true;
            service.run_for(2 * with.election_lease_s);
            service.state_service->end_outage();
        }
        service.wait_for_new_leader(old);
    }
    service.state_service->refused_controllers.clear();
    for (int n = 0; n < 10; ++n) {
        EXPECT_TRUE(service.wait_until_done("req-" + std::to_string(100 + n))) << n;
        EXPECT_EQ(service.job_status("req-" + std::to_string(200 + n)), "aborted") << n;
    }
    EXPECT_TRUE(service.wait_until_done("req-2"));
    service.expect_no_violations();
}

// Old reports come to every controller once more: as a new leader begins, before any newer one
// does, or once it has acted. What has ended is not brought back, what runs is not taken for lost.
TEST(MoreFaultScenarios, OldReportsReachEveryControllerAsANewLeaderBeginsOrHasActed) {
    for (bool acted : {false, true}) {
        SCOPED_TRACE(acted);
        ServiceFixture::Options with = isolated_peers();
        with.election_lease_s = 0.6;  // leaders change well within a worker's lease
        FaultScenarioFixture service(3, with);
        service.start_job("req-2", 3, 0.5);
        EXPECT_TRUE(service.wait_until_done("req-2"));
        std::map<fakes::Worker*, size_t> before;  // reports of the time before the next two jobs
        for (auto& [name, worker] : service.cloud->workers)
            before[worker.get()] = worker->heartbeat_count();
        service.start_job("req-3", 3, 5);
        service.start_job("req-4", 2);
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-4"), "aborted");
        auto old = service.leader_name();
        service.state_service->refused_controllers = {old.back() - '0'};
        for (auto& [name, worker] : service.cloud->workers) worker->unreachable = !acted;
        service.wait_for_new_leader(old);
        if (acted) {
            EXPECT_EQ(service.submit("req-5", "array", 4, {0.3}), 201);
            EXPECT_TRUE(service.wait_until_done("req-5"));
        }
        for (auto& [worker, n] : before)
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

// A team is at its limit as the leader changes; machines with its tasks are silent, hang or reach
// no controller, and those jobs are cancelled. What may still be there counts toward the limit;
// what waits begins once it is gone.
TEST(MoreFaultScenarios, ATeamAtItsLimitCountsWhatMayStillBeOnMachinesOutOfReach) {
    struct Row {
        const char* what;
        void (*away)(fakes::Worker&, bool);
    };
    for (auto& row :
         {Row{"silent", [](fakes::Worker& worker, bool away) { worker.unreachable = away; }},
          Row{"hung", [](fakes::Worker& worker, bool away) { worker.hung = away; }},
          Row{"mute", [](fakes::Worker& worker, bool away) { worker.uplink_lost = away; }}}) {
        SCOPED_TRACE(row.what);
        FaultScenarioFixture service(3, isolated_peers());
        service.cloud->team_cpu_limits["red"] = 32;  // as in the settings
        submit_as(service, "req-2", "array", 16, 1, 1000, "red");
        submit_as(service, "req-3", "array", 16, 1, 1000, "red");
        ASSERT_TRUE(service.wait_until(
            [&] { return service.running_tasks("req-2") + service.running_tasks("req-3") == 32; }));
        submit_as(service, "req-5", "array", 16, 1, 0.5,
                  "blue");  // for room that the limit alone keeps free
        EXPECT_TRUE(service.wait_until_done("req-5"));
        submit_as(service, "req-4", "array", 16, 1, 0.5, "red");
        auto away = service.workers_running("req-2");
        for (auto* worker : away) row.away(*worker, true);
        auto old = service.leader_name();
        service.state_service->refused_controllers = {old.back() - '0'};
        service.wait_for_new_leader(old);
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
        double confirmed = steady_now();
        EXPECT_TRUE(service.wait_until([&] {
            return service.state_service->snapshot().count("f/req-4") > 0 ||
                   steady_now() > confirmed + 3 * service.base_settings.cancel_s;
        }));
        EXPECT_EQ(service.job_status("req-4"), "done");
        for (auto* worker : away) row.away(*worker, false);
        service.expect_stopped_in_time(confirmed, "req-2");
        EXPECT_EQ(service.cancel_at_node(service.leader_index(), "req-3"), "aborted");
        service.expect_no_violations();
    }
}

// New machines are up at once and get work while writes lag, and the leader ends: before its
// placements are recorded, or with their record on its way.
TEST(MoreFaultScenarios, MachinesThatAreUpAtOnceGetWorkWhileWritesLagAndTheLeaderEnds) {
    for (int lag : {1, 4}) {
        SCOPED_TRACE(lag);
        ServiceFixture::Options with;
        with.faulty_links = true;     // for a lease of the workers that outlasts the change
        with.election_lease_s = 0.8;  // over before what lags is carried out
        FaultScenarioFixture service(3, with);
        service.base_settings.worker_patience_s = 1;             // longer than a report is held
        submit_as(service, "req-2", "array", 24, 4, 2, "blue");  // more than is there has room for
        service.state_service->delay_txns = lag;
        // For longer than a report is held for records, and not for as long as the first of them
        // takes.
        double until = steady_now() + 0.9;
        service.wait_until(
            [&] { return service.running_tasks("req-2") > 0 || steady_now() > until; });
        auto busy =
            service.workers_running("req-2");  // none of them but by a placement that is recorded
        for (auto* worker : busy) worker->unreachable = true;
        service.crash_leader();
        service.run_for(0.4 * service.base_settings.lease_s);
        for (auto* worker : busy) worker->unreachable = false;
        EXPECT_TRUE(service.wait_until_done("req-2"));
        EXPECT_GE(service.cloud->completed_tasks["req-2"],
                  24);  // more where a lease ran out on a result that nobody had heard of
        service.expect_no_violations();
    }
}

// Users call jobs off at the very moment at which the state service refuses the leader alone; soon
// after, it is out for all for longer than cancel_s. Whoever was told "aborted" finds it so, and
// its tasks end in time.
TEST(MoreFaultScenarios, CancellationsAtTheMomentAtWhichTheLeaderAloneIsRefusedBeforeALongOutage) {
    for (double before : {-0.05, 0.0, 0.02}) {
        bool ends = before > 0;  // the leader, which alone was asked, in the outage
        SCOPED_TRACE(before);
        FaultScenarioFixture service(3, isolated_peers());
        for (int j = 2; j < 8; ++j) service.start_job("req-" + std::to_string(j), 2);
        int old = service.leader_index();
        std::map<std::string, std::vector<std::shared_ptr<ServiceFixture::PendingRequest>>> asked;
        auto cancel = [&](int j) {
            auto id = "req-" + std::to_string(j);
            for (int node = 0; node < 3; ++node)
                if (!ends || node == old)
                    asked[id].push_back(service.send_request(static_cast<size_t>(node), "POST",
                                                             "/v2/runs/" + id + "/cancel"));
        };
        if (before < 0) service.state_service->refused_controllers.insert(old);
        for (int j = 2; j < 8; ++j) {
            cancel(j);
            service.run_for(std::max(0.0, before));
            if (j == 4) service.state_service->refused_controllers.insert(old);
        }
        double refused = steady_now();
        service.run_for(0.5);
        service.state_service->unavailable = true;
        if (ends) service.crash(old);
        std::map<std::string, double> confirmed;
        double gone_at = 0;
        service.wait_until([&] {
            for (auto& [id, list] : asked)
                for (auto& a : list)
                    if (a->finished && a->job_status() == "aborted")
                        confirmed.emplace(id, steady_now());
            for (auto& [id, at] : confirmed)
                if (service.cloud->is_running(id)) gone_at = std::max(gone_at, steady_now() - at);
            return steady_now() > refused + 1.2 * service.base_settings.cancel_s;
        });
        EXPECT_LT(gone_at, service.base_settings.cancel_s);
        service.state_service->refused_controllers.clear();
        service.state_service->end_outage();
        for (auto& [id, at] : confirmed) EXPECT_EQ(service.job_status(id), "aborted") << id;
        for (auto& [id, list] : asked)
            EXPECT_EQ(service.cancel_at_node((old + 1) % 3, id), "aborted");
        service.expect_no_violations();
    }
}

// Jobs are cancelled at all nodes in the moment in which one controller's work goes to another.
TEST(MoreFaultScenarios, CancellationsWhileOneControllersWorkChangesHands) {
    struct Row {
        const char* what;
        std::function<void(FaultScenarioFixture&)> change;
    };
    for (auto& row :
         {Row{"ends", [](FaultScenarioFixture& service) { service.crash(service.leader_index()); }},
          Row{"refused",
              [](FaultScenarioFixture& service) {
                  service.state_service->refused_controllers = {service.leader_index()};
              }},
          Row{"stands still", [](FaultScenarioFixture& service) {
                  service.alive[static_cast<size_t>(service.leader_index())] = false;
              }}}) {
        SCOPED_TRACE(row.what);
        FaultScenarioFixture service(3, isolated_peers());
        for (int j = 2; j < 12; ++j) service.start_job("req-" + std::to_string(j), 1);
        auto old = service.leader_name();
        std::vector<std::shared_ptr<ServiceFixture::PendingRequest>> asked;
        for (int j = 2; j < 12; ++j) {
            if (j == 5) row.change(service);
            for (size_t node = 0; node < 3; ++node)
                if (service.alive[node])
                    asked.push_back(service.send_request(
                        node, "POST", "/v2/runs/req-" + std::to_string(j) + "/cancel"));
            service.run_for(0.03);
        }
        service.wait_for_new_leader(old);
        service.alive[static_cast<size_t>(old.back() - '0')] = std::string(row.what) != "ends";
        service.state_service->refused_controllers.clear();
        EXPECT_TRUE(service.wait_until([&] {
            return std::all_of(asked.begin(), asked.end(), [](auto& a) { return a->finished; });
        }));
        for (int j = 2; j < 12; ++j) {
            auto id = "req-" + std::to_string(j);
            EXPECT_EQ(service.cancel_at_node(service.leader_index(), id), "aborted");
            EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running(id); }));
        }
        service.expect_no_violations();
    }
}

// The machine of a cancelled job hangs and goes on, within its lease or after it, and meanwhile the
// leader may change.
TEST(MoreFaultScenarios, ACancelledTaskWhoseMachineHangsAndGoesOnIsGoneInTimeAndNeverBegins) {
    struct Row {
        double leases;  // that it hangs
        bool change;    // of the leader
    };
    for (auto& row : {Row{0.4, false}, Row{0.9, true}, Row{1.6, true}}) {
        SCOPED_TRACE(row.leases);
        FaultScenarioFixture service(3, isolated_peers());
        service.start_job("req-2", 3);
        auto machines = service.workers_running("req-2");
        for (auto* worker : machines) worker->hung = true;
        double hung = steady_now();
        ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
        double confirmed = steady_now();
        if (row.change) service.state_service->refused_controllers = {service.leader_index()};
        service.run_for(hung + row.leases * service.base_settings.lease_s - steady_now());
        for (auto* worker : machines) worker->hung = false;
        service.expect_stopped_in_time(confirmed, "req-2");
        for (int t = 0; t < 3; ++t)
            EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 1) << t;
        service.expect_no_violations();
    }
}

// Workers can't open connections to any controller, while commands reach them: they are not taken
// for deaf, cancelled tasks are stopped by command long before their lease ends, and others start
// elsewhere only after it.
TEST(MoreFaultScenarios, MachinesThatReachNoControllerButHearCommands) {
    ServiceFixture::Options with;
    with.faulty_links = true;  // for a lease of 6 s
    FaultScenarioFixture service(2, with);
    service.start_job("req-2", 3);
    service.start_job("req-3", 2, 1.0 + 2 * service.base_settings.lease_s);
    std::set<fakes::Worker*> mute;
    for (const char* id : {"req-2", "req-3"})
        for (auto* worker : service.workers_running(id)) mute.insert(worker);
    for (auto* worker : mute) worker->uplink_lost = worker->lose_commands = true;
    double began = steady_now();
    ASSERT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
    service.run_for(0.1 * service.base_settings.lease_s);  // the first stops are lost
    for (auto* worker : mute) worker->lose_commands = false;
    EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running("req-2"); }));
    EXPECT_LT(steady_now() - began, 0.5 * service.base_settings.lease_s);
    EXPECT_TRUE(service.wait_until([&] {
        return service.cloud->task_starts["req-3/0"] > 1 ||
               service.cloud->task_starts["req-3/1"] > 1;
    }));
    EXPECT_GT(steady_now() - began,
              service.base_settings.lease_s - 2 * service.base_settings.heartbeat_interval_s);
    auto page =
        service.request_node(static_cast<size_t>(service.leader_index()), "GET", "/metrics", "");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find("\nweirmill_machines_deaf 0\n"), std::string::npos);
    for (auto* worker : mute) worker->uplink_lost = false;
    EXPECT_TRUE(service.wait_until_done("req-3"));
    service.expect_no_violations();
}

// Jobs bound to one zone, a gang and an array, lose their machines: they go on in that zone alone.
TEST(MoreFaultScenarios, JobsBoundToOneZoneLoseTheirMachines) {
    FaultScenarioFixture service(2);
    for (const char* kind : {"array", "ensemble"}) {
        std::string id = kind[0] == 'a' ? "req-2" : "req-3";
        submit_as(service, id, kind, 3, 4, 2, "blue", "b");
        ASSERT_TRUE(service.wait_until([&] { return service.running_tasks(id) == 3; }));
        auto lost = service.workers_running(id);
        for (size_t i = 0; i < lost.size(); i += 2) lost[i]->kill();
        EXPECT_TRUE(service.wait_until_done(id)) << kind;
        EXPECT_EQ(service.running_tasks(id), 0);
    }
    service.expect_no_violations();
}

// More work than a team's limit has room for, urgent and not: the limit holds, all of it runs in
// the end, and the urgent part is not the last.
TEST(MoreFaultScenarios, MoreWorkThanRoomUrgentAndNot) {
    FaultScenarioFixture service(3);
    service.cloud->team_cpu_limits["red"] = 32;
    for (int j = 0; j < 4; ++j)
        submit_as(service, "req-" + std::to_string(10 + j), "array", 16, 1, 0.4, "red", "", "low");
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->task_starts.size() > 8; }));
    submit_as(service, "req-20", "array", 16, 1, 0.4, "red", "", "high");
    ASSERT_TRUE(service.wait_until(
        [&] { return service.state_service->snapshot().count("f/req-20") > 0; }));
    int left = 0;
    for (int j = 0; j < 4; ++j)
        left += service.state_service->snapshot().count("f/req-" + std::to_string(10 + j)) == 0;
    EXPECT_GT(left, 0);
    for (int j = 0; j < 4; ++j)
        EXPECT_TRUE(service.wait_until_done("req-" + std::to_string(10 + j)));
    service.expect_no_violations();
}

// While no transaction is answered at all, each carried out late, the leader ends: another is
// elected all the same. A campaign that was carried out late used to find its lease over, for as
// long as that lasted.
TEST(MoreFaultScenarios, ACampaignThatIsCarriedOutLateFindsItsLeaseAlive) {
    ServiceFixture::Options with = isolated_peers();
    with.election_lease_s = 0.7;  // half as long as a transaction takes here
    FaultScenarioFixture service(2, with);
    service.start_job("req-2", 2, 4);
    service.state_service->delay_txns = 1 << 20;
    service.crash_leader();
    EXPECT_TRUE(service.wait_until_done("req-2"));
    service.expect_no_violations();
}

}  // namespace
}  // namespace weirmill
