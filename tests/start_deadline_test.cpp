// The bound on the wait until a job starts.
#include "scheduler/start_deadline.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace weirmill {
namespace {

using test::any_machine;
using test::ClusterFixture;

TEST(StartDeadline, FindsJobsNearTheBound) {
    ClusterFixture w;
    auto m = w.add_machine("m0");
    auto old = w.add_job(w.job_spec("req-1", JobKind::Array, 3, 1));
    auto older = w.add_job(w.job_spec("req-2", JobKind::Gang, 2, 1));
    auto started = w.add_running_job(w.job_spec("req-3", JobKind::Array, 2, 1), {m});
    auto dependant = w.add_job(w.job_spec("req-4", JobKind::Array, 1, 1));
    auto cancelled = w.add_job(w.job_spec("req-5", JobKind::Array, 1, 1));
    auto fresh = w.add_job(w.job_spec("req-6", JobKind::Array, 1, 1));
    for (auto j : {old, older, started, dependant, cancelled, fresh})
        w.cluster.jobs[j]->submitted_steady = w.now - 169;
    w.cluster.jobs[older]->submitted_steady = w.now - 200;
    w.cluster.jobs[fresh]->submitted_steady = w.now - 167;
    w.cluster.jobs[dependant]->waits_for_dependencies = true;
    w.cluster.jobs[cancelled]->cancelled = true;
    EXPECT_EQ(jobs_near_start_deadline(w.cluster, 240, w.now), (std::vector<Index>{older, old}));
    EXPECT_TRUE(jobs_near_start_deadline(w.cluster, 0, w.now).empty());
}

TEST(StartDeadline, LateJobOvertakesOnlyItsEquals) {
    struct Row {
        const char* description;
        Priority late_priority;
        JobKind kind;
        uint32_t tasks;
        uint32_t placed;  // tasks of the late job; the other job could use all 8 CPUs
    };
    const Row rows[] = {
        {"an array gets one task", Priority::Normal, JobKind::Array, 5, 1},
        {"a gang is placed as a whole", Priority::Normal, JobKind::Gang, 5, 5},
        {"a higher priority still comes first", Priority::Low, JobKind::Array, 5, 0},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        w.add_machine("m0");
        auto other = w.add_job(w.job_spec("req-1", JobKind::Array, 8, 1));
        auto late = w.add_job(w.job_spec("req-2", row.kind, row.tasks, 1, 0, row.late_priority));
        // Later than the other job, so behind it by default.
        w.cluster.jobs[late]->submitted_wall = 2000;
        place_waiting_jobs(w.cluster, any_machine, w.now, 4096, {}, {late});
        EXPECT_EQ(w.cluster.jobs[late]->placed, row.placed) << row.description;
        EXPECT_EQ(w.cluster.jobs[other]->placed, 8 - row.placed) << row.description;
    }
}

TEST(StartDeadline, ReservesMachinesForLateGang) {
    // Guards against starvation of a wide gang: each machine that became free was given to a gang
    // of one task, so three machines were never free at the same time.
    ClusterFixture w;
    std::vector<Index> machines;
    for (auto* name : {"a0", "a1", "b0", "b1", "b2"})
        machines.push_back(w.add_machine(name, "std", std::string(1, name[0])));
    auto spec = w.job_spec("req-1", JobKind::Gang, 3, 7, 0, Priority::High);
    spec.one_zone = true;
    auto wide = w.add_job(spec);
    w.add_running_job(w.job_spec("req-9", JobKind::Gang, 1, 7, 0, Priority::High), {machines[4]});
    EXPECT_EQ(machines_to_reserve_for_gang(w.cluster, any_machine, wide, w.now),
              (std::vector<Index>{machines[0], machines[1]}));
    w.add_running_job(w.job_spec("req-8", JobKind::Gang, 1, 7, 0, Priority::High), {machines[0]});
    auto reserved = machines_to_reserve_for_gang(w.cluster, any_machine, wide, w.now);
    EXPECT_EQ(reserved, (std::vector<Index>{machines[2], machines[3]}));
    for (auto i : reserved) {
        w.cluster.machines[i]->reserved_for = wide;
        w.cluster.machines[i]->reserved_until = w.now + 5;
    }
    auto small = w.add_job(w.job_spec("req-2", JobKind::Gang, 2, 7, 0, Priority::High));
    place_waiting_jobs(w.cluster, any_machine, w.now);
    EXPECT_EQ(w.cluster.jobs[small]->placed, 0u);
    w.cluster.finish(w.cluster.machines[machines[4]]->tasks[0].job, 0, w.now);
    place_waiting_jobs(w.cluster, any_machine, w.now, 4096, {}, {wide});
    EXPECT_EQ(w.cluster.jobs[wide]->placed, 3u);
}

}  // namespace
}  // namespace weirmill
