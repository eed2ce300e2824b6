// The standby service over loopback: controllers serve users while no leader answers, and each
// accepted job runs exactly once.
#include "service_fixture.h"
#include "state/pending_records.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::ServiceFixture;

struct StandbyCluster : ServiceFixture {
    explicit StandbyCluster(int count, Options with = {})
        : ServiceFixture(count, [&] {
              with.standby_enabled = true;
              return with;
          }()) {
        // Completes one job, so that a leader is elected and has a machine.
        std::string first_job = "req-1";
        EXPECT_EQ(submit(first_job, "array", 1), 201);
        EXPECT_TRUE(wait_until_done(first_job));
    }
    int leader_index() { return leader_name().back() - '0'; }
    std::vector<int> followers() {
        std::vector<int> out;
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i)
            if (alive[i] && i != leader_index()) out.push_back(i);
        return out;
    }
    // Registers the job's behaviour with the simulated cloud, whose workers run it. Returns the
    // submission.
    std::string upload(const std::string& id, int tasks, fakes::Job job = {}) {
        job.tasks = static_cast<uint32_t>(tasks);
        auto body = submission_body(id, "array", tasks);
        if (!job.dependencies.empty())
            body = with_field(body, "awaits", json::value_from(job.dependencies));
        cloud->jobs[id] = std::move(job);
        return body;
    }
    // Submits at one node and retries while it answers 503. Returns the HTTP status, or -1 if the
    // node answers nothing else in time.
    int submit_at(int node, const std::string& body) {
        return ask_until_served(node, "POST", "/v2/runs", body).status;
    }
    // Sends a request to one node, with the same retries. Returns status -1 on timeout.
    HttpResponse ask_until_served(int node, const char* method, const std::string& target,
                                  const std::string& body = "") {
        HttpResponse out{-1, ""};
        wait_until([&] {
            auto reply = request_node(static_cast<size_t>(node), method, target, body);
            if (reply && reply->status != 503) out = *reply;
            return out.status != -1;
        });
        return out;
    }
    // Returns the job's state as the node reports it, or the HTTP status if it is not 200.
    std::string state_at(int node, const std::string& id) {
        auto answer = ask_until_served(node, "GET", "/v2/runs/" + id);
        return answer.status == 200 ? std::string(json::parse(answer.body).at("status").as_string())
                                    : std::to_string(answer.status);
    }
    size_t pending_records() { return state_service->count_keys(kPendingPrefix); }
    bool all_adopted() {
        return wait_until([&] { return pending_records() == 0; });
    }
    // Returns how often workers have started tasks of the job, counting each repeated start.
    int task_starts(const std::string& id, int tasks) {
        int starts = 0;
        for (int task = 0; task < tasks; ++task)
            starts += cloud->task_starts[id + "/" + std::to_string(task)];
        return starts;
    }
    void expect_no_violations() { EXPECT_TRUE(cloud->violations.empty()) << cloud->violations[0]; }
    // Waits until every controller has written its adopter record.
    void await_adopter_records() {
        EXPECT_TRUE(wait_until(
            [&] { return state_service->count_keys(kAdopterPrefix) == node_settings.size(); }));
    }
};

TEST(StandbyService, AcceptedJobSurvivesCrashOfItsController) {
    StandbyCluster cluster(3);
    cluster.await_adopter_records();
    auto old_leader = cluster.leader_index();
    cluster.crash(old_leader);
    int acceptor = old_leader == 0 ? 1 : 0;
    auto body = cluster.upload("req-2", 3);
    // No other node leads yet, so the standby service is to accept the job.
    auto status = cluster.submit_at(acceptor, body);
    EXPECT_TRUE(status == 201 || status == 200) << status;
    cluster.crash(acceptor);
    EXPECT_TRUE(cluster.wait_until_done("req-2"));
    EXPECT_EQ(cluster.task_starts("req-2", 3), 3);
    EXPECT_TRUE(cluster.all_adopted());
    cluster.expect_no_violations();
}

TEST(StandbyService, ServesUsersWhilePeersAreUnreachable) {
    StandbyCluster cluster(3, {false, true, 0, 40, 12});
    cluster.await_adopter_records();
    auto followers = cluster.followers();
    // Two followers record the same job, and the leader gets the same submission.
    auto body = cluster.upload("req-2", 2);
    for (int node : {followers[0], followers[1], cluster.leader_index()}) {
        auto status = cluster.submit_at(node, body);
        EXPECT_TRUE(status == 201 || status == 200) << status;
    }
    // A job may depend on one that the leader may not have adopted yet.
    fakes::Job dependant;
    dependant.dependencies = {"req-2"};
    EXPECT_EQ(cluster.submit_at(followers[0], cluster.upload("req-3", 2, dependant)), 201);
    EXPECT_TRUE(cluster.wait_until_done("req-2"));
    EXPECT_TRUE(cluster.wait_until_done("req-3"));
    for (int node : followers) {
        EXPECT_EQ(cluster.state_at(node, "req-3"), "done");
        EXPECT_EQ(cluster.state_at(node, "req-999"), "404");
        EXPECT_EQ(cluster.submit_at(node, body), 200);
    }
    struct Row {
        const char* name;
        std::string body;
        int status;
    };
    auto unknown_team = ServiceFixture::with_field(
        ServiceFixture::submission_body("req-8", "array", 1), "consignor", "nobody");
    const Row rows[] = {
        {"not JSON", "{", 400},
        {"unknown team", unknown_team, 422},
        {"fits no machine", ServiceFixture::submission_body("req-8", "array", 1, 100), 422},
        {"depends on a job that was never accepted",
         ServiceFixture::with_field(ServiceFixture::submission_body("req-8", "array", 1), "awaits",
                                    json::array{"req-997"}),
         422},
        {"depends on itself",
         ServiceFixture::with_field(ServiceFixture::submission_body("req-8", "array", 1), "awaits",
                                    json::array{"req-8"}),
         422},
        {"depends on a job that has ended",
         ServiceFixture::with_field(cluster.upload("req-9", 1), "awaits", json::array{"req-2"}),
         201},
    };
    for (auto& row : rows)
        EXPECT_EQ(cluster.submit_at(followers[0], row.body), row.status) << row.name;
    EXPECT_TRUE(cluster.wait_until_done("req-9"));
    EXPECT_EQ(cluster.task_starts("req-2", 2) + cluster.task_starts("req-3", 2), 4);
    EXPECT_TRUE(cluster.all_adopted());
    cluster.expect_no_violations();
}

TEST(StandbyService, CancelsPendingAndRecordedJobs) {
    StandbyCluster cluster(2, {false, true, 0, 40, 12});
    cluster.await_adopter_records();
    auto node = cluster.followers()[0];
    fakes::Job endless;
    endless.run_s = 1000;
    EXPECT_EQ(cluster.submit_at(node, cluster.upload("req-2", 2, endless)), 201);
    ASSERT_TRUE(cluster.wait_until([&] { return cluster.cloud->is_running("req-2"); }));
    // The job is in the log by now. The standby records a cancellation request and reports how the
    // leader executed it.
    auto answer = cluster.ask_until_served(node, "POST", "/v2/runs/req-2/cancel");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(json::parse(answer.body).at("status"), "aborted");
    ASSERT_TRUE(
        cluster.wait_until([&] { return cluster.state_service->snapshot().count("f/req-2") > 0; }));
    EXPECT_FALSE(cluster.cloud->is_running("req-2"));
    // After the leader's crash no leader adopts the job for some time, so it is cancelled in its
    // pending record.
    cluster.crash(cluster.leader_index());
    EXPECT_EQ(cluster.submit_at(node, cluster.upload("req-3", 2)), 201);
    answer = cluster.ask_until_served(node, "POST", "/v2/runs/req-3/cancel");
    EXPECT_EQ(json::parse(answer.body).at("status"), "aborted");
    EXPECT_EQ(cluster.state_at(node, "req-3"), "aborted");
    EXPECT_EQ(cluster.submit_at(node, cluster.upload("req-3", 2)), 200);
    ASSERT_TRUE(
        cluster.wait_until([&] { return cluster.state_service->snapshot().count("f/req-3") > 0; }));
    EXPECT_EQ(cluster.state_at(node, "req-3"), "aborted");
    EXPECT_EQ(cluster.task_starts("req-3", 2), 0);
    // A job that depends on a cancelled job is cancelled as well.
    EXPECT_EQ(cluster.submit_at(node, ServiceFixture::with_field(cluster.upload("req-4", 1),
                                                                 "awaits", json::array{"req-3"})),
              201);
    EXPECT_EQ(cluster.state_at(node, "req-4"), "aborted");
    // The job was never accepted.
    EXPECT_EQ(cluster.ask_until_served(node, "POST", "/v2/runs/req-999/cancel").status, 404);
    EXPECT_TRUE(cluster.all_adopted());
    cluster.expect_no_violations();
}

TEST(StandbyService, RetryAfterUnknownOutcomeRunsJobOnce) {
    StandbyCluster cluster(3);
    cluster.await_adopter_records();
    auto old_leader = cluster.leader_index();
    cluster.crash(old_leader);
    std::vector<int> survivors;
    for (int i = 0; i < 3; ++i)
        if (i != old_leader) survivors.push_back(i);
    auto body = cluster.upload("req-2", 2);
    cluster.state_service->delay_txns = 1;  // executed late, after its sender's timeout
    auto first_reply =
        cluster.request_node(static_cast<size_t>(survivors[0]), "POST", "/v2/runs", body);
    ASSERT_TRUE(first_reply);
    EXPECT_TRUE(first_reply->status == 503 || first_reply->status < 300) << first_reply->status;
    EXPECT_LT(cluster.submit_at(survivors[1], body), 300);
    EXPECT_TRUE(cluster.wait_until_done("req-2"));
    EXPECT_TRUE(cluster.all_adopted());
    EXPECT_EQ(cluster.task_starts("req-2", 2), 2);
    EXPECT_EQ(cluster.job_status("req-2"), "done");
    cluster.expect_no_violations();
}

TEST(StandbyService, Answers503WhenTheKvStoreRefusesTheNode) {
    StandbyCluster cluster(3, {false, true, 0, 40, 12});
    cluster.await_adopter_records();
    auto followers = cluster.followers();
    cluster.state_service->refused_controllers.insert(followers[0]);
    auto body = cluster.upload("req-2", 1);
    auto reply = cluster.request_node(static_cast<size_t>(followers[0]), "POST", "/v2/runs", body);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 503);
    EXPECT_LT(cluster.submit_at(followers[1], body), 300);
    EXPECT_TRUE(cluster.wait_until_done("req-2"));
    cluster.expect_no_violations();
}

TEST(StandbyService, UnavailableUntilEveryControllerAdopts) {
    // A leader of a version that does not adopt pending records would answer 404 for a job that a
    // standby accepted.
    StandbyCluster cluster(2, {false, true, 1, 40, 12});
    auto node = static_cast<size_t>(cluster.followers()[0]);
    for (int i = 0; i < 3000; ++i) cluster.poll_once();
    auto reply = cluster.request_node(node, "POST", "/v2/runs", cluster.upload("req-2", 1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 503);
    EXPECT_EQ(cluster.pending_records(), 0u);
    // The missing adopter record is written, as when that controller is upgraded.
    cluster.state_service->put(adopter_key("stranger-0"), json::object{{"collects", 1}});
    EXPECT_LT(cluster.submit_at(static_cast<int>(node), cluster.upload("req-2", 1)), 300);
    EXPECT_TRUE(cluster.wait_until_done("req-2"));
    cluster.expect_no_violations();
}

TEST(StandbyService, ReportsEndedJobWithLeftoverPendingRecord) {
    // Guards against answering polls with 503 for as long as the pending record can't be deleted.
    StandbyCluster cluster(1);
    cluster.crash(0);
    PendingRecord record{json::parse(cluster.upload("req-2", 1)), wall_now(), false};
    cluster.record_external_submission("req-2");
    cluster.state_service->put("f/req-2", json::parse(final_record(JobState::Done, 1)));
    cluster.state_service->put(pending_key("req-2"), json::parse(pending_record(record)));
    cluster.state_service->refuse_deletes = true;
    cluster.add_node(1);
    EXPECT_EQ(cluster.state_at(1, "req-2"), "done");
    EXPECT_EQ(cluster.submit_at(1, cluster.upload("req-2", 1)), 200);
    EXPECT_EQ(
        json::parse(cluster.ask_until_served(1, "POST", "/v2/runs/req-2/cancel").body).at("status"),
        "done");
    EXPECT_EQ(cluster.pending_records(), 1u);
    cluster.state_service->refuse_deletes = false;
    EXPECT_TRUE(cluster.all_adopted());
    EXPECT_EQ(cluster.task_starts("req-2", 1), 0);
    cluster.expect_no_violations();
}

TEST(StandbyService, NewLeaderAdoptsTwoThousandPendingRecords) {
    StandbyCluster cluster(1, {false, false, 0, 4000, 200});
    cluster.crash(0);
    constexpr int kJobs = 2000;
    for (int i = 0; i < kJobs; ++i) {
        auto id = "req-" + std::to_string(10000 + i);
        PendingRecord record{json::parse(ServiceFixture::submission_body(id, "array", 1)),
                             wall_now(), i % 100 != 0};
        cluster.record_external_submission(id, record.cancelled);
        cluster.cloud->jobs[id] = {};
        cluster.state_service->put(pending_key(id), json::parse(pending_record(record)));
    }
    cluster.state_service->put(pending_key("req-5"),
                               json::object{{"cancelled", true}});  // request for an unknown job
    cluster.state_service->put(pending_key("req-6"),
                               json::object{{"job", 7}, {"at", wall_now()}});  // malformed
    cluster.add_node(1);
    ASSERT_TRUE(
        cluster.wait_until([&] { return cluster.state_service->count_keys("f/") == kJobs + 1; }));
    EXPECT_EQ(cluster.job_status("req-10000"), "done");
    EXPECT_EQ(cluster.job_status("req-10001"), "aborted");
    EXPECT_TRUE(cluster.wait_until([&] { return cluster.pending_records() == 1; }))
        << cluster.pending_records();  // the malformed record stays
    cluster.expect_no_violations();
}

}  // namespace
}  // namespace weirmill
