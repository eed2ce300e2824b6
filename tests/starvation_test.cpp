// Detection of starved jobs and of the reason that keeps them from free capacity.
#include "scheduler/starvation.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace weirmill {
namespace {

using test::ClusterFixture;

TEST(Starvation, FindsStarvedJobsAndWhatBlocksThem) {
    struct Row {
        const char* description;
        std::function<void(ClusterFixture&, Job&)> change;
        std::optional<BlockedBy> blocked_by;  // empty: the job does not count as starved
        JobKind kind = JobKind::Array;
        uint32_t tasks = 2;
        double cpus = 4;
    };
    auto for_each_machine = [](ClusterFixture& w, auto&& change) {
        for (auto& m : w.cluster.machines) change(*m);
    };
    const Row rows[] = {
        {"capacity is free", [](ClusterFixture&, Job&) {}, BlockedBy::Nothing},
        {"the job arrived recently",
         [](ClusterFixture& w, Job& j) { j.submitted_steady = w.now - 10; }, std::nullopt},
        {"the job waits for a dependency",
         [](ClusterFixture&, Job& j) { j.waits_for_dependencies = true; }, std::nullopt},
        {"the job is cancelled", [](ClusterFixture&, Job& j) { j.cancelled = true; }, std::nullopt},
        {"the job failed and is retried later",
         [](ClusterFixture& w, Job& j) { j.not_before = w.now + 5; }, BlockedBy::BackOff},
        {"the team is at its limit",
         [](ClusterFixture& w, Job& j) { w.cluster.teams[j.spec.team].used = {32000, 0, 0}; },
         std::nullopt},
        {"machines reserved for another job",
         [&](ClusterFixture& w, Job&) {
             for_each_machine(
                 w, [&](Machine& m) { m.reserved_for = 7, m.reserved_until = w.now + 9; });
         },
         BlockedBy::Reserved},
        {"machines reserved for the job itself",
         [&](ClusterFixture& w, Job&) {
             for_each_machine(
                 w, [&](Machine& m) { m.reserved_for = 0, m.reserved_until = w.now + 9; });
         },
         BlockedBy::Nothing},
        {"expired reservations",
         [&](ClusterFixture& w, Job&) {
             for_each_machine(
                 w, [&](Machine& m) { m.reserved_for = 7, m.reserved_until = w.now - 1; });
         },
         BlockedBy::Nothing},
        {"machines in quarantine",
         [&](ClusterFixture& w, Job&) {
             for_each_machine(w, [&](Machine& m) { m.quarantined_until = w.now + 9; });
         },
         BlockedBy::Quarantined},
        {"lost downlinks",
         [&](ClusterFixture& w, Job&) {
             for_each_machine(w, [&](Machine& m) { m.downlink.lost_since = 1; });
         },
         BlockedBy::Unreachable},
        {"draining machines",
         [&](ClusterFixture& w, Job&) {
             for_each_machine(w, [&](Machine& m) { m.draining = true; });
         },
         BlockedBy::Leaving},
        {"one of two machines drains",
         [&](ClusterFixture& w, Job&) { w.cluster.machines[0]->draining = true; },
         BlockedBy::Nothing},
        {"machines that are not up",
         [&](ClusterFixture& w, Job&) { for_each_machine(w, [&](Machine& m) { m.up = false; }); },
         std::nullopt},
        {"abandoned machines",
         [&](ClusterFixture& w, Job&) {
             for_each_machine(w, [&](Machine& m) { m.abandoned = true; });
         },
         std::nullopt},
        {"machines in another zone only",
         [&](ClusterFixture& w, Job& j) { j.spec.zone = w.cluster.names.zones.intern("b"); },
         std::nullopt},
        {"a gang that fits on both machines", [](ClusterFixture&, Job&) {}, BlockedBy::Nothing,
         JobKind::Gang, 4},
        {"a gang too large for both machines", [](ClusterFixture&, Job&) {}, std::nullopt,
         JobKind::Gang, 5},
        {"a gang that needs both machines, one drains",
         [&](ClusterFixture& w, Job&) { w.cluster.machines[1]->draining = true; },
         BlockedBy::Leaving, JobKind::Gang, 4},
        {"a spread gang with machines in one zone only",
         [](ClusterFixture&, Job& j) { j.spec.spread = true; }, std::nullopt, JobKind::Gang, 4},
        {"a gang that exceeds the team's limit as a whole",
         [](ClusterFixture& w, Job& j) { w.cluster.teams[j.spec.team].used = {24000, 0, 0}; },
         std::nullopt, JobKind::Gang, 4},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        w.now = 1000;
        w.add_machine("vm-1");
        w.add_machine("vm-2");
        auto j = w.add_job(
            w.job_spec("req-1", row.kind, row.tasks, row.cpus, 0, Priority::Normal, "red"));
        w.cluster.jobs[j]->submitted_steady = w.now - 100;
        row.change(w, *w.cluster.jobs[j]);
        auto usable = [](const Machine& m) { return m.up && !m.downlink.downlink_lost(); };
        auto found = starved_jobs(w.cluster, usable, w.now, kStarvationThreshold_s);
        ASSERT_EQ(found.size(), row.blocked_by ? 1u : 0u) << row.description;
        if (row.blocked_by) {
            EXPECT_EQ(found[0].blocked_by, *row.blocked_by) << row.description;
        }
        std::map<std::string, double> gauges;
        for (auto& g : starved_gauges(found))
            EXPECT_TRUE(gauges.emplace(g.name, g.value).second) << g.name;
        EXPECT_EQ(gauges.at("jobs_starved"), static_cast<double>(found.size())) << row.description;
    }
}

}  // namespace
}  // namespace weirmill
