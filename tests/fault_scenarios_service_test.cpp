// The service over loopback where two troubles meet (docs/failures.md, "Meetings"). What is cut,
// held or refused stays so until a condition holds; the bounds are those of the settings.
#include <random>

#include "fault_scenario.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::FaultScenarioFixture;
using test::is_active;
using test::isolated_peers;
using test::ServiceFixture;

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
        FaultScenarioFixture service(3, row.peers ? ServiceFixture::Options{} : isolated_peers());
        service.start_job("req-2", 3);
        auto old = service.leader_name();
        for (auto& [name, worker] : service.cloud->workers) worker->lose_commands = !row.commands;
        service.state_service->refused_controllers.insert(old.back() - '0');
        service.wait_for_new_leader(old);
        auto next = service.leader_index();
        ASSERT_EQ(service.cancel_at_node(next, "req-2"), "aborted") << row.what;
        double confirmed = steady_now();
        service.state_service->unavailable = true;
        if (row.ends) service.crash(next);
        EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running("req-2"); }));
        double gone = steady_now() - confirmed;
        EXPECT_LT(gone, service.base_settings.cancel_s) << row.what;
        if (row.commands) {
            EXPECT_LT(gone, service.base_settings.lease_s)
                << row.what;  // before the grace and a lease are over
        }
        service.run_for(std::max(0.0, service.base_settings.cancel_s - gone));
        EXPECT_FALSE(service.cloud->is_running("req-2")) << row.what;
        service.expect_no_violations();
    }
}

// No transaction of anybody is answered, each is carried out late: the record of a cancellation
// stands, doors read it and tell users, and the leader has no answer for it. The tasks used to run
// on for as long as that lasted.
TEST(FaultScenarios, TasksOfACancelledJobEndAlthoughItsLeaderNeverLearnsThatItIsRecorded) {
    FaultScenarioFixture service(2);
    service.start_job("req-2", 3);
    service.state_service->delay_txns = 1 << 20;
    service.state_service->refuse_key_reads =
        true;  // and it can't read whether the transaction was carried out
    auto node = service.leader_index() == 0 ? 1 : 0;
    service.cancel_at_node(node, "req-2", [&] { return !service.cloud->is_running("req-2"); });
    EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running("req-2"); }));
    EXPECT_TRUE(service.wait_until([&] { return service.log_contains("[\"c\",\"req-2\"]"); }));
    service.state_service->refuse_key_reads = false;
    service.state_service->delay_txns = 0;
    EXPECT_TRUE(
        service.wait_until([&] { return service.state_service->snapshot().count("f/req-2") > 0; }));
    EXPECT_EQ(service.job_status("req-2"), "aborted");
    service.expect_no_violations();
}

// The same, and jobs are taken, started and ended: what was carried out is read. A leader that
// waited for an answered copy did nothing for as long as none was, and polls of a job that was
// being cancelled all failed.
TEST(FaultScenarios, WithoutAnyAnsweredTransactionWorkGoesOnAndEveryJobStaysKnown) {
    FaultScenarioFixture service(2);
    service.start_job("req-2", 2);
    service.state_service->delay_txns = 1 << 20;
    service.cloud->jobs["req-3"] = {};
    auto body = ServiceFixture::submission_body("req-3", "array", 1);
    EXPECT_TRUE(service.wait_until([&] {
        auto reply = service.request_node(0, "POST", "/v2/runs", body);
        return reply && reply->status / 100 == 2;
    }));
    EXPECT_EQ(service.cancel_at_node(1, "req-2"), "aborted");
    for (int node : {0, 1})
        EXPECT_TRUE(service.wait_until([&] {
            auto reply =
                service.request_node(static_cast<size_t>(node), "GET", "/v2/runs/req-2", "");
            if (!reply || reply->status != 200) return false;
            EXPECT_EQ(json::parse(reply->body).at("status"), "aborted");
            return true;
        }));
    EXPECT_TRUE(service.wait_until_done("req-3"));
    EXPECT_EQ(service.cloud->task_starts["req-3/0"], 1);
    service.expect_no_violations();
}

// The record of a job's end stands, its leader has no answer for it, and controllers refuse each
// other: a follower's door reads the end and tells it. The leader used to call the same job running
// afterwards.
TEST(FaultScenarios, NobodyCallsAJobRunningOfWhichADoorHasToldTheEnd) {
    for (bool cancelled : {false, true}) {
        FaultScenarioFixture service(2, isolated_peers());
        service.start_job("req-2", 2, cancelled ? 1000 : 1.5);
        std::string end = cancelled ? "aborted" : "done";
        service.state_service->delay_txns = 1 << 20;
        auto leader = static_cast<size_t>(service.leader_index()), follower = 1 - leader;
        auto at = [&](size_t node) {
            auto reply = service.request_node(node, "GET", "/v2/runs/req-2", "");
            if (!reply || reply->status != 200) return std::string();
            return std::string(json::parse(reply->body).at("status").as_string());
        };
        if (cancelled) (void)service.request_node(leader, "POST", "/v2/runs/req-2/cancel", "");
        ASSERT_TRUE(service.wait_until([&] { return at(follower) == end; })) << end;
        for (int i = 0; i < 20; ++i) {
            auto state = at(leader);
            EXPECT_TRUE(state.empty() || state == end) << state << " after " << end;
        }
        service.state_service->delay_txns = 0;
        EXPECT_TRUE(service.wait_until([&] { return at(leader) == end; }));
        service.expect_no_violations();
    }
}

// Renewals are carried out at once and answered after more than a quarter of the lease: the leader
// stays sure of it. It used to give each up after a quarter, and led no more, while nobody else
// could.
TEST(FaultScenarios, AStateServiceThatAnswersRenewalsSlowlyKeepsItsLeader) {
    ServiceFixture::Options with;
    with.election_lease_s = 6;
    FaultScenarioFixture service(2, with);
    auto leader = service.leader_name();
    service.state_service->lease_response_delay_s = 0.4 * with.election_lease_s;
    service.run_for(1.2 * with.election_lease_s);  // by then what was renewed before is over
    for (int i = 0; i < 5; ++i) {
        auto id = "req-" + std::to_string(10 + i);
        service.cloud->jobs[id] = {};
        auto reply =
            service.request_node(static_cast<size_t>(service.leader_index()), "POST", "/v2/runs",
                                 ServiceFixture::submission_body(id, "array", 1));
        EXPECT_TRUE(reply && reply->status == 201) << (reply ? reply->status : 0);
        EXPECT_TRUE(service.wait_until_done(id));
    }
    EXPECT_EQ(service.leader_name(), leader);
    service.expect_no_violations();
}

// A leader ends while a machine with long tasks is silent, or does not hear the next leader's
// answers: nothing of it starts elsewhere before its lease is over, and all of it runs in the end.
TEST(FaultScenarios, LongTasksOnMachinesOutOfReachOutliveAChangeOfLeaderOrStartAnew) {
    for (bool downlink_lost : {false, true}) {
        FaultScenarioFixture service(2);
        service.start_job("req-2", 4, 6);
        std::vector<fakes::Worker*> lost;
        for (auto& [name, worker] : service.cloud->workers)
            if (worker->is_running("req-2")) lost.push_back(worker.get());
        ASSERT_FALSE(lost.empty());
        for (auto* worker : lost)
            downlink_lost ? worker->downlink_lost = true : worker->unreachable = true;
        service.crash_leader();
        service.run_for(0.7 * service.base_settings.lease_s);
        EXPECT_TRUE(is_active(service.job_status("req-2"))) << downlink_lost;
        if (!downlink_lost) lost[0]->unreachable = false;  // back within its lease, the others not
        EXPECT_TRUE(service.wait_until([&] {
            return service.running_tasks("req-2") == 0 ||
                   service.state_service->snapshot().count("f/req-2") > 0;
        }) || service.cloud->task_starts["req-2/0"] > 0);
        for (auto* worker : lost) worker->downlink_lost = worker->unreachable = false;
        EXPECT_TRUE(service.wait_until_done("req-2"));
        service.expect_no_violations();
    }
}

// Tasks of one job end far apart, with a change of leader after each: each is counted once, and the
// job is done when the last is, not before and not never.
TEST(FaultScenarios, TasksThatEndFarApartAcrossChangesOfLeaderAreCountedOnce) {
    FaultScenarioFixture service(3, isolated_peers());
    fakes::Job job;
    job.run_s = 0.3;
    job.stagger_s = 3;  // each task as much longer than the one before it
    ASSERT_EQ(service.submit("req-2", "array", 3, job), 201);
    for (int ended = 1; ended <= 2; ++ended) {
        ASSERT_TRUE(
            service.wait_until([&] { return service.cloud->completed_tasks["req-2"] >= ended; }));
        EXPECT_TRUE(is_active(service.job_status("req-2"))) << ended;
        auto old = service.leader_name();
        service.state_service->refused_controllers = {old.back() - '0'};
        service.wait_for_new_leader(old);
        EXPECT_NE(service.job_status("req-2"), "done");
        EXPECT_LT(service.cloud->completed_tasks["req-2"], 3);
    }
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_EQ(service.cloud->completed_tasks["req-2"], 3);
    for (int t = 0; t < 3; ++t)
        EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 1) << t;
    service.expect_no_violations();
}

// A stop is held up on its way to the machine, whose worker goes on reporting; by the time that it
// arrives the job has ended and another job's task, or a later attempt, is there.
TEST(FaultScenarios, AStopThatIsHeldUpStopsNothingThatCameLater) {
    FaultScenarioFixture service(2, isolated_peers());
    service.start_job("req-2", 3);
    for (auto& [name, worker] : service.cloud->workers) worker->hold_commands = true;
    EXPECT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
    EXPECT_TRUE(service.wait_until([&] {
        return service.state_service->snapshot().count("f/req-2") > 0;
    }));  // by answers to reports
    service.start_job("req-3", 3, 1.5);
    auto old = service.leader_name();
    service.state_service->refused_controllers.insert(old.back() - '0');
    service.wait_for_new_leader(old);
    for (auto& [name, worker] : service.cloud->workers) worker->hold_commands = false;
    EXPECT_TRUE(service.wait_until_done("req-3"));
    for (int t = 0; t < 3; ++t)
        EXPECT_EQ(service.cloud->task_starts["req-3/" + std::to_string(t)], 1) << t;
    EXPECT_EQ(service.job_status("req-2"), "aborted");
    service.expect_no_violations();
}

// The state service answers slowly, refuses the leader, then all, while users cancel and ask:
// whatever node answers, no answer is older than one given, and "aborted" is told of recorded
// cancellations alone.
TEST(FaultScenarios, NoAnswerGoesBackWhileTheStateServiceIsSlowThenRefusesOneThenAll) {
    FaultScenarioFixture service(3, isolated_peers());
    service.start_job("req-2", 2);
    service.start_job("req-3", 2);
    service.start_job("req-4", 2);  // cancelled through the next leader alone
    bool confirmed = false, next_told = false;
    auto look = [&] {
        for (size_t node = 0; node < service.nodes.size(); ++node)
            for (const char* id : {"req-2", "req-3", "req-4"}) {
                auto reply = service.request_node(node, "GET", std::string("/v2/runs/") + id, "");
                ASSERT_TRUE(reply);
                if (reply->status == 503) continue;
                ASSERT_EQ(reply->status, 200) << id;
                auto state = json::parse(reply->body).at("status").as_string();
                if (std::string(id) == "req-4" && next_told) {
                    EXPECT_EQ(state, "aborted") << node;
                } else if (std::string(id) != "req-2") {
                    EXPECT_TRUE(is_active(std::string(state))) << state;
                } else if (confirmed) {
                    EXPECT_EQ(state, "aborted") << node;
                } else if (state == "aborted") {
                    EXPECT_TRUE(service.log_contains("[\"c\",\"req-2\"]"));
                    confirmed = true;
                }
            }
    };
    auto old = service.leader_name();
    service.state_service->lease_response_delay_s = 0.5;
    service.state_service->delay_txns = 3;
    (void)service.request_node(static_cast<size_t>(service.leader_index()), "POST",
                               "/v2/runs/req-2/cancel", "");
    look();
    service.state_service->refused_controllers.insert(old.back() - '0');
    look();
    confirmed =
        service.cancel_at_node((old.back() - '0' + 1) % 3, "req-2") == "aborted" || confirmed;
    EXPECT_TRUE(confirmed);
    service.wait_for_new_leader(old);
    next_told = service.cancel_at_node(service.leader_index(), "req-4") == "aborted";
    EXPECT_TRUE(next_told);
    look();
    service.state_service->unavailable = true;
    for (int i = 0; i < 5; ++i) look();
    service.state_service->lease_response_delay_s = 0;
    service.state_service->end_outage();
    service.state_service->refused_controllers.clear();
    for (int i = 0; i < 5; ++i) look();
    for (const char* id : {"req-2", "req-4"}) {
        EXPECT_EQ(service.job_status(id), "aborted") << id;
        EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running(id); })) << id;
    }
    service.expect_no_violations();
}

// Users ask at all nodes within milliseconds, again and again: right after a job was accepted, at
// the end of its task and after a confirmed cancellation, which comes at that end, too. What they
// were told is judged by the history.
TEST(FaultScenarios, WhoeverAsksAtAnyNodeAroundAnEndIsToldNothingOlder) {
    struct Row {
        const char* what;
        bool peers;                                               // controllers hear each other
        std::function<void(FaultScenarioFixture&, int)> trouble;  // after so many jobs
    };
    const Row rows[] = {
        {"no trouble", true, [](FaultScenarioFixture&, int) {}},
        {"doors and leader apart", false, [](FaultScenarioFixture&, int) {}},
        {"answers are lost, and others read what was written", true,
         [](FaultScenarioFixture& service, int n) {
             if (n % 5 == 0) service.state_service->lose_txn_responses = 1;
         }},
        {"transactions are carried out late", false,
         [](FaultScenarioFixture& service, int n) {
             if (n % 7 == 0) service.state_service->delay_txns = 1;
         }},
        {"the leader ends", true,
         [](FaultScenarioFixture& service, int n) {
             if (n == 12) service.crash(service.leader_index());
         }},
        {"the state service refuses the leader", false,
         [](FaultScenarioFixture& service, int n) {
             if (n == 8)
                 service.state_service->refused_controllers.insert(service.leader_index());
             else if (n == 16)
                 service.state_service->refused_controllers.clear();
         }},
    };
    constexpr int kJobs = 24;
    for (auto& row : rows) {
        SCOPED_TRACE(row.what);
        std::mt19937 random(7);
        auto between = [&](double a, double b) {
            return std::uniform_real_distribution<double>(a, b)(random);
        };
        FaultScenarioFixture service(3, row.peers ? ServiceFixture::Options{} : isolated_peers());
        struct Job {
            std::string id, body;
            double started = 0, cancel_at = 1e18;
            bool cancels = false, looked = false;
            std::vector<std::pair<std::shared_ptr<ServiceFixture::PendingRequest>, bool>>
                asked;  // and whether it is looked after
        };
        std::vector<Job> jobs;
        auto everywhere = [&](Job& job, const char* method, const std::string& target,
                              bool look_after) {
            for (size_t node = 0; node < service.nodes.size(); ++node)
                if (service.alive[node])
                    job.asked.emplace_back(
                        service.send_request(
                            node, method, target,
                            method[0] == 'P' && target == "/v2/runs" ? job.body : ""),
                        look_after);
        };
        auto step = [&] {
            service.poll_once();
            for (auto& job : jobs) {
                std::string target = "/v2/runs/" + job.id;
                if (job.started == 0 && service.cloud->task_starts[job.id + "/0"] > 0) {
                    job.started = steady_now();
                    if (job.cancels)
                        job.cancel_at =
                            job.started + service.cloud->jobs[job.id].run_s + between(-0.05, 0.15);
                }
                if (steady_now() > job.cancel_at) {
                    job.cancel_at = 1e18;
                    everywhere(job, "POST", target + "/cancel", true);
                    everywhere(job, "GET", target, false);
                }
                if (!job.looked && service.state_service->snapshot().count("f/" + job.id)) {
                    job.looked = true;
                    everywhere(job, "GET", target, true);
                    everywhere(job, "POST", "/v2/runs", true);
                }
                auto asked = std::exchange(job.asked, {});
                bool looks = false;
                for (auto& [a, look_after] : asked) {
                    if (!a->finished)
                        job.asked.emplace_back(a, look_after);
                    else
                        looks = looks || (look_after && !a->job_status().empty());
                }
                if (!looks) continue;
                everywhere(job, "GET", target, false);
                if (random() % 2) everywhere(job, "POST", "/v2/runs", false);
            }
        };
        for (int n = 0; n < kJobs; ++n) {
            Job job;
            job.id = "req-" + std::to_string(100 + n);
            job.body = ServiceFixture::submission_body(job.id, "array", 1);
            job.cancels = n % 2 == 0;
            fakes::Job work;
            work.run_s = between(0.1, 0.5);
            service.cloud->jobs[job.id] = work;
            jobs.push_back(std::move(job));
            row.trouble(service, n);
            everywhere(jobs.back(), "POST", "/v2/runs", true);
            for (double end = steady_now() + 0.1; steady_now() < end;) step();
        }
        service.state_service->refused_controllers.clear();
        EXPECT_TRUE(service.wait_until([&] {
            step();
            return std::all_of(jobs.begin(), jobs.end(), [&](auto& job) {
                // Of one that nobody accepted, as all were told to come back, there is nothing to
                // wait for.
                bool accepted = std::any_of(
                    service.history.requests.begin(), service.history.requests.end(), [&](auto& e) {
                        return e.job == job.id && (e.status == 200 || e.status == 201);
                    });
                return (!accepted ||
                        (job.looked && service.state_service->snapshot().count("f/" + job.id))) &&
                       job.asked.empty();
            });
        }));
        EXPECT_GT(service.history.requests.size(), 300u);
        service.expect_no_violations();
    }
}

// Controllers hand over and back, all end, and one is back at once: tasks run on, and each starts
// once.
TEST(FaultScenarios, AllEndInTheMiddleOfAnElectionAndOneIsBackAtOnce) {
    ServiceFixture::Options with;
    with.faulty_links = true;  // for a lease of the workers that outlasts all this
    FaultScenarioFixture service(2, with);
    service.start_job("req-2", 3, 4);
    service.crash_leader();
    int second = service.leader_index();
    service.crash(second);
    service.state_service->delay_txns =
        1;  // its end of the former life, or a campaign, is carried out late
    service.add_node(second);
    EXPECT_TRUE(service.wait_until_done("req-2"));
    for (int t = 0; t < 3; ++t)
        EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 1) << t;
    service.expect_no_violations();
}

}  // namespace
}  // namespace weirmill
