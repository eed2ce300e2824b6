// Tests of the whole service with real controllers over loopback. The tests wait for conditions
// rather than fixed times, and the fakes record every violation of a scheduling rule.
#include "service_fixture.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::ServiceFixture;

TEST(Service, RunsJobsAndRejectsInvalidRequests) {
    ServiceFixture service(1);
    EXPECT_EQ(service.submit("req-1", "array", 3), 201);
    EXPECT_EQ(service.submit("req-2", "ensemble", 2), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_EQ(service.submit("req-1", "array", 3), 200);  // a late retry
    struct Row {
        const char *method, *target;
        std::string body;
        int status;
    };
    auto unknown_team =
        json::parse(ServiceFixture::submission_body("req-7", "array", 1)).as_object();
    unknown_team["consignor"] = "nobody";
    const Row rows[] = {
        {"POST", "/v2/runs", "{", 400},
        {"POST", "/v2/runs", json::serialize(unknown_team), 422},
        {"POST", "/v2/runs", ServiceFixture::submission_body("req-8", "array", 1, 100), 422},
        // A submission with the id of an accepted job is answered 200, whatever else it contains.
        {"POST", "/v2/runs", R"({"name_id":"req-1"})", 200},
        {"POST", "/v2/runs",
         ServiceFixture::with_field(ServiceFixture::submission_body("req-1", "array", 1), "lots",
                                    0),
         200},
        {"POST", "/v2/runs", ServiceFixture::submission_body("req-1", "array", 1, 100), 200},
        {"POST", "/v2/runs", R"({"name_id":"req-9"})", 400},
        {"POST", "/v2/runs", R"({"name_id":"else"})", 400},
        {"GET", "/v2/runs/req-999", "", 404},
        {"GET", "/v2/runs/else", "", 404},
        {"POST", "/v2/runs/req-999/cancel", "", 404},
        {"POST", "/v2/runs/req-1/cancel", "", 200},
        {"POST", "/v2/runs", std::string(70000, 'x'), 413},
        {"POST", "/v1/report", "{}", 400},
        {"DELETE", "/v2/runs", "", 405},
        {"GET", "/elsewhere", "", 404},
        {"GET", "/healthz", "", 200},
        {"GET", "/metrics", "", 200},
    };
    for (auto& row : rows)
        EXPECT_EQ(service.request_any_node(row.method, row.target, row.body).status, row.status)
            << row.target << " " << row.body.substr(0, 80);
    EXPECT_EQ(service.job_status("req-1"), "done");
    auto metrics = service.request_any_node("GET", "/metrics").body;
    for (const char* line :
         {"weirmill_requests_total{kind=\"submit\",status=\"201\"} 2\n", "weirmill_leading 1\n",
          "weirmill_request_seconds_bucket{kind=\"cancel\",le=\"+Inf\"} 2\n"})
        EXPECT_NE(metrics.find(line), std::string::npos) << line << metrics;
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, FollowerTakesOverFromCrashedLeader) {
    ServiceFixture service(3);
    EXPECT_EQ(service.submit("req-1", "array", 2), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    EXPECT_EQ(service.submit("req-2", "array", 4, {3.0}), 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-2"); }));
    auto old_leader = service.leader_name();
    service.crash(old_leader.back() - '0');
    ASSERT_TRUE(service.wait_until(
        [&] { return !service.leader_name().empty() && service.leader_name() != old_leader; }));
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_EQ(service.job_status("req-1"), "done");
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, RestartDoesNotWaitForOwnOldLease) {
    // The leader key of a crashed process stays until its lease expires, here longer than a test
    // waits. A restarted controller once left users and workers waiting for that.
    ServiceFixture::Options options;
    options.election_lease_s = 2 * test::kTestTimeout_s;
    for (int restarts : {1, 2}) {
        ServiceFixture service(1, options);
        EXPECT_EQ(service.submit("req-1", "array", 1), 201);
        EXPECT_TRUE(service.wait_until_done("req-1"));
        for (int i = 0; i < restarts; ++i) {
            service.crash(i);
            service.add_node(0);
        }
        EXPECT_EQ(service.submit("req-2", "array", 1), 201) << restarts;
        EXPECT_TRUE(service.wait_until_done("req-2"));
        EXPECT_EQ(service.job_status("req-1"), "done");
        EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
    }
}

TEST(Service, RestartSurvivesLostElectionResponses) {
    // The responses to the campaign and to the removal of the former leadership are lost. The
    // leader key then names this controller with another lease than the one of the undecided
    // campaign. The controller must neither wait for one of the leases to expire nor retry without
    // a delay.
    ServiceFixture::Options options;
    options.election_lease_s = 2 * test::kTestTimeout_s;
    ServiceFixture service(1, options);
    EXPECT_EQ(service.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    service.crash(0);
    service.state_service->lose_txn_responses = 3;
    service.add_node(0);
    EXPECT_EQ(service.submit("req-2", "array", 1) / 100, 2);
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, DelayedResignationKeepsNewLeadership) {
    // A restarted controller removes the leader key of its former process by a transaction that is
    // conditional on the version of the key. A late copy of it must fail, as the version has
    // changed.
    ServiceFixture service(2);
    EXPECT_EQ(service.submit("req-1", "array", 1, {2.0}), 201);
    auto old_leader = service.leader_name();
    service.crash(old_leader.back() - '0');
    service.state_service->delay_txns =
        1;  // the next transaction is executed after the client's timeout
    service.add_node(old_leader.back() - '0');
    EXPECT_TRUE(service.wait_until_done("req-1"));
    EXPECT_EQ(service.submit("req-2", "array", 2), 201);
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, FollowerRelaysForWorkersWithoutLeader) {
    ServiceFixture service(2);
    EXPECT_EQ(service.submit("req-1", "array", 1, {3.0}), 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-1"); }));
    int leader = service.leader_name().back() - '0';
    for (auto& [n, worker] : service.cloud->workers) worker->unreachable_controller = leader;
    EXPECT_TRUE(service.wait_until_done("req-1"));
    auto page = service.request_node(1 - leader, "GET", "/metrics", "");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find("weirmill_requests_total{kind=\"report\",status=\"200\"}"),
              std::string::npos)
        << page->body;
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, RefusedLeaderHandsOverAndForwardsUsers) {
    // The leader once kept an undecided leadership and answered its users 503 for as long as the
    // state service refused it.
    ServiceFixture service(3);
    EXPECT_EQ(service.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    auto old_leader = service.leader_name();
    int refused = old_leader.back() - '0';
    service.state_service->refused_controllers.insert(refused);
    ASSERT_TRUE(service.wait_until(
        [&] { return !service.leader_name().empty() && service.leader_name() != old_leader; }));
    std::optional<HttpResponse> reply;
    ASSERT_TRUE(service.wait_until([&] {
        reply = service.request_node(refused, "POST", "/v2/runs",
                                     ServiceFixture::submission_body("req-2", "array", 1));
        return reply && reply->status != 503;
    }));
    EXPECT_EQ(reply->status, 201);
    service.state_service->refused_controllers.clear();
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, FailingJobStaysAcceptedWithoutUsingFleet) {
    ServiceFixture service(1);
    fakes::Job failing;
    failing.fails = true;
    failing.run_s = 0.01;
    EXPECT_EQ(service.submit("req-1", "array", 2, failing), 201);
    ASSERT_TRUE(service.wait_until([&] {
        return service.cloud->task_starts["req-1/0"] >= 2 ||
               service.cloud->task_starts["req-1/1"] >= 2;
    }));
    EXPECT_EQ(service.submit("req-2", "array", 4), 201);
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_NE(service.job_status("req-1"), "done");
    EXPECT_EQ(service.request_any_node("GET", "/v2/runs/req-1").status, 200);
    EXPECT_LE(service.cloud->workers.size(), 12u);
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, LostTxnResponseKeepsSubmission) {
    ServiceFixture service(1);
    EXPECT_EQ(service.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    service.state_service->lose_txn_responses = 1;
    int status = service.submit("req-2", "array", 2);  // 503 while the outcome is not known
    EXPECT_TRUE(status == 200 || status == 201) << status;
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, DelayedTxnDoesNotReviveJob) {
    ServiceFixture service(1);
    EXPECT_EQ(service.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    service.state_service->delay_txns = 2;
    int status = service.submit("req-2", "array", 2);
    EXPECT_TRUE(status == 200 || status == 201) << status;
    EXPECT_TRUE(service.wait_until_done("req-2"));
    // The log that the next leader would read contains no job.
    test::ClusterFixture fresh;
    StateLog state_log(fresh.cluster, 1, {12, 4});
    for (auto& [key, value] : service.state_service->snapshot())
        if (key.starts_with(kSegmentPrefix)) state_log.load_segment({key, value, 1, 0}, fresh.now);
    state_log.finish_loading(fresh.now);
    EXPECT_TRUE(fresh.cluster.job_index.empty());
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, TasksMoveOnlyAfterWorkerLease) {
    ServiceFixture service(1);
    EXPECT_EQ(service.submit("req-1", "array", 1, {1.0}), 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-1"); }));
    for (auto& [n, worker] : service.cloud->workers) worker->unreachable = true;
    EXPECT_TRUE(service.wait_until_done("req-1"));
    EXPECT_EQ(service.cloud->task_starts["req-1/0"], 2);
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Service, CancelStopsTasksBeingLaunched) {
    ServiceFixture service(1);
    service.cloud->hold_launches = true;
    EXPECT_EQ(service.submit("req-1", "standing", 2, {1000}), 201);
    ASSERT_TRUE(service.wait_until([&] {
        return service.log_contains(R"(["t","req-1")") && !service.cloud->workers.empty();
    }));
    auto cancellation = service.request_any_node("POST", "/v2/runs/req-1/cancel");
    EXPECT_EQ(cancellation.status, 200);
    EXPECT_EQ(json::parse(cancellation.body).at("status"), "aborted");
    service.cloud->hold_launches = false;
    ASSERT_TRUE(
        service.wait_until([&] { return service.state_service->snapshot().count("f/req-1") > 0; }));
    EXPECT_FALSE(service.cloud->is_running("req-1"));
    EXPECT_EQ(service.job_status("req-1"), "aborted");
    EXPECT_EQ(service.submit("req-1", "standing", 2), 200);
}

TEST(Service, TasksSurviveStateServiceOutage) {
    ServiceFixture service(1);
    EXPECT_EQ(service.submit("req-1", "array", 1, {2.0}), 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-1"); }));
    service.state_service->unavailable = true;
    ASSERT_TRUE(service.wait_until([&] {
        auto reply = service.request_node(0, "POST", "/v2/runs",
                                          ServiceFixture::submission_body("req-2", "array", 1));
        return reply && reply->status == 503;
    }));
    service.state_service->end_outage();
    EXPECT_TRUE(service.wait_until_done("req-1"));
    EXPECT_EQ(service.submit("req-2", "array", 1) / 100, 2);
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Pipelines, ResponsesToSubmissionsWithDependencies) {
    ServiceFixture service(1);
    EXPECT_EQ(service.submit("req-1", "array", 1), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    EXPECT_EQ(service.submit("req-2", "standing", 1, {1000}), 201);
    EXPECT_EQ(service.submit("req-3", "standing", 1, {1000}), 201);
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs/req-3/cancel").status, 200);
    struct Row {
        const char *id, *awaits;
        int status, retry_status;  // of the first submission and of the same one repeated
        const char* final_status;
    };
    const Row rows[] = {
        {"req-11", "null", 201, 200, "done"},
        {"req-12", "[]", 201, 200, "done"},
        {"req-13", R"("req-1")", 400, 400, "404"},
        {"req-14", "{}", 400, 400, "404"},
        {"req-15", "[1]", 400, 400, "404"},
        {"req-16", R"(["req-1",null])", 400, 400, "404"},
        {"req-17", R"([""])", 400, 400, "404"},
        {"req-18", R"(["req-18"])", 422, 422, "404"},
        {"req-19", R"(["req-999"])", 422, 422, "404"},
        {"req-20", R"(["req-1","req-999","req-2"])", 422, 422, "404"},
        {"req-21", R"(["a name that no job has"])", 422, 422, "404"},
        {"req-22", R"(["req-1"])", 201, 200, "done"},
        {"req-23", R"(["req-1","req-1"])", 201, 200, "done"},
        {"req-24", R"(["req-2"])", 201, 200, "queued"},
        {"req-25", R"(["req-2","req-2","req-1"])", 201, 200, "queued"},
        {"req-26", R"(["req-3"])", 201, 200, "aborted"},
        {"req-27", R"(["req-2","req-3"])", 201, 200, "aborted"},
        {"req-28", R"(["req-26"])", 201, 200, "aborted"},
        {"req-29", R"(["req-11","req-22"])", 201, 200, "done"},
    };
    for (auto& row : rows) {
        auto body = ServiceFixture::with_field(ServiceFixture::submission_body(row.id, "array", 1),
                                               "awaits", json::parse(row.awaits));
        service.cloud->jobs[row.id] = {};
        EXPECT_EQ(service.request_any_node("POST", "/v2/runs", body).status, row.status) << row.id;
        EXPECT_EQ(service.request_any_node("POST", "/v2/runs", body).status, row.retry_status)
            << row.id;
    }
    for (auto& row : rows)
        EXPECT_TRUE(service.wait_until([&] {
            return service.job_status(row.id) == row.final_status;
        })) << row.id
            << service.job_status(row.id);
    // The outcome of its dependencies does not change the response to a repeated submission.
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs/req-2/cancel").status, 200);
    for (const char* id : {"req-24", "req-25"}) {
        EXPECT_EQ(service.job_status(id), "aborted");
        auto body = ServiceFixture::with_field(ServiceFixture::submission_body(id, "array", 1),
                                               "awaits", json::array{"req-2"});
        EXPECT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 200);
    }
    EXPECT_EQ(service.job_status("req-22"), "done");
    // The controller can't read whether the dependency was ever accepted, so it answers 503 at
    // once.
    service.state_service->unavailable = true;
    auto body = ServiceFixture::with_field(ServiceFixture::submission_body("req-30", "array", 1),
                                           "awaits", json::array{"req-998"});
    auto reply = service.request_node(0, "POST", "/v2/runs", body);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 503);
    service.state_service->end_outage();
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 422);
    EXPECT_TRUE(service.wait_until([&] {
        return service.request_any_node("GET", "/metrics").body.find("weirmill_jobs_waiting 0\n") !=
               std::string::npos;
    }));
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Pipelines, StagesRunInOrderAcrossLeaderChanges) {
    ServiceFixture service(3);
    EXPECT_EQ(service.submit_with_dependencies("req-1", {}, 1.0), 201);
    EXPECT_EQ(service.submit_with_dependencies("req-2", {"req-1"}), 201);
    EXPECT_EQ(service.submit_with_dependencies("req-3", {"req-1"}, 0.5), 201);
    EXPECT_EQ(service.submit_with_dependencies("req-4", {"req-2", "req-3"}), 201);
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-1"); }));
    service.crash_leader();
    ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-3"); }));
    service.crash_leader();
    EXPECT_EQ(service.submit_with_dependencies("req-5", {"req-1", "req-4"}),
              201);  // req-1 ended under an earlier leader
    for (const char* id : {"req-1", "req-2", "req-3", "req-4", "req-5"})
        EXPECT_TRUE(service.wait_until_done(id)) << id;
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(Pipelines, CancelIncludesDependentJobs) {
    struct Row {
        const char* what;
        bool lose_response, late, crash, outage;
    };
    const Row rows[] = {
        {"confirmed", false, false, false, false},
        {"the response to its record is lost", true, false, false, false},
        {"its record is executed late", false, true, false, false},
        {"the leader crashes at once", false, false, true, false},
        {"the response is lost, and the leader crashes at once", true, false, true, false},
        {"an outage begins at once, and the leader crashes in it", false, false, true, true}};
    for (auto& row : rows) {
        ServiceFixture service(2);
        EXPECT_EQ(service.submit_with_dependencies("req-1", {}, 1000), 201);
        EXPECT_EQ(service.submit_with_dependencies("req-2", {"req-1"}), 201);
        EXPECT_EQ(service.submit_with_dependencies("req-3", {"req-2", "req-1"}), 201);
        EXPECT_EQ(service.submit_with_dependencies("req-4", {}, 1000), 201);
        EXPECT_EQ(service.submit_with_dependencies("req-5", {"req-4", "req-3"}), 201);
        ASSERT_TRUE(service.wait_until([&] { return service.cloud->is_running("req-1"); }));
        service.state_service->lose_txn_responses = row.lose_response;
        service.state_service->delay_txns = row.late;
        auto cancellation = service.request_any_node("POST", "/v2/runs/req-1/cancel");
        EXPECT_EQ(json::parse(cancellation.body).at("status"), "aborted") << row.what;
        EXPECT_EQ(json::parse(service.request_any_node("POST", "/v2/runs/req-1/cancel").body)
                      .at("status"),
                  "aborted")
            << row.what;
        service.state_service->unavailable = row.outage;
        if (row.crash) service.crash(service.leader_name().back() - '0');
        if (row.outage) service.state_service->end_outage();
        for (int i = 0; i < 2; ++i)
            for (const char* id : {"req-1", "req-2", "req-3", "req-5"})
                EXPECT_EQ(service.job_status(id), "aborted") << id << " " << row.what;
        EXPECT_NE(service.job_status("req-4"), "aborted") << row.what;
        for (const char* id : {"req-1", "req-2", "req-3", "req-5"})
            EXPECT_TRUE(service.wait_until([&] {
                return service.state_service->snapshot().count(final_key(id)) > 0;
            })) << id;
        EXPECT_EQ(service.cloud->task_starts["req-2/0"] + service.cloud->task_starts["req-3/0"] +
                      service.cloud->task_starts["req-5/0"],
                  0);
        EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
    }
}

TEST(Pipelines, CancelOfDoneJobKeepsDependentJobs) {
    ServiceFixture service(1);
    EXPECT_EQ(service.submit_with_dependencies("req-1", {}), 201);
    EXPECT_EQ(service.submit_with_dependencies("req-2", {"req-1"}), 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    EXPECT_EQ(
        json::parse(service.request_any_node("POST", "/v2/runs/req-1/cancel").body).at("status"),
        "done");
    EXPECT_TRUE(service.wait_until_done("req-2"));
    EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
}

TEST(LowerLimits, OversizedEndedJobStaysKnown) {
    ServiceFixture service(1);
    auto body = ServiceFixture::submission_body("req-1", "array", 1);
    json::array rigs{"std"};
    for (int i = 0; i < 15; ++i) rigs.emplace_back(std::string(90, 'x') + std::to_string(i));
    body = ServiceFixture::with_field(body, "rigs", rigs);
    service.cloud->jobs["req-1"] = {};
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 201);
    EXPECT_TRUE(service.wait_until_done("req-1"));
    service.base_settings.value_kb = 1;
    service.crash(0);
    service.add_node(1);
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 200);
    body = ServiceFixture::with_field(body, "name_id", "req-2");
    EXPECT_EQ(service.request_any_node("POST", "/v2/runs", body).status, 400);
    EXPECT_EQ(service.job_status("req-1"), "done");
}

TEST(LowerLimits, RejectedRetryLeavesFirstTxnUndecided) {
    // The value limit is lowered after the first copy of a transaction, whose response is lost or
    // late. The second copy is rejected as invalid, which does not tell whether the first was
    // executed. A leader that took the first for not executed would record its contents twice.
    for (bool late : {false, true}) {
        ServiceFixture service(1);
        EXPECT_EQ(service.submit("req-1", "array", 1), 201);
        EXPECT_TRUE(service.wait_until_done("req-1"));
        (late ? service.state_service->delay_txns : service.state_service->lose_txn_responses) = 1;
        service.state_service->next_max_value_bytes = 1100;
        service.cloud->jobs["req-2"] = {};
        auto body = ServiceFixture::submission_body("req-2", "array", 1);
        body = ServiceFixture::with_field(body, "lot_class", json::string(180, 'c'));
        body = ServiceFixture::with_field(
            body, "rigs",
            json::array{"std", json::string(100, 'x'), json::string(100, 'y'),
                        json::string(100, 'z'), json::string(99, 'x')});
        body = ServiceFixture::with_field(body, "bundle", json::string(180, 'b'));
        int status = service.request_any_node("POST", "/v2/runs", body).status;
        EXPECT_TRUE(status == 200 || status == 201) << status;
        EXPECT_TRUE(service.wait_until_done("req-2"));
        EXPECT_GT(service.state_service->oversized_txns, 0);
        // Later transactions stay within the lower limit.
        for (int i = 3; i < 12; ++i)
            EXPECT_EQ(service.submit("req-" + std::to_string(i), "array", 3), 201) << i;
        for (int i = 3; i < 12; ++i)
            EXPECT_TRUE(service.wait_until_done("req-" + std::to_string(i))) << i;
        EXPECT_TRUE(service.cloud->violations.empty()) << service.cloud->violations[0];
    }
}

}  // namespace
}  // namespace weirmill
