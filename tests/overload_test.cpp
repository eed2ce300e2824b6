// The overload forecast of each queue, when a queue counts as overloaded, which deadlines its jobs
// abandon, and the order in which its jobs are placed.
#include <gtest/gtest.h>

#include <random>

#include "fixtures.h"
#include "scheduler/deadline_feasibility.h"
#include "scheduler/overload_forecast.h"
#include "scheduler/placement.h"

namespace weirmill {
namespace {

using test::ClusterFixture;

// A cluster of `std` machines and a job class `short` with objectives of 30 s and 60 s. Its jobs
// are those of ClusterFixture::job_spec apart from what add_waiting_job sets.
struct ClusterWithObjective : ClusterFixture {
    Index job_class = cluster.names.classes.intern("short");
    OverloadForecast forecast;
    int next_id = 0;
    explicit ClusterWithObjective(int machines) {
        cluster.classes.resize(cluster.names.classes.size());
        cluster.classes[job_class].finish_within_s = {30, 60};
        for (int i = 0; i < machines; ++i) add_machine("vm-" + std::to_string(i));
    }
    Index add_waiting_job(uint32_t tasks, double estimate_s, const std::string& team = "blue",
                          JobKind kind = JobKind::Array) {
        auto s = job_spec("req-" + std::to_string(100000 + next_id++), kind, tasks, 1, 0,
                          Priority::Normal, team);
        s.job_class = job_class;
        s.estimate_s = estimate_s;
        return add_job(s);
    }
    QueueForecast observe(const std::string& team = "blue") {
        forecast.observe(cluster, now);
        auto& all = forecast.queues();
        auto it = all.find({cluster.names.teams.find(team), job_class});
        return it == all.end() ? QueueForecast{} : it->second;
    }
    bool overloaded(Index job) { return cluster.slowdown(cluster.jobs[job]->spec) > 0; }
    std::vector<std::string> placement_order() {
        std::vector<std::string> ids;
        for (auto j : waiting_jobs(cluster, now)) ids.push_back(cluster.jobs[j]->spec.id);
        return ids;
    }
    // Advances the time and completes waiting tasks in placement order, at a rate of `cpus` units.
    // Returns the number of jobs that ended.
    int run_waiting_jobs(double seconds, double cpus) {
        int ended = 0;
        now += seconds;
        double work = seconds * cpus;
        for (auto j : waiting_jobs(cluster, now)) {
            auto& job = *cluster.jobs[j];
            double task_work = std::max(1.0, cluster.expected_run_s(job.spec));
            while (job.pending > 0 && work >= task_work) {
                work -= task_work;
                uint32_t t = 0;
                while (job.tasks[t].state != TaskState::Pending) ++t;
                cluster.finish(j, t, now);
            }
            if (job.pending > 0) break;
            cluster.remove_job(j, now);
            ++ended;
        }
        return ended;
    }
};

TEST(OverloadForecast, ComparesWaitingWorkWithCapacity) {
    struct Row {
        const char* description;
        int machines;
        uint32_t jobs, tasks;
        double estimate_s;
        const char* team;
        bool overloaded;
    };
    const Row rows[] = {
        {"no waiting jobs", 4, 0, 0, 0, "blue", false},
        {"little work on 4 machines", 4, 10, 4, 30, "blue", false},  // 1,200 CPU-seconds on 32 CPUs
        {"much work on 4 machines", 4, 20, 10, 30, "blue", true},    // 6,000 CPU-seconds on 32 CPUs
        {"the same work on many machines", 40, 20, 10, 30, "blue", false},
        {"many machines, but a team limit of 32 CPUs", 40, 20, 10, 30, "red", true},
        {"no machine is up, so the capacity is unknown", 0, 20, 10, 30, "blue", false},
        {"one job of many tasks", 4, 1, 200, 30, "blue", true},
    };
    for (auto& row : rows) {
        ClusterWithObjective c(row.machines);
        Index last = kNone;
        for (uint32_t i = 0; i < row.jobs; ++i)
            last = c.add_waiting_job(row.tasks, row.estimate_s, row.team);
        auto q = c.observe(row.team);
        EXPECT_EQ(last != kNone && c.overloaded(last), row.overloaded)
            << row.description << ": drains in " << q.drain_s;
        EXPECT_EQ(c.forecast.overloaded_queues(), row.overloaded ? 1u : 0u) << row.description;
        EXPECT_DOUBLE_EQ(q.waiting_work, row.jobs * row.tasks * row.estimate_s) << row.description;
    }
}

TEST(OverloadForecast, MarksOverloadWithHysteresis) {
    ClusterWithObjective c(4);
    auto j = c.add_waiting_job(1, 30);
    std::vector<Index> others;
    // Replaces the other jobs, so that the queue drains in the given time. Returns whether it
    // counts as overloaded then.
    auto overloaded_at = [&](double drain_s) {
        for (auto i : others) c.cluster.remove_job(i, c.now);
        others.clear();
        for (int n = 1; n * 30 < drain_s * 32; ++n) others.push_back(c.add_waiting_job(1, 30));
        c.observe();
        return c.overloaded(j);
    };
    EXPECT_FALSE(overloaded_at(100));
    EXPECT_TRUE(overloaded_at(130));
    // A load that oscillates around capacity every 20 s does not change the state each time.
    for (int step = 0; step < 6; ++step) {
        c.now += 20;
        EXPECT_TRUE(overloaded_at(step % 2 ? 140 : 80)) << step;
    }
    EXPECT_FALSE(overloaded_at(50));
    EXPECT_FALSE(overloaded_at(100));
}

TEST(DeadlineFeasibility, MinimizesLateJobs) {
    struct Row {
        const char* description;
        std::vector<DeadlineCandidate> jobs;  // job, work, latest start in seconds
        double units, earlier_work;
        std::vector<Index> late_jobs;
    };
    const Row rows[] = {
        {"no jobs", {}, 10, 0, {}},
        {"all jobs are in time", {{1, 50, 10}, {2, 40, 10}}, 10, 0, {}},
        {"the largest job is late, although it is due first",
         {{1, 90, 10}, {2, 40, 11}, {3, 40, 12}},
         10,
         0,
         {1}},
        {"a job that is too large by itself", {{1, 500, 20}, {2, 100, 30}}, 10, 0, {1}},
        {"earlier work takes part of the time", {{1, 50, 10}, {2, 40, 10}}, 10, 30, {1}},
        {"earlier work takes all of the time", {{1, 50, 10}, {2, 40, 10}}, 10, 200, {1, 2}},
        {"no units", {{1, 50, 1}}, 0, 0, {}},
    };
    for (auto& row : rows)
        EXPECT_EQ(select_late_jobs(row.jobs, row.units, row.earlier_work), row.late_jobs)
            << row.description;
}

TEST(DeadlineFeasibility, LargestJobWaitsForNextDueTime) {
    // Guards against strict order by due time: under a load of twice the capacity nearly all
    // jobs started, and were overtaken by others once they were late.
    ClusterWithObjective c(1);  // 8 CPUs; due times after 30 s and 60 s
    auto large = c.add_waiting_job(16, 10);
    auto small = c.add_waiting_job(8, 10), other = c.add_waiting_job(8, 10);
    c.observe();
    EXPECT_EQ(c.cluster.jobs[large]->abandoned_deadlines, 1u);
    EXPECT_EQ(
        c.cluster.jobs[small]->abandoned_deadlines + c.cluster.jobs[other]->abandoned_deadlines,
        0u);
    EXPECT_EQ(waiting_jobs(c.cluster, c.now), (std::vector<Index>{small, other, large}));
    int missed;
    EXPECT_DOUBLE_EQ(c.cluster.due_time(*c.cluster.jobs[large], c.now, missed), c.now + 60);
    EXPECT_EQ(missed, 1);
    for (int i = 0; i < 3; ++i) c.add_machine("more-" + std::to_string(i));
    c.observe();
    EXPECT_EQ(c.cluster.jobs[large]->abandoned_deadlines, 0u);
}

TEST(OverloadForecast, RecentUseDecays) {
    ClusterWithObjective c(1);  // 8 CPUs
    auto j = c.add_waiting_job(8, 30);
    c.observe();
    for (uint32_t t = 0; t < 8; ++t) c.cluster.place(j, t, 0, 1, c.now);
    c.now += 100;
    EXPECT_DOUBLE_EQ(c.observe().expected_units, 8);
    for (uint32_t t = 0; t < 8; ++t) c.cluster.unassign(j, t, c.now);
    c.cluster.machines[0]->abandoned = true;  // no capacity is left
    c.now += 1;
    double shortly_after = c.observe().expected_units;
    EXPECT_GT(shortly_after, 6);
    c.now += 120;
    c.observe();
    c.now += 1;
    EXPECT_LT(c.observe().expected_units, 1);
}

TEST(JobOrder, OverloadedQueueOrdersByWorkAndArrival) {
    ClusterWithObjective c(1);
    auto big = c.add_waiting_job(40, 30), small = c.add_waiting_job(1, 10),
         middle = c.add_waiting_job(10, 30);
    auto id = [&](Index j) { return c.cluster.jobs[j]->spec.id; };
    c.observe();
    ASSERT_TRUE(c.overloaded(big));
    EXPECT_EQ(c.placement_order(), (std::vector{id(small), id(middle), id(big)}));
    // A job that a pipeline needs by some time keeps its due time, whatever its size.
    c.cluster.jobs[big]->needed_by = c.now + 100;
    EXPECT_EQ(c.placement_order(), (std::vector{id(small), id(big), id(middle)}));
    c.cluster.jobs[big]->needed_by = 1e18;
    // A job that is partly done counts with its remaining work only.
    for (uint32_t t = 0; t < 39; ++t) c.cluster.finish(big, t, c.now);
    EXPECT_EQ(c.placement_order(), (std::vector{id(small), id(big), id(middle)}));
    // A small job that arrives much later does not overtake the middle one.
    double slowdown = c.cluster.slowdown(c.cluster.jobs[middle]->spec);
    c.now += slowdown * 300 + 10;
    auto late = c.add_waiting_job(1, 10);
    c.cluster.classes[c.job_class].slowdown[c.cluster.jobs[late]->spec.team] = slowdown;
    auto placement_order = c.placement_order();
    EXPECT_LT(std::find(placement_order.begin(), placement_order.end(), id(middle)),
              std::find(placement_order.begin(), placement_order.end(), id(late)));
}

TEST(JobOrder, UnchangedWithoutOverload) {
    ClusterWithObjective a(40), b(40);
    std::mt19937 random(7);
    for (int i = 0; i < 60; ++i) {
        uint32_t tasks = 1 + random() % 4;
        double run = 5 + static_cast<double>(random() % 20);
        a.now = b.now = 100 + i;
        a.add_waiting_job(tasks, run);
        b.add_waiting_job(tasks, run);
    }
    a.observe();
    EXPECT_EQ(a.forecast.overloaded_queues(), 0u);
    EXPECT_EQ(a.placement_order(), b.placement_order());
}

// Random loads of 1.2 to 16 times the capacity, with exact, halved and doubled run time estimates.
// The order for overloaded queues completes more jobs than the order without the forecast, and
// guarantees and priorities still come first.
TEST(JobOrder, OverloadOrderCompletesMoreJobs) {
    std::mt19937 random(11);
    int more_completed = 0, fewer_completed = 0;
    for (int round = 0; round < 60; ++round) {
        double load = 1.2 + static_cast<double>(random() % 150) / 10;
        double bias = round % 3 == 0   ? 0.5
                      : round % 3 == 1 ? 2
                                       : 1;  // all estimates halved or doubled
        int ended[2] = {0, 0};
        auto seed = random();
        for (int with_forecast = 0; with_forecast < 2; ++with_forecast) {
            std::mt19937 same_random(seed);
            ClusterWithObjective c(2);
            std::lognormal_distribution<double> size(1.5, 1.0), run(3.0, 0.6);
            for (int step = 0; step < 30; ++step) {
                for (double arriving_work = load * 10 * 16; arriving_work > 0;) {
                    auto tasks = static_cast<uint32_t>(std::clamp(size(same_random), 1.0, 100.0));
                    double s = std::clamp(run(same_random), 2.0, 120.0);
                    arriving_work -= tasks * s;
                    c.add_waiting_job(tasks, s * bias);
                }
                if (with_forecast) c.observe();
                ended[with_forecast] += c.run_waiting_jobs(10, 16 * bias);
            }
            auto ids = c.placement_order();
            auto high = c.add_waiting_job(50, 100);
            c.cluster.jobs[high]->effective_priority = Priority::High;
            auto guaranteed = c.add_waiting_job(50, 100);
            c.cluster.jobs[guaranteed]->guaranteed = true;
            auto placement_order = c.placement_order();
            ASSERT_GE(placement_order.size(), 2u);
            EXPECT_EQ(placement_order[0], c.cluster.jobs[guaranteed]->spec.id);
            EXPECT_EQ(placement_order[1], c.cluster.jobs[high]->spec.id);
        }
        more_completed += ended[1] > ended[0];
        fewer_completed += ended[1] < ended[0];
    }
    EXPECT_GE(more_completed, 55);
    EXPECT_LE(fewer_completed, 2);
}

}  // namespace
}  // namespace weirmill
