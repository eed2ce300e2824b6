// Overload: the forecast of each queue, when it is pressed and when not any more, and the order
// under pressure.
#include <gtest/gtest.h>

#include <random>

#include "fixtures.h"
#include "scheduler/deadline_feasibility.h"
#include "scheduler/overload_forecast.h"
#include "scheduler/placement.h"

namespace weirmill {
namespace {

using test::ClusterFixture;

// Classes: `short` is to be done within 60 s, its jobs are those of ClusterFixture::job_spec but
// for what is named.
struct Cluster : ClusterFixture {
    Index job_class = cluster.names.classes.intern("short");
    Forecast seen;
    int next = 0;
    explicit Cluster(int machines) {
        cluster.classes.resize(cluster.names.classes.size());
        cluster.classes[job_class].done_within_s = {30, 60};
        for (int i = 0; i < machines; ++i) add_machine("vm-" + std::to_string(i));
    }
    Index wait(uint32_t tasks, double run_s, const std::string& team = "blue",
               JobKind kind = JobKind::Array) {
        auto s = job_spec("req-" + std::to_string(100000 + next++), kind, tasks, 1, 0,
                          Priority::Normal, team);
        s.job_class = job_class;
        s.estimate_s = run_s;
        return add_job(s);
    }
    QueueForecast look(const std::string& team = "blue") {
        seen.observe(cluster, now);
        auto& all = seen.queues();
        auto it = all.find({cluster.names.teams.find(team), job_class});
        return it == all.end() ? QueueForecast{} : it->second;
    }
    bool overloaded(Index job) { return cluster.slowdown(cluster.jobs[job]->spec) > 0; }
    std::vector<std::string> order() {
        std::vector<std::string> ids;
        for (auto j : waiting_jobs(cluster, now)) ids.push_back(cluster.jobs[j]->spec.id);
        return ids;
    }
    // Some time goes by in which `cpus` units of what waits are served, in the order of today.
    int serve(double seconds, double cpus) {
        int ended = 0;
        now += seconds;
        double work = seconds * cpus;
        for (auto j : waiting_jobs(cluster, now)) {
            auto& job = *cluster.jobs[j];
            double each = std::max(1.0, cluster.expected_run_s(job.spec));
            while (job.pending > 0 && work >= each) {
                work -= each;
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

TEST(Overload, AQueueIsPressedByWhatWaitsAgainstWhatItCanHave) {
    struct Row {
        const char* what;
        int machines;
        uint32_t jobs, tasks;
        double run_s;
        const char* team;
        bool overloaded;
    };
    const Row rows[] = {
        {"nothing waits", 4, 0, 0, 0, "blue", false},
        {"a little on four machines", 4, 10, 4, 30, "blue", false},         // 1,200 s on 32 CPUs
        {"more than they do in two minutes", 4, 20, 10, 30, "blue", true},  // 6,000 s on 32
        {"the same on many machines", 40, 20, 10, 30, "blue", false},
        {"but not within this team's limit of 32", 40, 20, 10, 30, "red", true},
        {"no machine is up yet: nothing is known", 0, 20, 10, 30, "blue", false},
        {"one job of many tasks", 4, 1, 200, 30, "blue", true},
    };
    for (auto& row : rows) {
        Cluster c(row.machines);
        Index last = kNone;
        for (uint32_t i = 0; i < row.jobs; ++i) last = c.wait(row.tasks, row.run_s, row.team);
        auto q = c.look(row.team);
        EXPECT_EQ(last != kNone && c.overloaded(last), row.overloaded)
            << row.what << ": drains in " << q.drain_s;
        EXPECT_EQ(c.seen.overloaded(), row.overloaded ? 1u : 0u) << row.what;
        EXPECT_DOUBLE_EQ(q.waiting, row.jobs * row.tasks * row.run_s) << row.what;
    }
}

TEST(Overload, PressureBeginsWhereHalfWillBeLateAndEndsWhereNoneNeedBe) {
    Cluster c(4);
    auto j = c.wait(1, 30);
    std::vector<Index> more;
    auto waits = [&](double seconds) {  // until the queue drains
        for (auto i : more) c.cluster.remove_job(i, c.now);
        more.clear();
        for (int n = 1; n * 30 < seconds * 32; ++n) more.push_back(c.wait(1, 30));
        c.look();
        return c.overloaded(j);
    };
    EXPECT_FALSE(waits(100));
    EXPECT_TRUE(waits(130));
    // A load that swings around capacity each 20 s does not change the order each time.
    for (int swing = 0; swing < 6; ++swing) {
        c.now += 20;
        EXPECT_TRUE(waits(swing % 2 ? 140 : 80)) << swing;
    }
    EXPECT_FALSE(waits(50));
    EXPECT_FALSE(waits(100));
}

TEST(Overload, AsManyJobsAsCanBeAreInTime) {
    struct Row {
        const char* why;
        std::vector<DeadlineCandidate> jobs;  // job, work, must start within
        double units, before;
        std::vector<Index> abandoned_deadlines;
    };
    const Row rows[] = {
        {"nothing waits", {}, 10, 0, {}},
        {"all can", {{1, 50, 10}, {2, 40, 10}}, 10, 0, {}},
        {"the one with the most work goes, although it is due first",
         {{1, 90, 10}, {2, 40, 11}, {3, 40, 12}},
         10,
         0,
         {1}},
        {"one that is too large by itself", {{1, 500, 20}, {2, 100, 30}}, 10, 0, {1}},
        {"after other work", {{1, 50, 10}, {2, 40, 10}}, 10, 30, {1}},
        {"other work alone is too much", {{1, 50, 10}, {2, 40, 10}}, 10, 200, {1, 2}},
        {"no machine yet", {{1, 50, 1}}, 0, 0, {}},
    };
    for (auto& row : rows)
        EXPECT_EQ(abandoned_deadlines(row.jobs, row.units, row.before), row.abandoned_deadlines)
            << row.why;
}

TEST(Overload, WhereNotAllCanBeInTimeTheLargestWaitsForItsNextTime) {
    // The one due soonest went first: under twice the load nearly all began, and were passed once
    // they were late.
    Cluster c(1);  // 8 CPUs; times 30 and 60 s
    auto large = c.wait(16, 10);
    auto small = c.wait(8, 10), other = c.wait(8, 10);
    c.look();
    EXPECT_EQ(c.cluster.jobs[large]->abandoned_deadlines, 1u);
    EXPECT_EQ(
        c.cluster.jobs[small]->abandoned_deadlines + c.cluster.jobs[other]->abandoned_deadlines,
        0u);
    EXPECT_EQ(waiting_jobs(c.cluster, c.now), (std::vector<Index>{small, other, large}));
    int missed;
    EXPECT_DOUBLE_EQ(c.cluster.due(*c.cluster.jobs[large], c.now, missed), c.now + 60);
    EXPECT_EQ(missed, 1);
    for (int i = 0; i < 3; ++i) c.add_machine("more-" + std::to_string(i));
    c.look();
    EXPECT_EQ(c.cluster.jobs[large]->abandoned_deadlines, 0u);
}

TEST(Overload, WhatAQueueHadInUseIsRememberedForAWhile) {
    Cluster c(1);  // 8 CPUs
    auto j = c.wait(8, 30);
    c.look();
    for (uint32_t t = 0; t < 8; ++t) c.cluster.place(j, t, 0, 1, c.now);
    c.now += 100;
    EXPECT_DOUBLE_EQ(c.look().units, 8);
    for (uint32_t t = 0; t < 8; ++t) c.cluster.unassign(j, t, c.now);
    c.cluster.machines[0]->abandoned = true;  // nothing is there any more
    c.now += 1;
    double soon = c.look().units;
    EXPECT_GT(soon, 6);
    c.now += 120;
    c.look();
    c.now += 1;
    EXPECT_LT(c.look().units, 1);
}

TEST(Overload, UnderPressureShorterWorkGoesFirstAndOlderWorkIsNotPassedForEver) {
    Cluster c(1);
    auto big = c.wait(40, 30), small = c.wait(1, 10), middle = c.wait(10, 30);
    auto id = [&](Index j) { return c.cluster.jobs[j]->spec.id; };
    c.look();
    ASSERT_TRUE(c.overloaded(big));
    EXPECT_EQ(c.order(), (std::vector{id(small), id(middle), id(big)}));
    // What a pipeline needs by some time keeps its due time, whatever its size.
    c.cluster.jobs[big]->needed_by = c.now + 100;
    EXPECT_EQ(c.order(), (std::vector{id(small), id(big), id(middle)}));
    c.cluster.jobs[big]->needed_by = 1e18;
    // Partly served, it has less left.
    for (uint32_t t = 0; t < 39; ++t) c.cluster.finish(big, t, c.now);
    EXPECT_EQ(c.order(), (std::vector{id(small), id(big), id(middle)}));
    // One of small work that comes a long while later finds the middle one in front.
    double slowdown = c.cluster.slowdown(c.cluster.jobs[middle]->spec);
    c.now += slowdown * 300 + 10;
    auto late = c.wait(1, 10);
    c.cluster.classes[c.job_class].slowdown[c.cluster.jobs[late]->spec.team] = slowdown;
    auto order = c.order();
    EXPECT_LT(std::find(order.begin(), order.end(), id(middle)),
              std::find(order.begin(), order.end(), id(late)));
}

TEST(Overload, WithoutPressureTheOrderIsWhatItWas) {
    Cluster a(40), b(40);
    std::mt19937 random(7);
    for (int i = 0; i < 60; ++i) {
        uint32_t tasks = 1 + random() % 4;
        double run = 5 + static_cast<double>(random() % 20);
        a.now = b.now = 100 + i;
        a.wait(tasks, run);
        b.wait(tasks, run);
    }
    a.look();
    EXPECT_EQ(a.seen.overloaded(), 0u);
    EXPECT_EQ(a.order(), b.order());
}

// Random loads of 1.2 to 16 times what is served: more jobs end than by the order without pressure,
// by both estimates, no job of small work is left behind, and priorities and guarantees still
// command.
TEST(Overload, MoreJobsAreServedOfRandomLoadsAndPrioritiesStillCommand) {
    std::mt19937 random(11);
    int better = 0, worse = 0;
    for (int round = 0; round < 60; ++round) {
        double load = 1.2 + static_cast<double>(random() % 150) / 10;
        double bias = round % 3 == 0   ? 0.5
                      : round % 3 == 1 ? 2
                                       : 1;  // all estimates half, or double
        int ended[2] = {0, 0};
        auto seed = random();
        for (int with = 0; with < 2; ++with) {
            std::mt19937 same(seed);
            Cluster c(2);
            std::lognormal_distribution<double> size(1.5, 1.0), run(3.0, 0.6);
            for (int step = 0; step < 30; ++step) {
                for (double come = load * 10 * 16; come > 0;) {
                    auto tasks = static_cast<uint32_t>(std::clamp(size(same), 1.0, 100.0));
                    double s = std::clamp(run(same), 2.0, 120.0);
                    come -= tasks * s;
                    c.wait(tasks, s * bias);
                }
                if (with) c.look();
                ended[with] += c.serve(10, 16 * bias);
            }
            auto ids = c.order();
            auto high = c.wait(50, 100);
            c.cluster.jobs[high]->priority = Priority::High;
            auto owed = c.wait(50, 100);
            c.cluster.jobs[owed]->guaranteed = true;
            auto order = c.order();
            ASSERT_GE(order.size(), 2u);
            EXPECT_EQ(order[0], c.cluster.jobs[owed]->spec.id);
            EXPECT_EQ(order[1], c.cluster.jobs[high]->spec.id);
        }
        better += ended[1] > ended[0];
        worse += ended[1] < ended[0];
    }
    EXPECT_GE(better, 55);
    EXPECT_LE(worse, 2);
}

}  // namespace
}  // namespace weirmill
