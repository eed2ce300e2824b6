// Tests of two faults at the same time, mostly of the state service and of leaders, with real
// controllers over loopback (docs/failures.md, "Meetings").
#include <random>

#include "fault_scenario.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::FaultScenarioFixture;
using test::is_active;
using test::isolated_peers;
using test::ServiceFixture;

// The state service refuses the leader, the next leader confirms a cancellation, and then the state
// service is unavailable to all for longer than cancel_s. The workers keep sending heartbeats to
// the old leader, which must not keep the cancelled tasks alive.
TEST(FaultScenarios, CancelUnknownToOldLeaderStopsTasksInOutage) {
    struct Row {
        const char* what;
        bool commands;  // the next leader's stop commands reach the workers
        bool crashes;   // the next leader crashes as soon as it has confirmed
        bool peers;     // controllers reach each other
    };
    for (auto& row : {Row{"stop commands arrive", true, false, false},
                      Row{"stop commands are lost", false, false, false},
                      Row{"the next leader crashes", false, true, false},
                      Row{"peers are reachable", false, false, true}}) {
        FaultScenarioFixture service(3, row.peers ? ServiceFixture::Options{} : isolated_peers());
        service.start_job("req-2", 3);
        auto old_leader = service.leader_name();
        for (auto& [name, worker] : service.cloud->workers) worker->lose_commands = !row.commands;
        service.state_service->refused_controllers.insert(old_leader.back() - '0');
        service.wait_for_new_leader(old_leader);
        auto next = service.leader_index();
        ASSERT_EQ(service.cancel_at_node(next, "req-2"), "aborted") << row.what;
        double confirmed = steady_now();
        service.state_service->unavailable = true;
        if (row.crashes) service.crash(next);
        EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running("req-2"); }));
        double stop_delay_s = steady_now() - confirmed;
        EXPECT_LT(stop_delay_s, service.base_settings.cancel_s) << row.what;
        if (row.commands) {
            EXPECT_LT(stop_delay_s, service.base_settings.lease_s)
                << row.what;  // within a lease, as stops arrive
        }
        service.run_for(std::max(0.0, service.base_settings.cancel_s - stop_delay_s));
        EXPECT_FALSE(service.cloud->is_running("req-2")) << row.what;
        service.expect_no_violations();
    }
}

// Every transaction is executed after the client's timeout, so the leader never learns that a
// cancellation is recorded, while standby controllers read the record and confirm it to users. The
// leader once left the tasks running for as long as that lasted.
TEST(FaultScenarios, CancelStopsTasksWithoutTxnResponses) {
    FaultScenarioFixture service(2);
    service.start_job("req-2", 3);
    service.state_service->delay_txns = 1 << 20;
    service.state_service->refuse_key_reads =
        true;  // the leader can't read whether the transaction was executed either
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

// No transaction is answered in time, yet jobs are accepted, started and finished, as the leader
// reads which transactions were executed. A leader that waited for a response once stalled, and all
// polls of a job that was being cancelled failed.
TEST(FaultScenarios, WorkContinuesWithoutTxnResponses) {
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

// The final state of a job is recorded, but the leader gets no response for it and controllers
// can't reach each other. A standby controller reads the final state and reports it to users. The
// leader once reported the same job as running afterwards.
TEST(FaultScenarios, LeaderNeverContradictsFinalStateOfStandby) {
    for (bool cancelled : {false, true}) {
        FaultScenarioFixture service(2, isolated_peers());
        service.start_job("req-2", 2, cancelled ? 1000 : 1.5);
        std::string final_status = cancelled ? "aborted" : "done";
        service.state_service->delay_txns = 1 << 20;
        auto leader = static_cast<size_t>(service.leader_index()), follower = 1 - leader;
        auto status_at = [&](size_t node) {
            auto reply = service.request_node(node, "GET", "/v2/runs/req-2", "");
            if (!reply || reply->status != 200) return std::string();
            return std::string(json::parse(reply->body).at("status").as_string());
        };
        if (cancelled) (void)service.request_node(leader, "POST", "/v2/runs/req-2/cancel", "");
        ASSERT_TRUE(service.wait_until([&] { return status_at(follower) == final_status; }))
            << final_status;
        for (int i = 0; i < 20; ++i) {
            auto state = status_at(leader);
            EXPECT_TRUE(state.empty() || state == final_status)
                << state << " after " << final_status;
        }
        service.state_service->delay_txns = 0;
        EXPECT_TRUE(service.wait_until([&] { return status_at(leader) == final_status; }));
        service.expect_no_violations();
    }
}

// Lease renewals are executed at once and answered after more than a quarter of the lease. The
// leader once gave up each renewal after a quarter and lost its leadership, while no other
// controller could be elected.
TEST(FaultScenarios, SlowLeaseRenewalsKeepTheLeader) {
    ServiceFixture::Options options;
    options.election_lease_s = 6;
    FaultScenarioFixture service(2, options);
    auto leader = service.leader_name();
    service.state_service->lease_response_delay_s = 0.4 * options.election_lease_s;
    service.run_for(1.2 * options.election_lease_s);  // longer than any lease renewed before
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

// The leader crashes while machines with long tasks are unreachable or receive no responses. Their
// tasks must not start elsewhere before the worker leases expire, and must complete in the end.
TEST(FaultScenarios, TasksOfUnreachableMachinesFinishOnce) {
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
        if (!downlink_lost) lost[0]->unreachable = false;  // one machine returns within its lease
        EXPECT_TRUE(service.wait_until([&] {
            return service.running_tasks("req-2") == 0 ||
                   service.state_service->snapshot().count("f/req-2") > 0;
        }) || service.cloud->task_starts["req-2/0"] > 0);
        for (auto* worker : lost) worker->downlink_lost = worker->unreachable = false;
        EXPECT_TRUE(service.wait_until_done("req-2"));
        service.expect_no_violations();
    }
}

// The tasks of a job complete one by one, with a change of leader after each. Every completion must
// be counted exactly once, so that the job is done when its last task is.
TEST(FaultScenarios, TaskCompletionsCountOnceAcrossLeaders) {
    FaultScenarioFixture service(3, isolated_peers());
    fakes::Job job;
    job.run_s = 0.3;
    job.stagger_s = 3;  // seconds by which each task runs longer than the previous one
    ASSERT_EQ(service.submit("req-2", "array", 3, job), 201);
    for (int completed = 1; completed <= 2; ++completed) {
        ASSERT_TRUE(service.wait_until(
            [&] { return service.cloud->completed_tasks["req-2"] >= completed; }));
        EXPECT_TRUE(is_active(service.job_status("req-2"))) << completed;
        auto old_leader = service.leader_name();
        service.state_service->refused_controllers = {old_leader.back() - '0'};
        service.wait_for_new_leader(old_leader);
        EXPECT_NE(service.job_status("req-2"), "done");
        EXPECT_LT(service.cloud->completed_tasks["req-2"], 3);
    }
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_EQ(service.cloud->completed_tasks["req-2"], 3);
    for (int t = 0; t < 3; ++t)
        EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 1) << t;
    service.expect_no_violations();
}

// Stop commands are delayed while the workers keep sending heartbeats. When they arrive, the job
// has ended and the machines run tasks of another job, which must not be stopped.
TEST(FaultScenarios, DelayedStopLeavesLaterTasksRunning) {
    FaultScenarioFixture service(2, isolated_peers());
    service.start_job("req-2", 3);
    for (auto& [name, worker] : service.cloud->workers) worker->hold_commands = true;
    EXPECT_EQ(service.cancel_at_node(service.leader_index(), "req-2"), "aborted");
    EXPECT_TRUE(service.wait_until([&] {
        return service.state_service->snapshot().count("f/req-2") > 0;
    }));  // stopped by heartbeat responses
    service.start_job("req-3", 3, 1.5);
    auto old_leader = service.leader_name();
    service.state_service->refused_controllers.insert(old_leader.back() - '0');
    service.wait_for_new_leader(old_leader);
    for (auto& [name, worker] : service.cloud->workers) worker->hold_commands = false;
    EXPECT_TRUE(service.wait_until_done("req-3"));
    for (int t = 0; t < 3; ++t)
        EXPECT_EQ(service.cloud->task_starts["req-3/" + std::to_string(t)], 1) << t;
    EXPECT_EQ(service.job_status("req-2"), "aborted");
    service.expect_no_violations();
}

// The state service is slow, then refuses the leader, then is unavailable, while users cancel and
// poll jobs. No response of any node may be older than an earlier one, and "aborted" may only be
// reported for recorded cancellations.
TEST(FaultScenarios, ResponsesNeverRegressInStateServiceFaults) {
    FaultScenarioFixture service(3, isolated_peers());
    service.start_job("req-2", 2);
    service.start_job("req-3", 2);
    service.start_job("req-4", 2);  // cancelled by the next leader only
    bool confirmed = false, next_confirmed = false;
    auto poll_all_nodes = [&] {
        for (size_t node = 0; node < service.nodes.size(); ++node)
            for (const char* id : {"req-2", "req-3", "req-4"}) {
                auto reply = service.request_node(node, "GET", std::string("/v2/runs/") + id, "");
                ASSERT_TRUE(reply);
                if (reply->status == 503) continue;
                ASSERT_EQ(reply->status, 200) << id;
                auto state = json::parse(reply->body).at("status").as_string();
                if (std::string(id) == "req-4" && next_confirmed) {
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
    auto old_leader = service.leader_name();
    service.state_service->lease_response_delay_s = 0.5;
    service.state_service->delay_txns = 3;
    (void)service.request_node(static_cast<size_t>(service.leader_index()), "POST",
                               "/v2/runs/req-2/cancel", "");
    poll_all_nodes();
    service.state_service->refused_controllers.insert(old_leader.back() - '0');
    poll_all_nodes();
    confirmed = service.cancel_at_node((old_leader.back() - '0' + 1) % 3, "req-2") == "aborted" ||
                confirmed;
    EXPECT_TRUE(confirmed);
    service.wait_for_new_leader(old_leader);
    next_confirmed = service.cancel_at_node(service.leader_index(), "req-4") == "aborted";
    EXPECT_TRUE(next_confirmed);
    poll_all_nodes();
    service.state_service->unavailable = true;
    for (int i = 0; i < 5; ++i) poll_all_nodes();
    service.state_service->lease_response_delay_s = 0;
    service.state_service->end_outage();
    service.state_service->refused_controllers.clear();
    for (int i = 0; i < 5; ++i) poll_all_nodes();
    for (const char* id : {"req-2", "req-4"}) {
        EXPECT_EQ(service.job_status(id), "aborted") << id;
        EXPECT_TRUE(service.wait_until([&] { return !service.cloud->is_running(id); })) << id;
    }
    service.expect_no_violations();
}

// Users send requests to all nodes within milliseconds: after a job was accepted, when its task
// ends, and after a confirmed cancellation close to that end. The request history checks that the
// responses are consistent.
TEST(FaultScenarios, ConcurrentRequestsSeeConsistentJobStates) {
    struct Row {
        const char* what;
        bool peers;  // controllers reach each other
        // Called before each submission with the number of jobs submitted so far.
        std::function<void(FaultScenarioFixture&, int)> inject_fault;
    };
    const Row rows[] = {
        {"no fault", true, [](FaultScenarioFixture&, int) {}},
        {"peers unreachable", false, [](FaultScenarioFixture&, int) {}},
        {"transaction responses are lost", true,
         [](FaultScenarioFixture& service, int n) {
             if (n % 5 == 0) service.state_service->lose_txn_responses = 1;
         }},
        {"transactions are executed late", false,
         [](FaultScenarioFixture& service, int n) {
             if (n % 7 == 0) service.state_service->delay_txns = 1;
         }},
        {"the leader crashes", true,
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
            bool cancels = false, final_polled = false;
            std::vector<std::pair<std::shared_ptr<ServiceFixture::PendingRequest>, bool>>
                pending;  // with whether its response triggers polls at all nodes
        };
        std::vector<Job> jobs;
        auto send_to_all_nodes = [&](Job& job, const char* method, const std::string& target,
                                     bool poll_after_response) {
            for (size_t node = 0; node < service.nodes.size(); ++node)
                if (service.alive[node])
                    job.pending.emplace_back(
                        service.send_request(
                            node, method, target,
                            method[0] == 'P' && target == "/v2/runs" ? job.body : ""),
                        poll_after_response);
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
                    send_to_all_nodes(job, "POST", target + "/cancel", true);
                    send_to_all_nodes(job, "GET", target, false);
                }
                if (!job.final_polled && service.state_service->snapshot().count("f/" + job.id)) {
                    job.final_polled = true;
                    send_to_all_nodes(job, "GET", target, true);
                    send_to_all_nodes(job, "POST", "/v2/runs", true);
                }
                auto pending = std::exchange(job.pending, {});
                bool poll_again = false;
                for (auto& [a, poll_after_response] : pending) {
                    if (!a->finished)
                        job.pending.emplace_back(a, poll_after_response);
                    else
                        poll_again =
                            poll_again || (poll_after_response && !a->job_status().empty());
                }
                if (!poll_again) continue;
                send_to_all_nodes(job, "GET", target, false);
                if (random() % 2) send_to_all_nodes(job, "POST", "/v2/runs", false);
            }
        };
        for (int n = 0; n < kJobs; ++n) {
            Job job;
            job.id = "req-" + std::to_string(100 + n);
            job.body = ServiceFixture::submission_body(job.id, "array", 1);
            job.cancels = n % 2 == 0;
            fakes::Job behavior;
            behavior.run_s = between(0.1, 0.5);
            service.cloud->jobs[job.id] = behavior;
            jobs.push_back(std::move(job));
            row.inject_fault(service, n);
            send_to_all_nodes(jobs.back(), "POST", "/v2/runs", true);
            for (double end = steady_now() + 0.1; steady_now() < end;) step();
        }
        service.state_service->refused_controllers.clear();
        EXPECT_TRUE(service.wait_until([&] {
            step();
            return std::all_of(jobs.begin(), jobs.end(), [&](auto& job) {
                // A job for which every submission was answered 503 never ends.
                bool accepted = std::any_of(
                    service.history.requests.begin(), service.history.requests.end(), [&](auto& e) {
                        return e.job == job.id && (e.status == 200 || e.status == 201);
                    });
                return (!accepted || (job.final_polled &&
                                      service.state_service->snapshot().count("f/" + job.id))) &&
                       job.pending.empty();
            });
        }));
        EXPECT_GT(service.history.requests.size(), 300u);
        service.expect_no_violations();
    }
}

// The leader crashes, and the next one crashes and restarts at once. Its first transaction, which
// is a campaign or the removal of its former leadership, is executed late. Running tasks must not
// be restarted.
TEST(FaultScenarios, TasksSurviveRestartDuringElection) {
    ServiceFixture::Options options;
    options.faulty_links = true;  // the worker lease outlasts the changes of leader
    FaultScenarioFixture service(2, options);
    service.start_job("req-2", 3, 4);
    service.crash_leader();
    int second = service.leader_index();
    service.crash(second);
    service.state_service->delay_txns = 1;
    service.add_node(second);
    EXPECT_TRUE(service.wait_until_done("req-2"));
    for (int t = 0; t < 3; ++t)
        EXPECT_EQ(service.cloud->task_starts["req-2/" + std::to_string(t)], 1) << t;
    service.expect_no_violations();
}

}  // namespace
}  // namespace weirmill
