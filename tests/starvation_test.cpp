#include "scheduler/starvation.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace weirmill {
namespace {

using test::World;

TEST(Starvation, IsAJobThatWaitsWhileItsRoomStandsFreeAndWhatHoldsThat) {
    struct Row {
        const char* what;
        std::function<void(World&, Job&)> change;
        std::optional<BlockedBy> held;  // nothing: it waits for a reason
        JobKind kind = JobKind::Array;
        uint32_t tasks = 2;
        double cpus = 4;
    };
    auto all = [](World& w, auto&& change) {
        for (auto& m : w.cluster.machines) change(*m);
    };
    const Row rows[] = {
        {"room stands free", [](World&, Job&) {}, BlockedBy::Nothing},
        {"it came a while ago only", [](World& w, Job& j) { j.submitted_steady = w.now - 10; },
         std::nullopt},
        {"it waits for another", [](World&, Job& j) { j.waits_for_dependencies = true; },
         std::nullopt},
        {"it is cancelled", [](World&, Job& j) { j.cancelled = true; }, std::nullopt},
        {"it failed", [](World& w, Job& j) { j.not_before = w.now + 5; }, BlockedBy::BackOff},
        {"its team is at its limit",
         [](World& w, Job& j) { w.cluster.teams[j.spec.team].used = {32000, 0, 0}; }, std::nullopt},
        {"reserved for another",
         [&](World& w, Job&) {
             all(w, [&](Machine& m) { m.reserved_for = 7, m.reserved_until = w.now + 9; });
         },
         BlockedBy::Reserved},
        {"reserved for itself",
         [&](World& w, Job&) {
             all(w, [&](Machine& m) { m.reserved_for = 0, m.reserved_until = w.now + 9; });
         },
         BlockedBy::Nothing},
        {"a reservation that is over",
         [&](World& w, Job&) {
             all(w, [&](Machine& m) { m.reserved_for = 7, m.reserved_until = w.now - 1; });
         },
         BlockedBy::Nothing},
        {"in quarantine",
         [&](World& w, Job&) { all(w, [&](Machine& m) { m.quarantined_until = w.now + 9; }); },
         BlockedBy::Quarantined},
        {"unheard", [&](World& w, Job&) { all(w, [&](Machine& m) { m.downlink.lost_since = 1; }); },
         BlockedBy::Unheard},
        {"closing", [&](World& w, Job&) { all(w, [&](Machine& m) { m.draining = true; }); },
         BlockedBy::Leaving},
        {"one of two is free", [&](World& w, Job&) { w.cluster.machines[0]->draining = true; },
         BlockedBy::Nothing},
        {"not up", [&](World& w, Job&) { all(w, [&](Machine& m) { m.up = false; }); },
         std::nullopt},
        {"given up", [&](World& w, Job&) { all(w, [&](Machine& m) { m.abandoned = true; }); },
         std::nullopt},
        {"of another zone",
         [&](World& w, Job& j) { j.spec.zone = w.cluster.names.zones.intern("b"); }, std::nullopt},
        {"a gang that fits both", [](World&, Job&) {}, BlockedBy::Nothing, JobKind::Gang, 4},
        {"a gang too large for both", [](World&, Job&) {}, std::nullopt, JobKind::Gang, 5},
        {"a gang for which one of both is closing",
         [&](World& w, Job&) { w.cluster.machines[1]->draining = true; }, BlockedBy::Leaving,
         JobKind::Gang, 4},
        {"half of a gang in one zone at most", [](World&, Job& j) { j.spec.spread = true; },
         std::nullopt, JobKind::Gang, 4},
        {"a gang whose whole is over the limit",
         [](World& w, Job& j) { w.cluster.teams[j.spec.team].used = {24000, 0, 0}; }, std::nullopt,
         JobKind::Gang, 4},
    };
    for (auto& row : rows) {
        World w;
        w.now = 1000;
        w.machine("vm-1");
        w.machine("vm-2");
        auto j = w.job(w.spec("req-1", row.kind, row.tasks, row.cpus, 0, Priority::Normal, "red"));
        w.cluster.jobs[j]->submitted_steady = w.now - 100;
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
