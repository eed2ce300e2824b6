#include "scheduler/starvation.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace weirmill {
namespace {

using test::ClusterFixture;

TEST(Starvation, IsAJobThatWaitsWhileItsRoomStandsFreeAndWhatHoldsThat) {
    struct Row {
        const char* what;
        std::function<void(ClusterFixture&, Job&)> change;
        std::optional<BlockedBy> held;  // nothing: it waits for a reason
        JobKind kind = JobKind::Array;
        uint32_t tasks = 2;
        double cpus = 4;
    };
    auto all = [](ClusterFixture& w, auto&& change) {
        for (auto& m : w.cluster.machines) change(*m);
    };
    const Row rows[] = {
        {"room stands free", [](ClusterFixture&, Job&) {}, BlockedBy::Nothing},
        {"it came a while ago only", [](ClusterFixture& w, Job& j) { j.seen_at = w.now - 10; },
         std::nullopt},
        {"it waits for another", [](ClusterFixture&, Job& j) { j.waits = true; }, std::nullopt},
        {"it is cancelled", [](ClusterFixture&, Job& j) { j.cancelled = true; }, std::nullopt},
        {"it failed", [](ClusterFixture& w, Job& j) { j.not_before = w.now + 5; },
         BlockedBy::BackOff},
        {"its team is at its limit",
         [](ClusterFixture& w, Job& j) { w.cluster.teams[j.spec.team].used = {32000, 0, 0}; },
         std::nullopt},
        {"reserved for another",
         [&](ClusterFixture& w, Job&) {
             all(w, [&](Machine& m) { m.reserved_for = 7, m.reserved_until = w.now + 9; });
         },
         BlockedBy::Reserved},
        {"reserved for itself",
         [&](ClusterFixture& w, Job&) {
             all(w, [&](Machine& m) { m.reserved_for = 0, m.reserved_until = w.now + 9; });
         },
         BlockedBy::Nothing},
        {"a reservation that is over",
         [&](ClusterFixture& w, Job&) {
             all(w, [&](Machine& m) { m.reserved_for = 7, m.reserved_until = w.now - 1; });
         },
         BlockedBy::Nothing},
        {"in quarantine",
         [&](ClusterFixture& w, Job&) {
             all(w, [&](Machine& m) { m.quarantined_until = w.now + 9; });
         },
         BlockedBy::Quarantined},
        {"unheard",
         [&](ClusterFixture& w, Job&) { all(w, [&](Machine& m) { m.downlink.lost_since = 1; }); },
         BlockedBy::Unheard},
        {"closing",
         [&](ClusterFixture& w, Job&) { all(w, [&](Machine& m) { m.draining = true; }); },
         BlockedBy::Leaving},
        {"one of two is free",
         [&](ClusterFixture& w, Job&) { w.cluster.machines[0]->draining = true; },
         BlockedBy::Nothing},
        {"not up", [&](ClusterFixture& w, Job&) { all(w, [&](Machine& m) { m.up = false; }); },
         std::nullopt},
        {"given up",
         [&](ClusterFixture& w, Job&) { all(w, [&](Machine& m) { m.abandoned = true; }); },
         std::nullopt},
        {"of another zone",
         [&](ClusterFixture& w, Job& j) { j.spec.zone = w.cluster.names.zones.intern("b"); },
         std::nullopt},
        {"a gang that fits both", [](ClusterFixture&, Job&) {}, BlockedBy::Nothing, JobKind::Gang,
         4},
        {"a gang too large for both", [](ClusterFixture&, Job&) {}, std::nullopt, JobKind::Gang, 5},
        {"a gang for which one of both is closing",
         [&](ClusterFixture& w, Job&) { w.cluster.machines[1]->draining = true; },
         BlockedBy::Leaving, JobKind::Gang, 4},
        {"half of a gang in one zone at most",
         [](ClusterFixture&, Job& j) { j.spec.spread = true; }, std::nullopt, JobKind::Gang, 4},
        {"a gang whose whole is over the limit",
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
        w.cluster.jobs[j]->seen_at = w.now - 100;
        row.change(w, *w.cluster.jobs[j]);
        auto usable = [](const Machine& m) { return m.up && !m.downlink.downlink_lost(); };
        auto found = starved_jobs(w.cluster, usable, w.now, kStarvedAfter_s);
        ASSERT_EQ(found.size(), row.held ? 1u : 0u) << row.what;
        if (row.held) {
            EXPECT_EQ(found[0].blocked_by, *row.held) << row.what;
        }
        std::map<std::string, double> gauges;
        for (auto& g : starved_gauges(found))
            EXPECT_TRUE(gauges.emplace(g.name, g.value).second) << g.name;
        EXPECT_EQ(gauges.at("jobs_starved"), static_cast<double>(found.size())) << row.what;
    }
}

}  // namespace
}  // namespace weirmill
