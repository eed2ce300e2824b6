// Doors over loopback: users are served while no leader answers, and each job that was accepted
// runs once.
#include "service_fixture.h"
#include "state/pending_records.h"

namespace weirmill {
namespace {

namespace json = boost::json;
using test::ServiceFixture;

struct Doors : ServiceFixture {
    explicit Doors(int count, Options with = {})
        : ServiceFixture(count, [&] {
              with.standby_enabled = true;
              return with;
          }()) {
        std::string warm = "req-1";
        EXPECT_EQ(submit(warm, "array", 1), 201);
        EXPECT_TRUE(wait_until_done(warm));
    }
    int leading() { return leader_name().back() - '0'; }
    std::vector<int> followers() {
        std::vector<int> out;
        for (int i = 0; i < static_cast<int>(nodes.size()); ++i)
            if (alive[i] && i != leading()) out.push_back(i);
        return out;
    }
    // Uploaded for the workers, as every job of a user is.
    std::string upload(const std::string& id, int tasks, fakes::Job job = {}) {
        job.tasks = static_cast<uint32_t>(tasks);
        auto body = submission_body(id, "array", tasks);
        if (!job.dependencies.empty())
            body = with_field(body, "awaits", json::value_from(job.dependencies));
        cloud->jobs[id] = std::move(job);
        return body;
    }
    // Once the node's door is open; -1: it never answers other than 503.
    int submit_at(int node, const std::string& body) {
        return at(node, "POST", "/v2/runs", body).status;
    }
    HttpAnswer at(int node, const char* method, const std::string& target,
                  const std::string& body = "") {
        HttpAnswer out{-1, ""};
        wait_until([&] {
            auto reply = request_node(static_cast<size_t>(node), method, target, body);
            if (reply && reply->status != 503) out = *reply;
            return out.status != -1;
        });
        return out;
    }
    std::string state_at(int node, const std::string& id) {
        auto a = at(node, "GET", "/v2/runs/" + id);
        return a.status == 200 ? std::string(json::parse(a.body).at("status").as_string())
                               : std::to_string(a.status);
    }
    size_t door_records() { return state_service->count_keys(kPendingPrefix); }
    bool collected() {
        return wait_until([&] { return door_records() == 0; });
    }
    int starts(const std::string& id, int tasks) {
        int n = 0;
        for (int t = 0; t < tasks; ++t) n += cloud->task_starts[id + "/" + std::to_string(t)];
        return n;
    }
    void expect_no_rule_broken() { EXPECT_TRUE(cloud->violations.empty()) << cloud->violations[0]; }
    // Every controller has left its mark.
    void opened() {
        EXPECT_TRUE(wait_until(
            [&] { return state_service->count_keys(kAdopterPrefix) == node_settings.size(); }));
    }
};

TEST(StandbyService, AJobTakenWhileNobodyLeadsOutlivesTheFollowerThatTookIt) {
    Doors s(3);
    s.opened();
    auto old = s.leading();
    s.crash(old);
    int taker = old == 0 ? 1 : 0;
    auto body = s.upload("req-2", 3);
    // At once, by the door: no other node leads yet.
    auto status = s.submit_at(taker, body);
    EXPECT_TRUE(status == 201 || status == 200) << status;
    s.crash(taker);
    EXPECT_TRUE(s.wait_until_done("req-2"));
    EXPECT_EQ(s.starts("req-2", 3), 3);
    EXPECT_TRUE(s.collected());
    s.expect_no_rule_broken();
}

TEST(StandbyService, ControllersThatRefuseEachOtherServeTheirUsersAllTheSame) {
    Doors s(3, {false, true, 0, 40, 12});
    s.opened();
    auto f = s.followers();
    // Two nodes record the same job, and a third, the leader, is asked to take it as well.
    auto body = s.upload("req-2", 2);
    for (int node : {f[0], f[1], s.leading()}) {
        auto status = s.submit_at(node, body);
        EXPECT_TRUE(status == 201 || status == 200) << status;
    }
    // What waits for a job that may not be collected yet.
    fakes::Job second;
    second.dependencies = {"req-2"};
    EXPECT_EQ(s.submit_at(f[0], s.upload("req-3", 2, second)), 201);
    EXPECT_TRUE(s.wait_until_done("req-2"));
    EXPECT_TRUE(s.wait_until_done("req-3"));
    for (int node : f) {
        EXPECT_EQ(s.state_at(node, "req-3"), "done");
        EXPECT_EQ(s.state_at(node, "req-999"), "404");
        EXPECT_EQ(s.submit_at(node, body), 200);
    }
    struct Row {
        const char* what;
        std::string body;
        int status;
    };
    auto unknown = ServiceFixture::with_field(ServiceFixture::submission_body("req-8", "array", 1),
                                              "consignor", "nobody");
    const Row rows[] = {
        {"not JSON", "{", 400},
        {"an unknown team", unknown, 422},
        {"fits no machine", ServiceFixture::submission_body("req-8", "array", 1, 100), 422},
        {"waits for what was never accepted",
         ServiceFixture::with_field(ServiceFixture::submission_body("req-8", "array", 1), "awaits",
                                    json::array{"req-997"}),
         422},
        {"waits for itself",
         ServiceFixture::with_field(ServiceFixture::submission_body("req-8", "array", 1), "awaits",
                                    json::array{"req-8"}),
         422},
        {"waits for what has ended",
         ServiceFixture::with_field(s.upload("req-9", 1), "awaits", json::array{"req-2"}), 201},
    };
    for (auto& row : rows) EXPECT_EQ(s.submit_at(f[0], row.body), row.status) << row.what;
    EXPECT_TRUE(s.wait_until_done("req-9"));
    EXPECT_EQ(s.starts("req-2", 2) + s.starts("req-3", 2), 4);
    EXPECT_TRUE(s.collected());
    s.expect_no_rule_broken();
}

TEST(StandbyService, ACancellationAtADoorHoldsWhereverTheJobIs) {
    Doors s(2, {false, true, 0, 40, 12});
    s.opened();
    auto node = s.followers()[0];
    fakes::Job endless;
    endless.run_s = 1000;
    EXPECT_EQ(s.submit_at(node, s.upload("req-2", 2, endless)), 201);
    ASSERT_TRUE(s.wait_until([&] { return s.cloud->is_running("req-2"); }));
    // In the log by now: the door leaves a request, and tells what the leader made of it.
    auto a = s.at(node, "POST", "/v2/runs/req-2/cancel");
    EXPECT_EQ(a.status, 200);
    EXPECT_EQ(json::parse(a.body).at("status"), "aborted");
    ASSERT_TRUE(s.wait_until([&] { return s.state_service->snapshot().count("f/req-2") > 0; }));
    EXPECT_FALSE(s.cloud->is_running("req-2"));
    // Not collected: no controller leads any more that can be asked, and none will for a while.
    s.crash(s.leading());
    EXPECT_EQ(s.submit_at(node, s.upload("req-3", 2)), 201);
    a = s.at(node, "POST", "/v2/runs/req-3/cancel");
    EXPECT_EQ(json::parse(a.body).at("status"), "aborted");
    EXPECT_EQ(s.state_at(node, "req-3"), "aborted");
    EXPECT_EQ(s.submit_at(node, s.upload("req-3", 2)), 200);
    ASSERT_TRUE(s.wait_until([&] { return s.state_service->snapshot().count("f/req-3") > 0; }));
    EXPECT_EQ(s.state_at(node, "req-3"), "aborted");
    EXPECT_EQ(s.starts("req-3", 2), 0);
    // What names a cancelled job is cancelled with it.
    EXPECT_EQ(s.submit_at(node, ServiceFixture::with_field(s.upload("req-4", 1), "awaits",
                                                           json::array{"req-3"})),
              201);
    EXPECT_EQ(s.state_at(node, "req-4"), "aborted");
    // Nobody accepted it.
    EXPECT_EQ(s.at(node, "POST", "/v2/runs/req-999/cancel").status, 404);
    EXPECT_TRUE(s.collected());
    s.expect_no_rule_broken();
}

TEST(StandbyService, ARetryAtAThirdNodeWhileTheFirstRecordIsUnknown) {
    Doors s(3);
    s.opened();
    auto old = s.leading();
    s.crash(old);
    std::vector<int> left;
    for (int i = 0; i < 3; ++i)
        if (i != old) left.push_back(i);
    auto body = s.upload("req-2", 2);
    s.state_service->delay_txns = 1;  // executed late, after its sender gave up
    auto first = s.request_node(static_cast<size_t>(left[0]), "POST", "/v2/runs", body);
    ASSERT_TRUE(first);
    EXPECT_TRUE(first->status == 503 || first->status < 300) << first->status;
    EXPECT_LT(s.submit_at(left[1], body), 300);
    EXPECT_TRUE(s.wait_until_done("req-2"));
    EXPECT_TRUE(s.collected());
    EXPECT_EQ(s.starts("req-2", 2), 2);
    EXPECT_EQ(s.job_status("req-2"), "done");
    s.expect_no_rule_broken();
}

TEST(StandbyService, ANodeThatTheStateServiceRefusesAloneTellsItsUsersToComeBack) {
    Doors s(3, {false, true, 0, 40, 12});
    s.opened();
    auto f = s.followers();
    s.state_service->refused_controllers.insert(f[0]);
    auto body = s.upload("req-2", 1);
    auto reply = s.request_node(static_cast<size_t>(f[0]), "POST", "/v2/runs", body);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 503);
    EXPECT_LT(s.submit_at(f[1], body), 300);
    EXPECT_TRUE(s.wait_until_done("req-2"));
    s.expect_no_rule_broken();
}

TEST(StandbyService, StayClosedWhileAControllerMayBeOfAVersionThatDoesNotCollect) {
    // Such a leader would call an accepted job unknown.
    Doors s(2, {false, true, 1, 40, 12});
    auto node = static_cast<size_t>(s.followers()[0]);
    for (int i = 0; i < 3000; ++i) s.poll_once();
    auto reply = s.request_node(node, "POST", "/v2/runs", s.upload("req-2", 1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 503);
    EXPECT_EQ(s.door_records(), 0u);
    // Its mark comes, as when it is replaced by this version.
    s.state_service->put(adopter_key("stranger-0"), json::object{{"collects", 1}});
    EXPECT_LT(s.submit_at(static_cast<int>(node), s.upload("req-2", 1)), 300);
    EXPECT_TRUE(s.wait_until_done("req-2"));
    s.expect_no_rule_broken();
}

TEST(StandbyService, AJobThatHasEndedIsKnownHoweverLongItsRecordIsLeftOver) {
    // Its polls were answered 503 for as long as the record could not be deleted.
    Doors s(1);
    s.crash(0);
    PendingRecord record{json::parse(s.upload("req-2", 1)), wall_now(), false};
    s.record_external_submission("req-2");
    s.state_service->put("f/req-2", json::parse(final_record(JobState::Done, 1)));
    s.state_service->put(pending_key("req-2"), json::parse(pending_record(record)));
    s.state_service->refuse_deletes = true;
    s.add_node(1);
    EXPECT_EQ(s.state_at(1, "req-2"), "done");
    EXPECT_EQ(s.submit_at(1, s.upload("req-2", 1)), 200);
    EXPECT_EQ(json::parse(s.at(1, "POST", "/v2/runs/req-2/cancel").body).at("status"), "done");
    EXPECT_EQ(s.door_records(), 1u);
    s.state_service->refuse_deletes = false;
    EXPECT_TRUE(s.collected());
    EXPECT_EQ(s.starts("req-2", 1), 0);
    s.expect_no_rule_broken();
}

TEST(StandbyService, AnInboxOfTwoThousandIsCollectedByTheLeaderThatStarts) {
    Doors s(1, {false, false, 0, 4000, 200});
    s.crash(0);
    constexpr int kJobs = 2000;
    for (int i = 0; i < kJobs; ++i) {
        auto id = "req-" + std::to_string(10000 + i);
        PendingRecord record{json::parse(ServiceFixture::submission_body(id, "array", 1)),
                             wall_now(), i % 100 != 0};
        s.record_external_submission(id, record.cancelled);
        s.cloud->jobs[id] = {};
        s.state_service->put(pending_key(id), json::parse(pending_record(record)));
    }
    s.state_service->put(pending_key("req-5"),
                         json::object{{"cancelled", true}});  // of a job that nobody knows
    s.state_service->put(pending_key("req-6"),
                         json::object{{"job", 7}, {"at", wall_now()}});  // of nobody's making
    s.add_node(1);
    ASSERT_TRUE(s.wait_until([&] { return s.state_service->count_keys("f/") == kJobs + 1; }));
    EXPECT_EQ(s.job_status("req-10000"), "done");
    EXPECT_EQ(s.job_status("req-10001"), "aborted");
    EXPECT_TRUE(s.wait_until([&] { return s.door_records() == 1; }))
        << s.door_records();  // the malformed one stays
    s.expect_no_rule_broken();
}

}  // namespace
}  // namespace weirmill
