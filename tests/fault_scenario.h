// Cases over loopback in which two troubles meet (docs/failures.md, "Meetings"). What is cut, held
// or refused stays so until a condition holds; the bounds are those of the settings.
#pragma once
#include "service_fixture.h"

namespace weirmill::test {

struct FaultScenarioFixture : ServiceFixture {
    explicit FaultScenarioFixture(int count, Options with = {})
        : ServiceFixture(count, [&] {
              with.standby_enabled = true;
              with.worker_timeout_s = 1;  // longer than a report is held for records
              return with;
          }()) {
        EXPECT_EQ(submit("req-1", "array", 1), 201);
        EXPECT_TRUE(wait_until_done("req-1"));
        EXPECT_TRUE(wait_until(
            [&] { return state_service->count_keys(kAdopterPrefix) == node_settings.size(); }));
    }
    int leader_index() { return leader_name().back() - '0'; }
    // Its owner knows that it takes a while: nobody waits for its room.
    void start_job(const std::string& id, int tasks, double run_s = 1000) {
        fakes::Job job;
        job.run_s = run_s;
        job.tasks = static_cast<uint32_t>(tasks);
        cloud->jobs[id] = job;
        auto body = with_field(submission_body(id, "array", tasks), "expected_s", 60.0);
        ASSERT_EQ(request_any_node("POST", "/v2/runs", body).status / 100, 2);
        ASSERT_TRUE(wait_until([&] { return running_tasks(id) == tasks; }));
    }
    int running_tasks(const std::string& id) {
        int n = 0;
        for (auto& [name, worker] : cloud->workers)
            n += worker->dead() ? 0 : worker->count_running(id);
        return n;
    }
    // The node's answer, once it is not to come back; "" if `abandoned_deadlines` comes first.
    std::string cancel_at_node(
        int node, const std::string& id,
        const std::function<bool()>& abandoned_deadlines = [] { return false; }) {
        std::string state;
        wait_until([&] {
            auto reply =
                request_node(static_cast<size_t>(node), "POST", "/v2/runs/" + id + "/cancel", "");
            if (reply && reply->status == 200)
                state = std::string(json::parse(reply->body).at("status").as_string());
            return !state.empty() || abandoned_deadlines();
        });
        return state;
    }
    void wait_for_new_leader(const std::string& old) {
        ASSERT_TRUE(wait_until([&] { return !leader_name().empty() && leader_name() != old; }));
    }
    void run_for(double seconds) {
        double end = steady_now() + seconds;
        wait_until([&] { return steady_now() > end; });
    }
    // Whether nobody on any machine runs it from now on, for as long as a cancellation may take.
    void expect_stopped_in_time(double confirmed, const std::string& id) {
        EXPECT_TRUE(wait_until([&] {
            return !cloud->is_running(id) || steady_now() > confirmed + base_settings.cancel_s;
        }));
        run_for(std::max(0.0, confirmed + base_settings.cancel_s - steady_now()));
        EXPECT_FALSE(cloud->is_running(id)) << id;
    }
    // Each machine that runs something of it.
    std::vector<fakes::Worker*> workers_running(const std::string& id) {
        std::vector<fakes::Worker*> out;
        for (auto& [name, worker] : cloud->workers)
            if (!worker->dead() && worker->is_running(id)) out.push_back(worker.get());
        return out;
    }
    void expect_no_violations() { EXPECT_TRUE(cloud->violations.empty()) << cloud->violations[0]; }
};

// Alive: whether a new leader has heard of its tasks yet is another matter.
inline bool is_active(const std::string& status) {
    return status == "running" || status == "queued";
}

inline ServiceFixture::Options isolated_peers() {  // controllers that refuse each other
    ServiceFixture::Options with;
    with.peers_refused = true;
    return with;
}

}  // namespace weirmill::test
