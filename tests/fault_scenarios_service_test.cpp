// The service over loopback where two troubles meet (docs/failures.md, "Meetings"). What is cut,
// held or refused stays so until a condition holds; the bounds are those of the settings.
#include <random>

#include "fault_scenario.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::apart;
using test::FaultScenario;
using test::known;
using test::Service;

// The state service refuses the leader alone, another controller confirms a cancellation, and then
// the state service is down for all for longer than cancel_s, while the workers keep reporting to
// the old leader.
TEST(FaultScenarios, ACancellationThatTheOldLeaderCannotKnowOfEndsItsTasksInTimeThroughAnOutage) {
    struct Row {
        const char* what;
        bool commands;  // the next leader's stops reach the workers
        bool ends;      // the next leader ends as soon as it has confirmed
        bool peers;     // controllers hear each other
    };
    for (auto& row : {Row{"stops arrive", true, false, false},
                      Row{"nothing of the next leader's arrives", false, false, false},
                      Row{"the next leader ends", false, true, false},
                      Row{"peers tell of it", false, false, true}}) {
        FaultScenario s(3, row.peers ? Service::With{} : apart());
        s.start("req-2", 3);
        auto old = s.leader();
        for (auto& [name, w] : s.cloud->workers) w->no_commands = !row.commands;
        s.state->refused.insert(old.back() - '0');
        s.next_leader_after(old);
        auto next = s.leading();
        ASSERT_EQ(s.cancel_at(next, "req-2"), "aborted") << row.what;
        double confirmed = steady_now();
        s.state->down = true;
        if (row.ends) s.crash(next);
        EXPECT_TRUE(s.until([&] { return !s.cloud->on_some_machine("req-2"); }));
        double gone = steady_now() - confirmed;
        EXPECT_LT(gone, s.base.cancel_s) << row.what;
        if (row.commands) {
            EXPECT_LT(gone, s.base.lease_s) << row.what;  // before the grace and a lease are over
        }
        s.pass(std::max(0.0, s.base.cancel_s - gone));
        EXPECT_FALSE(s.cloud->on_some_machine("req-2")) << row.what;
        s.expect_no_rule_broken();
    }
}

// No transaction of anybody is answered, each is carried out late: the record of a cancellation
// stands, doors read it and tell users, and the leader has no answer for it. The tasks used to run
// on for as long as that lasted.
TEST(FaultScenarios, TasksOfACancelledJobEndAlthoughItsLeaderNeverLearnsThatItIsRecorded) {
    FaultScenario s(2);
    s.start("req-2", 3);
    s.state->delay_txns = 1 << 20;
    s.state->refuse_keys = true;  // and it can't read whether the transaction was carried out
    auto node = s.leading() == 0 ? 1 : 0;
    s.cancel_at(node, "req-2", [&] { return !s.cloud->on_some_machine("req-2"); });
    EXPECT_TRUE(s.until([&] { return !s.cloud->on_some_machine("req-2"); }));
    EXPECT_TRUE(s.until([&] { return s.recorded("[\"c\",\"req-2\"]"); }));
    s.state->refuse_keys = false;
    s.state->delay_txns = 0;
    EXPECT_TRUE(s.until([&] { return s.state->keys().count("f/req-2") > 0; }));
    EXPECT_EQ(s.status("req-2"), "aborted");
    s.expect_no_rule_broken();
}

// The same, and jobs are taken, started and ended: what was carried out is read. A leader that
// waited for an answered copy did nothing for as long as none was, and polls of a job that was
// being cancelled all failed.
TEST(FaultScenarios, WithoutAnyAnsweredTransactionWorkGoesOnAndEveryJobStaysKnown) {
    FaultScenario s(2);
    s.start("req-2", 2);
    s.state->delay_txns = 1 << 20;
    s.cloud->jobs["req-3"] = {};
    auto body = Service::submission("req-3", "array", 1);
    EXPECT_TRUE(s.until([&] {
        auto reply = s.ask_node(0, "POST", "/v2/runs", body);
        return reply && reply->status / 100 == 2;
    }));
    EXPECT_EQ(s.cancel_at(1, "req-2"), "aborted");
    for (int node : {0, 1})
        EXPECT_TRUE(s.until([&] {
            auto reply = s.ask_node(static_cast<size_t>(node), "GET", "/v2/runs/req-2", "");
            if (!reply || reply->status != 200) return false;
            EXPECT_EQ(json::parse(reply->body).at("status"), "aborted");
            return true;
        }));
    EXPECT_TRUE(s.done("req-3"));
    EXPECT_EQ(s.cloud->starts["req-3/0"], 1);
    s.expect_no_rule_broken();
}

// The record of a job's end stands, its leader has no answer for it, and controllers refuse each
// other: a follower's door reads the end and tells it. The leader used to call the same job running
// afterwards.
TEST(FaultScenarios, NobodyCallsAJobRunningOfWhichADoorHasToldTheEnd) {
    for (bool cancelled : {false, true}) {
        FaultScenario s(2, apart());
        s.start("req-2", 2, cancelled ? 1000 : 1.5);
        std::string end = cancelled ? "aborted" : "done";
        s.state->delay_txns = 1 << 20;
        auto leader = static_cast<size_t>(s.leading()), follower = 1 - leader;
        auto at = [&](size_t node) {
            auto reply = s.ask_node(node, "GET", "/v2/runs/req-2", "");
            if (!reply || reply->status != 200) return std::string();
            return std::string(json::parse(reply->body).at("status").as_string());
        };
        if (cancelled) (void)s.ask_node(leader, "POST", "/v2/runs/req-2/cancel", "");
        ASSERT_TRUE(s.until([&] { return at(follower) == end; })) << end;
        for (int i = 0; i < 20; ++i) {
            auto state = at(leader);
            EXPECT_TRUE(state.empty() || state == end) << state << " after " << end;
        }
        s.state->delay_txns = 0;
        EXPECT_TRUE(s.until([&] { return at(leader) == end; }));
        s.expect_no_rule_broken();
    }
}

// Renewals are carried out at once and answered after more than a quarter of the lease: the leader
// stays sure of it. It used to give each up after a quarter, and led no more, while nobody else
// could.
TEST(FaultScenarios, AStateServiceThatAnswersRenewalsSlowlyKeepsItsLeader) {
    Service::With with;
    with.lease_s = 6;
    FaultScenario s(2, with);
    auto leader = s.leader();
    s.state->slow_leases_s = 0.4 * with.lease_s;
    s.pass(1.2 * with.lease_s);  // by then what was renewed before is over
    for (int i = 0; i < 5; ++i) {
        auto id = "req-" + std::to_string(10 + i);
        s.cloud->jobs[id] = {};
        auto reply = s.ask_node(static_cast<size_t>(s.leading()), "POST", "/v2/runs",
                                Service::submission(id, "array", 1));
        EXPECT_TRUE(reply && reply->status == 201) << (reply ? reply->status : 0);
        EXPECT_TRUE(s.done(id));
    }
    EXPECT_EQ(s.leader(), leader);
    s.expect_no_rule_broken();
}

// A leader ends while a machine with long tasks is silent, or does not hear the next leader's
// answers: nothing of it starts elsewhere before its lease is over, and all of it runs in the end.
TEST(FaultScenarios, LongTasksOnMachinesOutOfReachOutliveAChangeOfLeaderOrStartAnew) {
    for (bool downlink_lost : {false, true}) {
        FaultScenario s(2);
        s.start("req-2", 4, 6);
        std::vector<fakes::Worker*> lost;
        for (auto& [name, w] : s.cloud->workers)
            if (w->runs("req-2")) lost.push_back(w.get());
        ASSERT_FALSE(lost.empty());
        for (auto* w : lost) downlink_lost ? w->downlink_lost = true : w->silent = true;
        s.crash_leader();
        s.pass(0.7 * s.base.lease_s);
        EXPECT_TRUE(known(s.status("req-2"))) << downlink_lost;
        if (!downlink_lost) lost[0]->silent = false;  // back within its lease, the others not
        EXPECT_TRUE(s.until([&] {
            return s.running("req-2") == 0 || s.state->keys().count("f/req-2") > 0;
        }) || s.cloud->starts["req-2/0"] > 0);
        for (auto* w : lost) w->downlink_lost = w->silent = false;
        EXPECT_TRUE(s.done("req-2"));
        s.expect_no_rule_broken();
    }
}

// Tasks of one job end far apart, with a change of leader after each: each is counted once, and the
// job is done when the last is, not before and not never.
TEST(FaultScenarios, TasksThatEndFarApartAcrossChangesOfLeaderAreCountedOnce) {
    FaultScenario s(3, apart());
    fakes::Job job;
    job.run_s = 0.3;
    job.stagger_s = 3;  // each task as much longer than the one before it
    ASSERT_EQ(s.submit("req-2", "array", 3, job), 201);
    for (int ended = 1; ended <= 2; ++ended) {
        ASSERT_TRUE(s.until([&] { return s.cloud->ends["req-2"] >= ended; }));
        EXPECT_TRUE(known(s.status("req-2"))) << ended;
        auto old = s.leader();
        s.state->refused = {old.back() - '0'};
        s.next_leader_after(old);
        EXPECT_NE(s.status("req-2"), "done");
        EXPECT_LT(s.cloud->ends["req-2"], 3);
    }
    EXPECT_TRUE(s.done("req-2"));
    EXPECT_EQ(s.cloud->ends["req-2"], 3);
    for (int t = 0; t < 3; ++t) EXPECT_EQ(s.cloud->starts["req-2/" + std::to_string(t)], 1) << t;
    s.expect_no_rule_broken();
}

// A stop is held up on its way to the machine, whose worker goes on reporting; by the time that it
// arrives the job has ended and another job's task, or a later attempt, is there.
TEST(FaultScenarios, AStopThatIsHeldUpStopsNothingThatCameLater) {
    FaultScenario s(2, apart());
    s.start("req-2", 3);
    for (auto& [name, w] : s.cloud->workers) w->hold_commands = true;
    EXPECT_EQ(s.cancel_at(s.leading(), "req-2"), "aborted");
    EXPECT_TRUE(
        s.until([&] { return s.state->keys().count("f/req-2") > 0; }));  // by answers to reports
    s.start("req-3", 3, 1.5);
    auto old = s.leader();
    s.state->refused.insert(old.back() - '0');
    s.next_leader_after(old);
    for (auto& [name, w] : s.cloud->workers) w->hold_commands = false;
    EXPECT_TRUE(s.done("req-3"));
    for (int t = 0; t < 3; ++t) EXPECT_EQ(s.cloud->starts["req-3/" + std::to_string(t)], 1) << t;
    EXPECT_EQ(s.status("req-2"), "aborted");
    s.expect_no_rule_broken();
}

// The state service answers slowly, refuses the leader, then all, while users cancel and ask:
// whatever node answers, no answer is older than one given, and "aborted" is told of recorded
// cancellations alone.
TEST(FaultScenarios, NoAnswerGoesBackWhileTheStateServiceIsSlowThenRefusesOneThenAll) {
    FaultScenario s(3, apart());
    s.start("req-2", 2);
    s.start("req-3", 2);
    s.start("req-4", 2);  // cancelled through the next leader alone
    bool confirmed = false, next_told = false;
    auto look = [&] {
        for (size_t node = 0; node < s.nodes.size(); ++node)
            for (const char* id : {"req-2", "req-3", "req-4"}) {
                auto reply = s.ask_node(node, "GET", std::string("/v2/runs/") + id, "");
                ASSERT_TRUE(reply);
                if (reply->status == 503) continue;
                ASSERT_EQ(reply->status, 200) << id;
                auto state = json::parse(reply->body).at("status").as_string();
                if (std::string(id) == "req-4" && next_told) {
                    EXPECT_EQ(state, "aborted") << node;
                } else if (std::string(id) != "req-2") {
                    EXPECT_TRUE(known(std::string(state))) << state;
                } else if (confirmed) {
                    EXPECT_EQ(state, "aborted") << node;
                } else if (state == "aborted") {
                    EXPECT_TRUE(s.recorded("[\"c\",\"req-2\"]"));
                    confirmed = true;
                }
            }
    };
    auto old = s.leader();
    s.state->slow_leases_s = 0.5;
    s.state->delay_txns = 3;
    (void)s.ask_node(static_cast<size_t>(s.leading()), "POST", "/v2/runs/req-2/cancel", "");
    look();
    s.state->refused.insert(old.back() - '0');
    look();
    confirmed = s.cancel_at((old.back() - '0' + 1) % 3, "req-2") == "aborted" || confirmed;
    EXPECT_TRUE(confirmed);
    s.next_leader_after(old);
    next_told = s.cancel_at(s.leading(), "req-4") == "aborted";
    EXPECT_TRUE(next_told);
    look();
    s.state->down = true;
    for (int i = 0; i < 5; ++i) look();
    s.state->slow_leases_s = 0;
    s.state->end_outage();
    s.state->refused.clear();
    for (int i = 0; i < 5; ++i) look();
    for (const char* id : {"req-2", "req-4"}) {
        EXPECT_EQ(s.status(id), "aborted") << id;
        EXPECT_TRUE(s.until([&] { return !s.cloud->on_some_machine(id); })) << id;
    }
    s.expect_no_rule_broken();
}

// Users ask at all nodes within milliseconds, again and again: right after a job was accepted, at
// the end of its task and after a confirmed cancellation, which comes at that end, too. What they
// were told is judged by the history.
TEST(FaultScenarios, WhoeverAsksAtAnyNodeAroundAnEndIsToldNothingOlder) {
    struct Row {
        const char* what;
        bool peers;                                        // controllers hear each other
        std::function<void(FaultScenario&, int)> trouble;  // after so many jobs
    };
    const Row rows[] = {
        {"no trouble", true, [](FaultScenario&, int) {}},
        {"doors and leader apart", false, [](FaultScenario&, int) {}},
        {"answers are lost, and others read what was written", true,
         [](FaultScenario& s, int n) {
             if (n % 5 == 0) s.state->lose_txn_answers = 1;
         }},
        {"transactions are carried out late", false,
         [](FaultScenario& s, int n) {
             if (n % 7 == 0) s.state->delay_txns = 1;
         }},
        {"the leader ends", true,
         [](FaultScenario& s, int n) {
             if (n == 12) s.crash(s.leading());
         }},
        {"the state service refuses the leader", false,
         [](FaultScenario& s, int n) {
             if (n == 8)
                 s.state->refused.insert(s.leading());
             else if (n == 16)
                 s.state->refused.clear();
         }},
    };
    constexpr int kJobs = 24;
    for (auto& row : rows) {
        SCOPED_TRACE(row.what);
        std::mt19937 random(7);
        auto between = [&](double a, double b) {
            return std::uniform_real_distribution<double>(a, b)(random);
        };
        FaultScenario s(3, row.peers ? Service::With{} : apart());
        struct Job {
            std::string id, body;
            double started = 0, cancel_at = 1e18;
            bool cancels = false, looked = false;
            std::vector<std::pair<std::shared_ptr<Service::Asked>, bool>>
                asked;  // and whether it is looked after
        };
        std::vector<Job> jobs;
        auto everywhere = [&](Job& job, const char* method, const std::string& target,
                              bool look_after) {
            for (size_t node = 0; node < s.nodes.size(); ++node)
                if (s.alive[node])
                    job.asked.emplace_back(
                        s.begin(node, method, target,
                                method[0] == 'P' && target == "/v2/runs" ? job.body : ""),
                        look_after);
        };
        auto step = [&] {
            s.turn();
            for (auto& job : jobs) {
                std::string target = "/v2/runs/" + job.id;
                if (job.started == 0 && s.cloud->starts[job.id + "/0"] > 0) {
                    job.started = steady_now();
                    if (job.cancels)
                        job.cancel_at =
                            job.started + s.cloud->jobs[job.id].run_s + between(-0.05, 0.15);
                }
                if (steady_now() > job.cancel_at) {
                    job.cancel_at = 1e18;
                    everywhere(job, "POST", target + "/cancel", true);
                    everywhere(job, "GET", target, false);
                }
                if (!job.looked && s.state->keys().count("f/" + job.id)) {
                    job.looked = true;
                    everywhere(job, "GET", target, true);
                    everywhere(job, "POST", "/v2/runs", true);
                }
                auto asked = std::exchange(job.asked, {});
                bool looks = false;
                for (auto& [a, look_after] : asked) {
                    if (!a->over)
                        job.asked.emplace_back(a, look_after);
                    else
                        looks = looks || (look_after && !a->state().empty());
                }
                if (!looks) continue;
                everywhere(job, "GET", target, false);
                if (random() % 2) everywhere(job, "POST", "/v2/runs", false);
            }
        };
        for (int n = 0; n < kJobs; ++n) {
            Job job;
            job.id = "req-" + std::to_string(100 + n);
            job.body = Service::submission(job.id, "array", 1);
            job.cancels = n % 2 == 0;
            fakes::Job work;
            work.run_s = between(0.1, 0.5);
            s.cloud->jobs[job.id] = work;
            jobs.push_back(std::move(job));
            row.trouble(s, n);
            everywhere(jobs.back(), "POST", "/v2/runs", true);
            for (double end = steady_now() + 0.1; steady_now() < end;) step();
        }
        s.state->refused.clear();
        EXPECT_TRUE(s.until([&] {
            step();
            return std::all_of(jobs.begin(), jobs.end(), [&](auto& job) {
                // Of one that nobody accepted, as all were told to come back, there is nothing to
                // wait for.
                bool accepted = std::any_of(
                    s.history.exchanges.begin(), s.history.exchanges.end(), [&](auto& e) {
                        return e.job == job.id && (e.status == 200 || e.status == 201);
                    });
                return (!accepted || (job.looked && s.state->keys().count("f/" + job.id))) &&
                       job.asked.empty();
            });
        }));
        EXPECT_GT(s.history.exchanges.size(), 300u);
        s.expect_no_rule_broken();
    }
}

// Controllers hand over and back, all end, and one is back at once: tasks run on, and each starts
// once.
TEST(FaultScenarios, AllEndInTheMiddleOfAnElectionAndOneIsBackAtOnce) {
    Service::With with;
    with.links = true;  // for a lease of the workers that outlasts all this
    FaultScenario s(2, with);
    s.start("req-2", 3, 4);
    s.crash_leader();
    int second = s.leading();
    s.crash(second);
    s.state->delay_txns = 1;  // its end of the former life, or a campaign, is carried out late
    s.add_node(second);
    EXPECT_TRUE(s.done("req-2"));
    for (int t = 0; t < 3; ++t) EXPECT_EQ(s.cloud->starts["req-2/" + std::to_string(t)], 1) << t;
    s.expect_no_rule_broken();
}

}  // namespace
}  // namespace weirmill
