// The bound on the wait until a job begins.
#include "scheduler/start_deadline.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace weirmill {
namespace {

using test::any_machine;
using test::ClusterFixture;

TEST(StartDeadline, WhoIsLateToBegin) {
    ClusterFixture w;
    auto m = w.add_machine("m0");
    auto old = w.add_job(w.job_spec("req-1", JobKind::Array, 3, 1));
    auto older = w.add_job(w.job_spec("req-2", JobKind::Gang, 2, 1));
    auto begun = w.add_running_job(w.job_spec("req-3", JobKind::Array, 2, 1), {m});
    auto waits = w.add_job(w.job_spec("req-4", JobKind::Array, 1, 1));
    auto cancelled = w.add_job(w.job_spec("req-5", JobKind::Array, 1, 1));
    auto fresh = w.add_job(w.job_spec("req-6", JobKind::Array, 1, 1));
    for (auto j : {old, older, begun, waits, cancelled, fresh})
        w.cluster.jobs[j]->seen_at = w.now - 169;
    w.cluster.jobs[older]->seen_at = w.now - 200;
    w.cluster.jobs[fresh]->seen_at = w.now - 167;
    w.cluster.jobs[waits]->waits = true;
    w.cluster.jobs[cancelled]->cancelled = true;
    EXPECT_EQ(jobs_near_start_deadline(w.cluster, 240, w.now), (std::vector<Index>{older, old}));
    EXPECT_TRUE(jobs_near_start_deadline(w.cluster, 0, w.now).empty());
}

TEST(StartDeadline, ALateJobGoesBeforeItsEqualsAndNoFurther) {
    struct Row {
        const char* why;
        Priority late;
        JobKind kind;
        uint32_t tasks;
        uint32_t placed;  // of the late job; of 8 places, all of which the other would take
    };
    const Row rows[] = {
        {"an array begins with one task", Priority::Normal, JobKind::Array, 5, 1},
        {"a gang whole", Priority::Normal, JobKind::Gang, 5, 5},
        {"not before a higher priority", Priority::Low, JobKind::Array, 5, 0},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        w.add_machine("m0");
        auto other = w.add_job(w.job_spec("req-1", JobKind::Array, 8, 1));
        auto late = w.add_job(w.job_spec("req-2", row.kind, row.tasks, 1, 0, row.late));
        w.cluster.jobs[late]->submitted = 2000;  // behind by the order among equals
        place_waiting(w.cluster, any_machine, w.now, 4096, {}, {late});
        EXPECT_EQ(w.cluster.jobs[late]->placed, row.placed) << row.why;
        EXPECT_EQ(w.cluster.jobs[other]->placed, 8 - row.placed) << row.why;
    }
}

TEST(StartDeadline, MachinesAreGatheredForAGangThatSmallerOnesPassBy) {
    // Each machine that came free went to a gang of one, and the wide one never saw three together.
    ClusterFixture w;
    std::vector<Index> on;
    for (auto* name : {"a0", "a1", "b0", "b1", "b2"})
        on.push_back(w.add_machine(name, "std", std::string(1, name[0])));
    auto spec = w.job_spec("req-1", JobKind::Gang, 3, 7, 0, Priority::High);
    spec.one_zone = true;
    auto wide = w.add_job(spec);
    w.add_running_job(w.job_spec("req-9", JobKind::Gang, 1, 7, 0, Priority::High), {on[4]});
    EXPECT_EQ(machines_for_gang(w.cluster, any_machine, wide, w.now),
              (std::vector<Index>{on[0], on[1]}));
    w.add_running_job(w.job_spec("req-8", JobKind::Gang, 1, 7, 0, Priority::High), {on[0]});
    auto kept = machines_for_gang(w.cluster, any_machine, wide, w.now);
    EXPECT_EQ(kept, (std::vector<Index>{on[2], on[3]}));
    for (auto i : kept) {
        w.cluster.machines[i]->reserved_for = wide;
        w.cluster.machines[i]->reserved_until = w.now + 5;
    }
    auto small = w.add_job(w.job_spec("req-2", JobKind::Gang, 2, 7, 0, Priority::High));
    place_waiting(w.cluster, any_machine, w.now);
    EXPECT_EQ(w.cluster.jobs[small]->placed, 0u);
    w.cluster.finish(w.cluster.machines[on[4]]->tasks[0].job, 0, w.now);
    place_waiting(w.cluster, any_machine, w.now, 4096, {}, {wide});
    EXPECT_EQ(w.cluster.jobs[wide]->placed, 3u);
}

}  // namespace
}  // namespace weirmill
