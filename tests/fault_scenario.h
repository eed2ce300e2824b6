// Cases over loopback in which two troubles meet (docs/failures.md, "Meetings"). What is cut, held
// or refused stays so until a condition holds; the bounds are those of the settings.
#pragma once
#include "service.h"

namespace weirmill::test {

struct FaultScenario : Service {
    explicit FaultScenario(int count, With with = {})
        : Service(count, [&] {
              with.doors = true;
              with.patience_s = 1;  // longer than a report is held for records
              return with;
          }()) {
        EXPECT_EQ(submit("req-1", "array", 1), 201);
        EXPECT_TRUE(done("req-1"));
        EXPECT_TRUE(until([&] { return state->count(kAdopterPrefix) == settings.size(); }));
    }
    int leading() { return leader().back() - '0'; }
    // Its owner knows that it takes a while: nobody waits for its room.
    void start(const std::string& id, int tasks, double run_s = 1000) {
        fakes::Job job;
        job.run_s = run_s;
        job.tasks = static_cast<uint32_t>(tasks);
        cloud->jobs[id] = job;
        auto body = with(submission(id, "array", tasks), "expected_s", 60.0);
        ASSERT_EQ(ask("POST", "/v2/runs", body).status / 100, 2);
        ASSERT_TRUE(until([&] { return running(id) == tasks; }));
    }
    int running(const std::string& id) {
        int n = 0;
        for (auto& [name, w] : cloud->workers) n += w->dead() ? 0 : w->count(id);
        return n;
    }
    // The node's answer, once it is not to come back; "" if `abandoned_deadlines` comes first.
    std::string cancel_at(
        int node, const std::string& id,
        const std::function<bool()>& abandoned_deadlines = [] { return false; }) {
        std::string state;
        until([&] {
            auto reply =
                ask_node(static_cast<size_t>(node), "POST", "/v2/runs/" + id + "/cancel", "");
            if (reply && reply->status == 200)
                state = std::string(json::parse(reply->body).at("status").as_string());
            return !state.empty() || abandoned_deadlines();
        });
        return state;
    }
    void next_leader_after(const std::string& old) {
        ASSERT_TRUE(until([&] { return !leader().empty() && leader() != old; }));
    }
    void pass(double seconds) {
        double end = steady_now() + seconds;
        until([&] { return steady_now() > end; });
    }
    // Whether nobody on any machine runs it from now on, for as long as a cancellation may take.
    void expect_gone_by(double confirmed, const std::string& id) {
        EXPECT_TRUE(until([&] {
            return !cloud->on_some_machine(id) || steady_now() > confirmed + base.cancel_s;
        }));
        pass(std::max(0.0, confirmed + base.cancel_s - steady_now()));
        EXPECT_FALSE(cloud->on_some_machine(id)) << id;
    }
    // Each machine that runs something of it.
    std::vector<fakes::Worker*> machines_of(const std::string& id) {
        std::vector<fakes::Worker*> out;
        for (auto& [name, w] : cloud->workers)
            if (!w->dead() && w->runs(id)) out.push_back(w.get());
        return out;
    }
    void expect_no_rule_broken() { EXPECT_TRUE(cloud->broken.empty()) << cloud->broken[0]; }
};

// Alive: whether a new leader has heard of its tasks yet is another matter.
inline bool known(const std::string& status) { return status == "running" || status == "queued"; }

inline Service::With apart() {  // controllers that refuse each other
    Service::With with;
    with.cut = true;
    return with;
}

}  // namespace weirmill::test
