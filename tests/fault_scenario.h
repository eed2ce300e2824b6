// Fixture for tests in which two faults occur together (docs/failures.md, "Meetings"). Each fault
// lasts until a condition holds, and time limits are taken from the settings.
#pragma once
#include "service_fixture.h"

namespace weirmill::test {

// Starts controllers with standby enabled and waits until all have announced that they adopt
// pending records.
struct FaultScenarioFixture : ServiceFixture {
    explicit FaultScenarioFixture(int count, Options options = {})
        : ServiceFixture(count, [&] {
              options.standby_enabled = true;
              options.worker_timeout_s = 1;  // longer than a heartbeat response waits for records
              return options;
          }()) {
        EXPECT_EQ(submit("req-1", "array", 1), 201);
        EXPECT_TRUE(wait_until_done("req-1"));
        EXPECT_TRUE(wait_until(
            [&] { return state_service->count_keys(kAdopterPrefix) == node_settings.size(); }));
    }
    int leader_index() { return leader_name().back() - '0'; }
    // Submits a job and waits until all its tasks run. The long expected run time keeps the
    // scheduler from waiting for its resources.
    void start_job(const std::string& id, int tasks, double run_s = 1000) {
        fakes::Job job;
        job.run_s = run_s;
        job.tasks = static_cast<uint32_t>(tasks);
        cloud->jobs[id] = job;
        auto body = with_field(submission_body(id, "array", tasks), "expected_s", 60.0);
        ASSERT_EQ(request_any_node("POST", "/v2/runs", body).status / 100, 2);
        ASSERT_TRUE(wait_until([&] { return running_tasks(id) == tasks; }));
    }
    // Returns the number of the job's tasks that run on live workers.
    int running_tasks(const std::string& id) {
        int n = 0;
        for (auto& [name, worker] : cloud->workers)
            n += worker->dead() ? 0 : worker->count_running(id);
        return n;
    }
    // Cancels the job at one node until it answers with status 200, and returns the job status.
    // Returns an empty string if `stop_waiting` holds first.
    std::string cancel_at_node(
        int node, const std::string& id,
        const std::function<bool()>& stop_waiting = [] { return false; }) {
        std::string job_status;
        wait_until([&] {
            auto reply =
                request_node(static_cast<size_t>(node), "POST", "/v2/runs/" + id + "/cancel", "");
            if (reply && reply->status == 200)
                job_status = std::string(json::parse(reply->body).at("status").as_string());
            return !job_status.empty() || stop_waiting();
        });
        return job_status;
    }
    // Waits until a controller other than `old_leader` leads.
    void wait_for_new_leader(const std::string& old_leader) {
        ASSERT_TRUE(
            wait_until([&] { return !leader_name().empty() && leader_name() != old_leader; }));
    }
    // Runs the controllers and fakes for a time.
    void run_for(double seconds) {
        double end = steady_now() + seconds;
        wait_until([&] { return steady_now() > end; });
    }
    // Checks that no machine runs the job once Settings::cancel_s is over, counted from
    // `confirmed`, the time at which the cancellation was confirmed.
    void expect_stopped_in_time(double confirmed, const std::string& id) {
        EXPECT_TRUE(wait_until([&] {
            return !cloud->is_running(id) || steady_now() > confirmed + base_settings.cancel_s;
        }));
        run_for(std::max(0.0, confirmed + base_settings.cancel_s - steady_now()));
        EXPECT_FALSE(cloud->is_running(id)) << id;
    }
    // Returns the live workers that run tasks of the job.
    std::vector<fakes::Worker*> workers_running(const std::string& id) {
        std::vector<fakes::Worker*> out;
        for (auto& [name, worker] : cloud->workers)
            if (!worker->dead() && worker->is_running(id)) out.push_back(worker.get());
        return out;
    }
    void expect_no_violations() { EXPECT_TRUE(cloud->violations.empty()) << cloud->violations[0]; }
};

// Returns whether the job is accepted and has not ended. A new leader reports "queued" until it has
// received heartbeats from the workers of the job.
inline bool is_active(const std::string& status) {
    return status == "running" || status == "queued";
}

// Returns options for controllers that can't reach each other.
inline ServiceFixture::Options isolated_peers() {
    ServiceFixture::Options options;
    options.peers_refused = true;
    return options;
}

}  // namespace weirmill::test
