// The further meetings of the operators' page, over loopback (docs/failures.md, "Meetings").
#include "fault_scenario.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::apart;
using test::FaultScenario;
using test::known;
using test::Service;

// A job of a team with a limit, or bound to a zone, as its user and its workers know it.
void submit_as(FaultScenario& s, const std::string& id, const std::string& kind, int tasks,
               double cpus, double run_s, const std::string& team, const std::string& zone = "",
               const std::string& urgency = "normal") {
    fakes::Job job;
    job.run_s = run_s;
    job.gang = kind == "ensemble";
    job.tasks = static_cast<uint32_t>(tasks);
    job.team = team;
    job.zone = zone;
    job.cpus = cpus;
    s.cloud->jobs[id] = job;
    auto body =
        Service::with(Service::submission(id, kind, tasks, cpus), "consignor", json::string(team));
    body = Service::with(Service::with(body, "urgency", json::string(urgency)), "expected_s", 60.0);
    if (!zone.empty()) body = Service::with(body, "yard", json::string(zone));
    ASSERT_EQ(s.ask("POST", "/v2/runs", body).status, 201);
}

// A zone with workers and the leader is cut off for longer than a worker's lease: inside they hear
// each other, outside another controller leads, cancels, and starts nothing of the zone's work
// before it is proven gone.
TEST(MoreFaultScenarios, AZoneWithItsControllerCutOffForLongerThanALease) {
    FaultScenario s(3, apart());
    s.start("req-2", 4);
    s.start("req-3", 4, 12);
    int old = s.leading();
    for (auto* w : s.machines_of("req-2")) {
        w->only = old;
        w->no_commands = true;
    }
    for (auto& [name, w] : s.cloud->workers)
        if (w->only < 0) w->cut_from = old;
    double cut = steady_now();
    s.state->refused.insert(old);
    s.next_leader_after("node-" + std::to_string(old));
    ASSERT_EQ(s.cancel_at(s.leading(), "req-2"), "aborted");
    s.expect_gone_by(steady_now(), "req-2");
    EXPECT_GT(steady_now() - cut, s.base.lease_s);
    EXPECT_TRUE(known(s.status("req-3")) || s.status("req-3") == "done");
    s.state->refused.clear();
    for (auto& [name, w] : s.cloud->workers) w->only = w->cut_from = -1, w->no_commands = false;
    EXPECT_TRUE(s.done("req-3"));
    EXPECT_EQ(s.status("req-2"), "aborted");
    s.expect_no_rule_broken();
}

// All controllers stand still, or end, for longer than a worker's lease: all work starts anew, each
// task once more, and what users were told holds.
TEST(MoreFaultScenarios, AllControllersAreAwayForLongerThanALease) {
    for (bool end : {false, true}) {
        SCOPED_TRACE(end);
        FaultScenario s(3, apart());
        s.start("req-2", 3, 3);
        s.start("req-3", 2);
        ASSERT_EQ(s.cancel_at(s.leading(), "req-3"), "aborted");
        for (int i = 0; i < 3; ++i) s.crash(i);
        s.pass(1.5 * s.base.lease_s);
        EXPECT_FALSE(s.cloud->on_some_machine("req-2"));
        for (int i = 0; i < 3; ++i)
            end ? s.add_node(i) : void(s.alive[static_cast<size_t>(i)] = true);
        EXPECT_TRUE(s.done("req-2"));
        EXPECT_EQ(s.status("req-3"), "aborted");
        for (int t = 0; t < 3; ++t)
            EXPECT_EQ(s.cloud->starts["req-2/" + std::to_string(t)], 2) << t;
        s.expect_no_rule_broken();
    }
}

// Leaders change ten times, once inside an outage; at each change a job is submitted and another
// cancelled.
TEST(MoreFaultScenarios, LeadersChangeTenTimesAlsoInsideAnOutage) {
    Service::With with = apart();
    with.lease_s = 0.8;
    FaultScenario s(3, with);
    s.start("req-2", 2, 4);
    for (int n = 0; n < 10; ++n) {
        auto work = "req-" + std::to_string(100 + n), off = "req-" + std::to_string(200 + n);
        EXPECT_EQ(s.submit(work, "array", 1, {0.3}), 201);
        EXPECT_EQ(s.submit(off, "array", 1, {1000}), 201);
        auto old = s.leader();
        s.state->refused = {old.back() - '0'};
        EXPECT_EQ(s.cancel_at((old.back() - '0' + 1 + n % 2) % 3, off), "aborted");
        if (n == 5) {
            s.state->down = true;
            s.pass(2 * with.lease_s);
            s.state->end_outage();
        }
        s.next_leader_after(old);
    }
    s.state->refused.clear();
    for (int n = 0; n < 10; ++n) {
        EXPECT_TRUE(s.done("req-" + std::to_string(100 + n))) << n;
        EXPECT_EQ(s.status("req-" + std::to_string(200 + n)), "aborted") << n;
    }
    EXPECT_TRUE(s.done("req-2"));
    s.expect_no_rule_broken();
}

// Old reports come to every controller once more: as a new leader begins, before any newer one
// does, or once it has acted. What has ended is not brought back, what runs is not taken for lost.
TEST(MoreFaultScenarios, OldReportsReachEveryControllerAsANewLeaderBeginsOrHasActed) {
    for (bool acted : {false, true}) {
        SCOPED_TRACE(acted);
        Service::With with = apart();
        with.lease_s = 0.6;  // leaders change well within a worker's lease
        FaultScenario s(3, with);
        s.start("req-2", 3, 0.5);
        EXPECT_TRUE(s.done("req-2"));
        std::map<fakes::Worker*, size_t> before;  // reports of the time before the next two jobs
        for (auto& [name, w] : s.cloud->workers) before[w.get()] = w->reports();
        s.start("req-3", 3, 5);
        s.start("req-4", 2);
        ASSERT_EQ(s.cancel_at(s.leading(), "req-4"), "aborted");
        auto old = s.leader();
        s.state->refused = {old.back() - '0'};
        for (auto& [name, w] : s.cloud->workers) w->silent = !acted;
        s.next_leader_after(old);
        if (acted) {
            EXPECT_EQ(s.submit("req-5", "array", 4, {0.3}), 201);
            EXPECT_TRUE(s.done("req-5"));
        }
        for (auto& [w, n] : before)
            for (size_t k = 0; k < n; k += std::max<size_t>(1, n / 10)) w->repeat_report(k);
        s.pass(0.3);
        for (auto& [name, w] : s.cloud->workers) w->silent = false;
        EXPECT_EQ(s.submit("req-6", "array", 4, {0.3}), 201);
        EXPECT_TRUE(s.done("req-6"));
        EXPECT_TRUE(s.done("req-3"));
        EXPECT_EQ(s.status("req-4"), "aborted");
        for (auto& [task, n] : s.cloud->starts) EXPECT_EQ(n, 1) << task;
        s.expect_no_rule_broken();
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
    for (auto& row : {Row{"silent", [](fakes::Worker& w, bool away) { w.silent = away; }},
                      Row{"hung", [](fakes::Worker& w, bool away) { w.hung = away; }},
                      Row{"mute", [](fakes::Worker& w, bool away) { w.mute = away; }}}) {
        SCOPED_TRACE(row.what);
        FaultScenario s(3, apart());
        s.cloud->limits["red"] = 32;  // as in the settings
        submit_as(s, "req-2", "array", 16, 1, 1000, "red");
        submit_as(s, "req-3", "array", 16, 1, 1000, "red");
        ASSERT_TRUE(s.until([&] { return s.running("req-2") + s.running("req-3") == 32; }));
        submit_as(s, "req-5", "array", 16, 1, 0.5,
                  "blue");  // for room that the limit alone keeps free
        EXPECT_TRUE(s.done("req-5"));
        submit_as(s, "req-4", "array", 16, 1, 0.5, "red");
        auto away = s.machines_of("req-2");
        for (auto* w : away) row.away(*w, true);
        auto old = s.leader();
        s.state->refused = {old.back() - '0'};
        s.next_leader_after(old);
        ASSERT_EQ(s.cancel_at(s.leading(), "req-2"), "aborted");
        double confirmed = steady_now();
        EXPECT_TRUE(s.until([&] {
            return s.state->keys().count("f/req-4") > 0 ||
                   steady_now() > confirmed + 3 * s.base.cancel_s;
        }));
        EXPECT_EQ(s.status("req-4"), "done");
        for (auto* w : away) row.away(*w, false);
        s.expect_gone_by(confirmed, "req-2");
        EXPECT_EQ(s.cancel_at(s.leading(), "req-3"), "aborted");
        s.expect_no_rule_broken();
    }
}

// New machines are up at once and get work while writes lag, and the leader ends: before its
// placements are recorded, or with their record on its way.
TEST(MoreFaultScenarios, MachinesThatAreUpAtOnceGetWorkWhileWritesLagAndTheLeaderEnds) {
    for (int lag : {1, 4}) {
        SCOPED_TRACE(lag);
        Service::With with;
        with.links = true;   // for a lease of the workers that outlasts the change
        with.lease_s = 0.8;  // over before what lags is carried out
        FaultScenario s(3, with);
        s.base.worker_response_timeout_s = 1;              // longer than a report is held
        submit_as(s, "req-2", "array", 24, 4, 2, "blue");  // more than is there has room for
        s.state->delay_txns = lag;
        // For longer than a report is held for records, and not for as long as the first of them
        // takes.
        double until = steady_now() + 0.9;
        s.until([&] { return s.running("req-2") > 0 || steady_now() > until; });
        auto busy = s.machines_of("req-2");  // none of them but by a placement that is recorded
        for (auto* w : busy) w->silent = true;
        s.crash_leader();
        s.pass(0.4 * s.base.lease_s);
        for (auto* w : busy) w->silent = false;
        EXPECT_TRUE(s.done("req-2"));
        EXPECT_GE(s.cloud->ends["req-2"],
                  24);  // more where a lease ran out on a result that nobody had heard of
        s.expect_no_rule_broken();
    }
}

// Users call jobs off at the very moment at which the state service refuses the leader alone; soon
// after, it is out for all for longer than cancel_s. Whoever was told "aborted" finds it so, and
// its tasks end in time.
TEST(MoreFaultScenarios, CancellationsAtTheMomentAtWhichTheLeaderAloneIsRefusedBeforeALongOutage) {
    for (double before : {-0.05, 0.0, 0.02}) {
        bool ends = before > 0;  // the leader, which alone was asked, in the outage
        SCOPED_TRACE(before);
        FaultScenario s(3, apart());
        for (int j = 2; j < 8; ++j) s.start("req-" + std::to_string(j), 2);
        int old = s.leading();
        std::map<std::string, std::vector<std::shared_ptr<Service::Asked>>> asked;
        auto cancel = [&](int j) {
            auto id = "req-" + std::to_string(j);
            for (int node = 0; node < 3; ++node)
                if (!ends || node == old)
                    asked[id].push_back(
                        s.begin(static_cast<size_t>(node), "POST", "/v2/runs/" + id + "/cancel"));
        };
        if (before < 0) s.state->refused.insert(old);
        for (int j = 2; j < 8; ++j) {
            cancel(j);
            s.pass(std::max(0.0, before));
            if (j == 4) s.state->refused.insert(old);
        }
        double refused = steady_now();
        s.pass(0.5);
        s.state->down = true;
        if (ends) s.crash(old);
        std::map<std::string, double> confirmed;
        double gone_at = 0;
        s.until([&] {
            for (auto& [id, list] : asked)
                for (auto& a : list)
                    if (a->over && a->state() == "aborted") confirmed.emplace(id, steady_now());
            for (auto& [id, at] : confirmed)
                if (s.cloud->on_some_machine(id)) gone_at = std::max(gone_at, steady_now() - at);
            return steady_now() > refused + 1.2 * s.base.cancel_s;
        });
        EXPECT_LT(gone_at, s.base.cancel_s);
        s.state->refused.clear();
        s.state->end_outage();
        for (auto& [id, at] : confirmed) EXPECT_EQ(s.status(id), "aborted") << id;
        for (auto& [id, list] : asked) EXPECT_EQ(s.cancel_at((old + 1) % 3, id), "aborted");
        s.expect_no_rule_broken();
    }
}

// Jobs are cancelled at all nodes in the moment in which one controller's work goes to another.
TEST(MoreFaultScenarios, CancellationsWhileOneControllersWorkChangesHands) {
    struct Row {
        const char* what;
        std::function<void(FaultScenario&)> change;
    };
    for (auto& row : {Row{"ends", [](FaultScenario& s) { s.crash(s.leading()); }},
                      Row{"refused", [](FaultScenario& s) { s.state->refused = {s.leading()}; }},
                      Row{"stands still", [](FaultScenario& s) {
                              s.alive[static_cast<size_t>(s.leading())] = false;
                          }}}) {
        SCOPED_TRACE(row.what);
        FaultScenario s(3, apart());
        for (int j = 2; j < 12; ++j) s.start("req-" + std::to_string(j), 1);
        auto old = s.leader();
        std::vector<std::shared_ptr<Service::Asked>> asked;
        for (int j = 2; j < 12; ++j) {
            if (j == 5) row.change(s);
            for (size_t node = 0; node < 3; ++node)
                if (s.alive[node])
                    asked.push_back(
                        s.begin(node, "POST", "/v2/runs/req-" + std::to_string(j) + "/cancel"));
            s.pass(0.03);
        }
        s.next_leader_after(old);
        s.alive[static_cast<size_t>(old.back() - '0')] = std::string(row.what) != "ends";
        s.state->refused.clear();
        EXPECT_TRUE(s.until([&] {
            return std::all_of(asked.begin(), asked.end(), [](auto& a) { return a->over; });
        }));
        for (int j = 2; j < 12; ++j) {
            auto id = "req-" + std::to_string(j);
            EXPECT_EQ(s.cancel_at(s.leading(), id), "aborted");
            EXPECT_TRUE(s.until([&] { return !s.cloud->on_some_machine(id); }));
        }
        s.expect_no_rule_broken();
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
        FaultScenario s(3, apart());
        s.start("req-2", 3);
        auto machines = s.machines_of("req-2");
        for (auto* w : machines) w->hung = true;
        double hung = steady_now();
        ASSERT_EQ(s.cancel_at(s.leading(), "req-2"), "aborted");
        double confirmed = steady_now();
        if (row.change) s.state->refused = {s.leading()};
        s.pass(hung + row.leases * s.base.lease_s - steady_now());
        for (auto* w : machines) w->hung = false;
        s.expect_gone_by(confirmed, "req-2");
        for (int t = 0; t < 3; ++t)
            EXPECT_EQ(s.cloud->starts["req-2/" + std::to_string(t)], 1) << t;
        s.expect_no_rule_broken();
    }
}

// Workers can't open connections to any controller, while commands reach them: they are not taken
// for deaf, cancelled tasks are stopped by command long before their lease ends, and others start
// elsewhere only after it.
TEST(MoreFaultScenarios, MachinesThatReachNoControllerButHearCommands) {
    Service::With with;
    with.links = true;  // for a lease of 6 s
    FaultScenario s(2, with);
    s.start("req-2", 3);
    s.start("req-3", 2, 1.0 + 2 * s.base.lease_s);
    std::set<fakes::Worker*> mute;
    for (const char* id : {"req-2", "req-3"})
        for (auto* w : s.machines_of(id)) mute.insert(w);
    for (auto* w : mute) w->mute = w->no_commands = true;
    double began = steady_now();
    ASSERT_EQ(s.cancel_at(s.leading(), "req-2"), "aborted");
    s.pass(0.1 * s.base.lease_s);  // the first stops are lost
    for (auto* w : mute) w->no_commands = false;
    EXPECT_TRUE(s.until([&] { return !s.cloud->on_some_machine("req-2"); }));
    EXPECT_LT(steady_now() - began, 0.5 * s.base.lease_s);
    EXPECT_TRUE(
        s.until([&] { return s.cloud->starts["req-3/0"] > 1 || s.cloud->starts["req-3/1"] > 1; }));
    EXPECT_GT(steady_now() - began, s.base.lease_s - 2 * s.base.heartbeat_interval_s);
    auto page = s.ask_node(static_cast<size_t>(s.leading()), "GET", "/metrics", "");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find("\nweirmill_machines_deaf 0\n"), std::string::npos);
    for (auto* w : mute) w->mute = false;
    EXPECT_TRUE(s.done("req-3"));
    s.expect_no_rule_broken();
}

// Jobs bound to one zone, a gang and an array, lose their machines: they go on in that zone alone.
TEST(MoreFaultScenarios, JobsBoundToOneZoneLoseTheirMachines) {
    FaultScenario s(2);
    for (const char* kind : {"array", "ensemble"}) {
        std::string id = kind[0] == 'a' ? "req-2" : "req-3";
        submit_as(s, id, kind, 3, 4, 2, "blue", "b");
        ASSERT_TRUE(s.until([&] { return s.running(id) == 3; }));
        auto lost = s.machines_of(id);
        for (size_t i = 0; i < lost.size(); i += 2) lost[i]->kill();
        EXPECT_TRUE(s.done(id)) << kind;
        EXPECT_EQ(s.running(id), 0);
    }
    s.expect_no_rule_broken();
}

// More work than a team's limit has room for, urgent and not: the limit holds, all of it runs in
// the end, and the urgent part is not the last.
TEST(MoreFaultScenarios, MoreWorkThanRoomUrgentAndNot) {
    FaultScenario s(3);
    s.cloud->limits["red"] = 32;
    for (int j = 0; j < 4; ++j)
        submit_as(s, "req-" + std::to_string(10 + j), "array", 16, 1, 0.4, "red", "", "low");
    ASSERT_TRUE(s.until([&] { return s.cloud->starts.size() > 8; }));
    submit_as(s, "req-20", "array", 16, 1, 0.4, "red", "", "high");
    ASSERT_TRUE(s.until([&] { return s.state->keys().count("f/req-20") > 0; }));
    int left = 0;
    for (int j = 0; j < 4; ++j)
        left += s.state->keys().count("f/req-" + std::to_string(10 + j)) == 0;
    EXPECT_GT(left, 0);
    for (int j = 0; j < 4; ++j) EXPECT_TRUE(s.done("req-" + std::to_string(10 + j)));
    s.expect_no_rule_broken();
}

// While no transaction is answered at all, each carried out late, the leader ends: another is
// elected all the same. A campaign that was carried out late used to find its lease over, for as
// long as that lasted.
TEST(MoreFaultScenarios, ACampaignThatIsCarriedOutLateFindsItsLeaseAlive) {
    Service::With with = apart();
    with.lease_s = 0.7;  // half as long as a transaction takes here
    FaultScenario s(2, with);
    s.start("req-2", 2, 4);
    s.state->delay_txns = 1 << 20;
    s.crash_leader();
    EXPECT_TRUE(s.done("req-2"));
    s.expect_no_rule_broken();
}

}  // namespace
}  // namespace weirmill
