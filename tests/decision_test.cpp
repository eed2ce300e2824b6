// Placement, preemption and sizing: pure functions of tables and a given time.
#include <gtest/gtest.h>

#include <random>

#include "autoscaler/autoscaler.h"
#include "fixtures.h"
#include "placement_reference.h"
#include "scheduler/gang_launch.h"
#include "scheduler/placement.h"
#include "scheduler/preemption.h"

namespace weirmill {
namespace {

using test::any_machine;
using test::ClusterFixture;

// Figure 5 of the Aryl paper: a on servers 1 and 2, b on 3, c on 4 and 5, d on 5 and 6.
struct Figure5 {
    std::vector<ClearCandidate> servers{{0, {0}, 0}, {1, {0}, 0},    {2, {1}, 0},
                                        {3, {2}, 0}, {4, {2, 3}, 0}, {5, {3}, 0}};
    std::vector<uint32_t> spans{2, 1, 2, 2};
};

TEST(Preemption, CostsOfThePapersTable1) {
    Figure5 f;
    const double expected[] = {0.5, 0.5, 1, 0.5, 1, 0.5};
    for (size_t i = 0; i < f.servers.size(); ++i)
        EXPECT_DOUBLE_EQ(preemption_cost(f.servers[i], f.spans), expected[i]) << i;
}

TEST(Preemption, PicksAsInThePapersFigure5) {
    Figure5 f;
    struct Row {
        size_t n;
        std::vector<size_t> picked;
    };
    // Server 2 costs nothing once job a is stopped; then c goes from 4, which leaves 5 with half a
    // job.
    const Row rows[] = {{0, {}},
                        {1, {0}},
                        {2, {0, 1}},
                        {3, {0, 1, 3}},
                        {4, {0, 1, 3, 4}},
                        {5, {0, 1, 3, 4, 5}},
                        {9, {0, 1, 3, 4, 5, 2}}};
    for (auto& row : rows) EXPECT_EQ(pick_cheapest(f.servers, f.spans, row.n), row.picked) << row.n;
}

TEST(Preemption, ClearsTheCheapestMachineAndStopsOnlyThere) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    auto many = w.add_running_job(w.job_spec("req-1", JobKind::Array, 3, 2, 0, Priority::Low),
                                  {m0, m0, m1});
    auto big = w.add_job(w.job_spec("req-2", JobKind::Gang, 1, 7, 0, Priority::High));
    auto round = plan_preemption(w.cluster, any_machine, w.now);
    ASSERT_EQ(round.clearings.size(), 1u);
    EXPECT_EQ(round.clearings[0].job, big);
    EXPECT_EQ(round.clearings[0].machines, std::vector<Index>{m1});
    EXPECT_EQ(round.stops, (std::vector<TaskRef>{{many, 2}}));
}

TEST(Preemption, StopsGangsEverywhereAndCountsTheirOtherMachinesAsFree) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1"), m2 = w.add_machine("m2");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 4, 0, Priority::Low), {m0});
    auto gang =
        w.add_running_job(w.job_spec("req-2", JobKind::Gang, 2, 4, 0, Priority::Low), {m1, m2});
    w.add_job(w.job_spec("req-3", JobKind::Gang, 2, 7, 0, Priority::High));
    auto round = plan_preemption(w.cluster, any_machine, w.now);
    ASSERT_EQ(round.clearings.size(), 1u);
    EXPECT_EQ(round.clearings[0].machines, (std::vector<Index>{m1, m2}));
    EXPECT_EQ(round.stops, (std::vector<TaskRef>{{gang, 0}, {gang, 1}}));
}

TEST(Preemption, LeavesAloneWhatMayNotBeStopped) {
    struct Row {
        const char* why;
        Priority victim, waiting;
        const char *victim_team, *waiting_team;
        double waiting_cpus;
        size_t clearings;
    };
    const Row rows[] = {
        {"equal priority", Priority::High, Priority::High, "blue", "blue", 7, 0},
        {"higher priority", Priority::High, Priority::Low, "blue", "blue", 7, 0},
        {"lower priority", Priority::Low, Priority::Normal, "blue", "blue", 7, 1},
        {"beyond its guarantee, for a team that is owed", Priority::High, Priority::Low, "blue",
         "red", 7, 1},
        {"within its own guarantee", Priority::High, Priority::Low, "red", "red", 7, 0},
        {"a small task needs no machine to itself", Priority::Low, Priority::High, "blue", "blue",
         2, 0},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        auto m = w.add_machine("m0");
        w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 8, 0, row.victim, row.victim_team),
                          {m});
        w.add_job(w.job_spec("req-2", JobKind::Array, 1, row.waiting_cpus, 0, row.waiting,
                             row.waiting_team));
        EXPECT_EQ(plan_preemption(w.cluster, any_machine, w.now).clearings.size(), row.clearings)
            << row.why;
    }
}

TEST(Preemption, DoesNotClearTwiceForTheSameJob) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 2, 4, 0, Priority::Low), {m0, m1});
    auto big = w.add_job(w.job_spec("req-2", JobKind::Gang, 1, 7, 0, Priority::High));
    w.cluster.machines[m0]->reserved_for = big;
    w.cluster.machines[m0]->reserved_until = w.now + 10;
    EXPECT_TRUE(plan_preemption(w.cluster, any_machine, w.now).clearings.empty());
}

TEST(Preemption, JobsOfARoundDoNotCountOnTheSameFreeRoom) {
    // Eight gangs of 32 once counted on the same 13 free machines each: all had 19 cleared, and
    // none began.
    ClusterFixture w;
    auto free = w.add_machine("free");
    std::vector<Index> busy;
    for (int i = 0; i < 3; ++i) {
        busy.push_back(w.add_machine("m" + std::to_string(i)));
        w.add_running_job(
            w.job_spec("req-1" + std::to_string(i), JobKind::Array, 1, 8, 0, Priority::Low),
            {busy.back()});
    }
    auto first = w.add_job(w.job_spec("req-2", JobKind::Gang, 2, 7, 0, Priority::High));
    auto second = w.add_job(w.job_spec("req-3", JobKind::Gang, 2, 7, 0, Priority::High));
    w.cluster.jobs[first]->submitted = 1;
    auto round = plan_preemption(w.cluster, any_machine, w.now);
    ASSERT_EQ(round.clearings.size(), 2u);
    EXPECT_EQ(round.clearings[0].job, first);
    EXPECT_EQ(round.clearings[0].machines, std::vector<Index>{busy[0]});
    EXPECT_EQ(round.clearings[0].kept, std::vector<Index>{free});
    EXPECT_EQ(round.clearings[1].job, second);
    EXPECT_EQ(round.clearings[1].machines, (std::vector<Index>{busy[1], busy[2]}));
    EXPECT_TRUE(round.clearings[1].kept.empty());
}

TEST(Placement, WhatWasKeptForAJobIsFreeOnceItHasItsPlaces) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    auto gang = w.add_job(w.job_spec("req-1", JobKind::Gang, 1, 7, 0, Priority::High));
    for (auto i : {m0, m1}) {
        w.cluster.machines[i]->reserved_for = gang;
        w.cluster.machines[i]->reserved_until = w.now + 50;
    }
    place_waiting(w.cluster, any_machine, w.now);
    auto next = w.add_job(w.job_spec("req-2", JobKind::Gang, 1, 7, 0, Priority::High));
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now),
              (std::vector<Placement>{{next, 0, m1, 1}}));
}

TEST(Placement, AGangGoesWhereItsImageIsAndNotOnSpotMachines) {
    // It waits for its last machine to fetch the image, and loses the work of all with any one of
    // them.
    struct Row {
        const char* why;
        uint32_t tasks;
        std::vector<std::string> image_on;
        std::vector<std::string> expected;
    };
    const Row rows[] = {
        {"nowhere: the first zone", 2, {}, {"a0", "a1"}},
        {"the zone where more of its tasks find it", 2, {"a0", "b0", "b1"}, {"b0", "b1"}},
        {"within the zone, machines that have it", 2, {"a1", "a2"}, {"a1", "a2"}},
        {"one task alone: spot first, as for any", 1, {}, {"as"}},
        {"more than its tasks counts no more", 1, {"a2", "b0", "b1"}, {"a2"}},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        for (auto* name : {"a0", "a1", "a2", "b0", "b1", "b2"})
            w.add_machine(name, "std", std::string(1, name[0]));
        w.add_machine("as", "std", "a", true);
        auto spec = w.job_spec("req-1", JobKind::Gang, row.tasks, 7);
        spec.one_zone = true;
        spec.image_gb = 6;
        for (auto& name : row.image_on)
            w.cluster.machines[w.cluster.find_machine(name)]->images = {spec.image};
        w.add_job(spec);
        std::vector<std::string> on;
        for (auto& p : place_waiting(w.cluster, any_machine, w.now))
            on.push_back(w.cluster.machines[p.machine]->name);
        EXPECT_EQ(on, row.expected) << row.why;
    }
}

TEST(ClusterState, ImagesOfAMachineAreThoseThatItsCacheHolds) {
    ClusterFixture w;
    auto m = w.add_machine("m0");  // of 50 GB
    std::vector<JobSpec> specs;
    for (int i = 0; i < 4; ++i) {
        specs.push_back(w.job_spec("req-" + std::to_string(i), JobKind::Array, 1, 1));
        specs.back().image = w.cluster.names.images.intern("i" + std::to_string(i));
        specs.back().image_gb = 20;
        w.add_job(specs.back());
    }
    auto& machine = *w.cluster.machines[m];
    for (int i : {0, 1, 0, 2}) w.cluster.saw_image(machine, specs[i]);
    EXPECT_EQ(machine.images, (std::vector<Index>{specs[0].image, specs[2].image}));
}

TEST(GangLaunch, TasksThatWouldWaitTooLongForAFetchAreLaunchedAfterIt) {
    // An image that takes longer to fetch than tasks wait for each other: those that had it gave
    // up, the fetch was given up with them, and the gang began anew for ever.
    struct Row {
        const char* why;
        double gb;                   // at 1 GB/s, by protocol up to half as long again
        bool launched;               // the task that fetches
        double ago;                  // when
        std::vector<bool> has;       // of three tasks
        std::vector<bool> launches;  // whether each may be launched
    };
    // Patience: 30 s, less a late report of 2.5 s and one to spare.
    const Row rows[] = {
        {"a short fetch", 15, false, 0, {true, false, true}, {true, true, true}},
        {"a long one: who fetches goes first",
         30,
         false,
         0,
         {true, false, true},
         {false, true, false}},
        {"just launched", 30, true, 0, {true, false, true}, {false, true, false}},
        {"it may take 45 s, 15 have gone", 30, true, 15, {true, false, true}, {false, true, false}},
        {"19 have gone", 30, true, 19, {true, false, true}, {true, true, true}},
        {"all have it", 30, false, 0, {true, true, true}, {true, true, true}},
        {"nobody has it", 30, false, 0, {false, false, false}, {true, true, true}},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        std::vector<Index> on{w.add_machine("m0"), w.add_machine("m1"), w.add_machine("m2")};
        auto spec = w.job_spec("req-1", JobKind::Gang, 3, 7);
        spec.image_gb = row.gb;
        auto j = w.add_running_job(spec, on);
        auto& job = *w.cluster.jobs[j];
        for (uint32_t t = 0; t < 3; ++t)
            if (row.has[t]) w.cluster.machines[on[t]]->images = {spec.image};
        if (row.launched) {
            job.tasks[1].start_seq = 7;
            job.tasks[1].placed_at = static_cast<float>(w.now - row.ago);
        }
        for (uint32_t t = 0; t < 3; ++t)
            EXPECT_EQ(may_launch(w.cluster, job, t, 30, 2, w.now), row.launches[t])
                << row.why << ", task " << t;
    }
}

TEST(Placement, LowerWorkLeavesMachinesEmptyForGangsThatComeOften) {
    // Each machine that a gang left was filled by small tasks and cleared for the next gang seconds
    // later.
    ClusterFixture w;
    auto partly = w.add_machine("m0");
    for (auto* name : {"m1", "m2", "m3"}) w.add_machine(name);
    w.add_running_job(w.job_spec("req-9", JobKind::Array, 1, 4), {partly});
    auto gang = w.job_spec("req-8", JobKind::Gang, 1, 7, 0, Priority::High);
    std::vector<Headroom> headroom{{&gang, 2, 2}};
    w.add_job(w.job_spec("req-1", JobKind::Array, 20, 4, 0, Priority::Low));
    auto placed = place_waiting(w.cluster, any_machine, w.now, 100, headroom);
    EXPECT_EQ(placed.size(),
              3u);  // one beside the other, two on the one empty machine that is not kept
    auto first = w.add_job(w.job_spec("req-2", JobKind::Gang, 2, 7, 0, Priority::High));
    place_waiting(w.cluster, any_machine, w.now, 100, headroom);
    EXPECT_EQ(w.cluster.jobs[first]->placed, 2u);
}

TEST(Autoscaler, MachinesStayEmptyForGangsThatComeBeforeOthersAreCleared) {
    struct Row {
        const char* why;
        JobKind kind;
        double cpus, start_within_s, clear_s;
        int machines;
        std::vector<std::pair<int64_t, int64_t>> kept;  // tasks, of those at once
    };
    // Six jobs of two tasks in two minutes: 0.1 tasks a second. A boot takes 33 s and two
    // reports 4.
    const Row rows[] = {
        {"gangs", JobKind::Gang, 7, 25, 10, 30, {{6, 2}}},
        {"clearing takes too long", JobKind::Gang, 7, 25, 60, 30, {{6, 0}}},
        {"small tasks need no machine cleared", JobKind::Array, 1, 25, 10, 30, {{6, 0}}},
        {"they may wait for a boot", JobKind::Gang, 7, 60, 10, 30, {}},
        {"a tenth of the machines at the most", JobKind::Gang, 7, 25, 10, 14, {{6, 1}}},
        {"a fleet of three lets lower work run", JobKind::Gang, 7, 25, 10, 3, {{6, 0}}},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        w.cluster.classes.resize(w.cluster.names.classes.intern("class") + 1);
        w.cluster.classes.back().start_within_s = row.start_within_s;
        for (int i = 0; i < row.machines; ++i) w.add_machine("m" + std::to_string(i));
        for (int i = 0; i < 6; ++i)
            w.add_job(
                w.job_spec("req-" + std::to_string(i), row.kind, 2, row.cpus, 0, Priority::High));
        AutoscalerSettings settings;
        settings.heartbeat_interval_s = 2;
        settings.clear_s = row.clear_s;
        std::vector<std::pair<int64_t, int64_t>> got;
        for (auto& s : planned_headroom(w.cluster, settings, w.now))
            got.emplace_back(s.tasks, s.at_once);
        EXPECT_EQ(got, row.kept) << row.why;
    }
}

TEST(ClusterState, AGuaranteeWithoutAFigureForCpusCoversThoseBesideGpus) {
    struct Row {
        const char* why;
        TeamSettings team;
        double cpus, gpus;  // each of two tasks
        bool guaranteed, owed, over;
    };
    const Row rows[] = {
        {"both figures, within", {"t", 16, 0, 4, 0}, 4, 1, true, true, false},
        {"both, CPUs beyond", {"t", 6, 0, 4, 0}, 4, 1, false, false, true},
        {"GPUs alone", {"t", 0, 0, 4, 0}, 4, 1, true, true, false},
        {"GPUs alone, beyond", {"t", 0, 0, 1, 0}, 4, 1, false, false, true},
        {"GPUs alone, a job without", {"t", 0, 0, 4, 0}, 4, 0, false, false, true},
        {"CPUs alone, a job with GPUs", {"t", 16, 0, 0, 0}, 4, 1, false, false, true},
        {"no figure", {"t", 0, 0, 0, 0}, 4, 1, false, false, true},
        {"a limit below the guarantee", {"t", 16, 6, 4, 0}, 4, 1, false, false, true},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        w.settings.teams = {row.team};
        ClusterState cluster(w.settings);
        cluster.set_types({w.cluster.types[0].type, w.cluster.types[1].type});
        std::swap(w.cluster, cluster);
        auto spec =
            w.job_spec("req-1", JobKind::Array, 2, row.cpus, row.gpus, Priority::Normal, "t");
        auto j = w.add_running_job(spec, {w.add_machine("m0", "gpu"), w.add_machine("m1", "gpu")});
        auto& team = w.cluster.teams[0];
        EXPECT_EQ(w.cluster.jobs[j]->guaranteed, row.guaranteed) << row.why;
        EXPECT_EQ(w.cluster.over_guarantee(team, spec.demand), row.over) << row.why;
        team.used -= spec.demand;
        EXPECT_EQ(w.cluster.within_guarantee(team, spec.demand), row.owed) << row.why;
    }
}

TEST(Placement, FitsBestAndSparesGpus) {
    ClusterFixture w;
    auto gpu = w.add_machine("gpu", "gpu");
    auto empty = w.add_machine("empty"), fuller = w.add_machine("fuller");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 5), {fuller});
    auto small = w.add_job(w.job_spec("req-2", JobKind::Array, 2, 3));
    auto needs_gpu = w.add_job(w.job_spec("req-3", JobKind::Array, 1, 1, 1, Priority::Low));
    auto placed = place_waiting(w.cluster, any_machine, w.now);
    EXPECT_EQ(placed, (std::vector<Placement>{
                          {small, 0, fuller, 1}, {small, 1, empty, 1}, {needs_gpu, 0, gpu, 1}}));
}

TEST(Placement, PrefersTheMachineThatHasTheImage) {
    ClusterFixture w;
    w.add_machine("m0");
    auto m1 = w.add_machine("m1");
    auto j = w.add_job(w.job_spec("req-1", JobKind::Array, 1, 3));
    w.cluster.machines[m1]->images = {w.cluster.jobs[j]->spec.image};
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now)[0].machine, m1);
}

// A cluster and its jobs drawn from a seed. `alike`: the tasks of many jobs are of the same few
// kinds, as one queue of machines serves them then; otherwise hardly any two are.
ClusterFixture drawn(unsigned seed, bool alike = false) {
    std::mt19937 random(seed);
    auto below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
    ClusterFixture w;
    auto& names = w.cluster.names;
    std::vector<Index> machines;
    for (uint32_t i = 0, n = 5 + below(60); i < n; ++i) {
        machines.push_back(w.add_machine("m" + std::to_string(i), below(3) ? "std" : "gpu",
                                         below(2) ? "a" : "b", below(3) == 0));
        auto& m = *w.cluster.machines[machines.back()];
        for (uint32_t k = below(3); k > 0; --k)
            m.images.push_back(names.images.intern("i" + std::to_string(below(4))));
        m.up = below(10) > 0;
        m.last_heartbeat = w.now - 0.5 * below(8);
    }
    std::vector<Index> waiting;
    for (uint32_t n = 1; n <= 30; ++n) {
        auto kind = below(3) ? JobKind::Array : JobKind::Gang;
        auto s = w.job_spec("req-" + std::to_string(n), kind, 1 + below(12),
                            0.5 * (1 + below(alike ? 2 : 9)), below(3) ? 0 : 1,
                            static_cast<Priority>(below(4)), below(4) ? "blue" : "red");
        s.demand.mem = 1000 * (1 + below(alike ? 1 : 12));
        s.image = names.images.intern("i" + std::to_string(below(alike ? 2 : 4)));
        s.image_gb = below(2);
        s.spot = alike || below(2);
        s.one_zone = kind == JobKind::Gang && below(2);
        s.spread = !s.one_zone && below(5) == 0;
        if (below(6) == 0) s.zone = names.zones.find("b");
        if (below(6) == 0) s.types = {names.types.find("gpu")};
        auto j = w.add_job(s);
        auto& job = *w.cluster.jobs[j];
        if (below(4) == 0) job.failed_on = {machines[below(machines.size())]};
        if (kind == JobKind::Array && !s.spread && below(2)) {
            auto i = machines[below(machines.size())];
            if (w.cluster.machine_allowed(job.spec, *w.cluster.machines[i]) &&
                job.spec.demand.fits_in(w.cluster.machines[i]->room()) &&
                w.cluster.within_limit(w.cluster.teams[job.spec.team], job.spec.demand))
                w.cluster.place(j, 0, i, 1, w.now);
        }
        waiting.push_back(j);
    }
    for (int k = 0; k < 3; ++k) {
        auto& m = *w.cluster.machines[machines[below(machines.size())]];
        m.reserved_for = waiting[below(waiting.size())];
        m.reserved_until = w.now + 5;
    }
    // No share of a limit is held back here: that is tested by itself.
    for (auto& t : w.cluster.teams) t.limit.cpu = below(2) ? t.limit.cpu : 0;
    return w;
}

TEST(Placement, TheFastFormChoosesAsThePlainOne) {
    size_t placed = 0;
    for (unsigned seed = 1; seed <= 600; ++seed) {
        auto fast = drawn(seed, seed % 2), plain = drawn(seed, seed % 2);
        for (auto* w : {&fast, &plain}) w->cluster.teams[0].limit = {};
        auto got = place_waiting(fast.cluster, any_machine, fast.now);
        test::PlainPlacement reference{plain.cluster, any_machine, plain.now, {}};
        EXPECT_TRUE(got == reference.run()) << "seed " << seed;
        placed += got.size();
    }
    EXPECT_GT(placed, 10000u);
}

TEST(Placement, RanksGuaranteesThenTimesToStart) {
    ClusterFixture w;
    // Team red is owed 16 CPUs: req-1 fits them, req-2 does not beside it.
    auto small = w.add_job(w.job_spec("req-1", JobKind::Array, 4, 2, 0, Priority::Low, "red"));
    auto beyond = w.add_job(w.job_spec("req-2", JobKind::Array, 8, 2, 0, Priority::Low, "red"));
    auto high = w.add_job(w.job_spec("req-3", JobKind::Array, 1, 1, 0, Priority::High, "blue"));
    EXPECT_TRUE(w.cluster.jobs[small]->guaranteed);
    EXPECT_FALSE(w.cluster.jobs[beyond]->guaranteed);
    EXPECT_EQ(waiting_jobs(w.cluster, w.now), (std::vector<Index>{small, high, beyond}));
    // Of two jobs of a class that should start within 30 s, one is late already: it no longer holds
    // up the other.
    ClusterFixture late;
    late.cluster.classes.resize(late.cluster.names.classes.intern("class") + 1);
    late.cluster.classes.back().start_within_s = 30;
    late.cluster.classes.back().done_within_s = {250};
    auto old = late.add_job(late.job_spec("req-1", JobKind::Array, 1, 1));
    late.now += 40;
    auto fresh = late.add_job(late.job_spec("req-2", JobKind::Array, 1, 1));
    EXPECT_EQ(waiting_jobs(late.cluster, late.now), (std::vector<Index>{fresh, old}));
}

TEST(Placement, GivesAMachineToAnEqualJobWhoseImageItHas) {
    ClusterFixture w;
    auto m = w.add_machine("m0");
    auto other = w.job_spec("req-1", JobKind::Array, 1, 5),
         near = w.job_spec("req-2", JobKind::Array, 1, 5);
    other.image = w.cluster.names.images.intern("other");
    other.image_gb = near.image_gb = 4;
    w.add_job(other);
    auto j = w.add_job(near);
    w.cluster.machines[m]->images = {near.image};
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now), (std::vector<Placement>{{j, 0, m, 1}}));
}

TEST(Placement, ASmallTaskOfHigherPriorityIsNotStarvedBySmallerOnes) {
    // Each place that one end left went to a 1-CPU task, and 2-CPU tasks never saw two places
    // together.
    struct Row {
        const char* why;
        double cpus;
        Priority priority;
        uint32_t placed;  // of three small tasks, on machines with 1, 1 and 3 CPUs of 8 left
    };
    const Row rows[] = {
        {"higher: what lacks the least is held", 2, Priority::High, 2},
        {"equal: nothing is held", 2, Priority::Normal, 3},
        {"lower: nothing is held", 2, Priority::Low, 3},
        {"takes more than half a machine: machines are cleared for it instead", 5, Priority::High,
         3},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        std::vector<Index> on;
        for (double left : {1.0, 1.0, 3.0}) {
            on.push_back(w.add_machine("m" + std::to_string(on.size())));
            w.add_running_job(
                w.job_spec("req-9" + std::to_string(on.size()), JobKind::Array, 1, 8 - left),
                {on.back()});
        }
        auto big = w.add_job(w.job_spec("req-1", JobKind::Array, 2, row.cpus, 0, row.priority));
        auto small = w.add_job(w.job_spec("req-2", JobKind::Array, 3, 1));
        w.cluster.jobs[small]->submitted = 1;
        place_waiting(w.cluster, any_machine, w.now);
        if (row.priority == Priority::High && row.cpus == 2) {
            EXPECT_EQ(w.cluster.jobs[big]->placed, 1u);
        }
        EXPECT_EQ(w.cluster.jobs[small]->placed, row.placed) << row.why;
    }
}

TEST(Placement, HoldsNoMoreOfALimitThanMachinesCanFill) {
    // Small tasks of a team waited for minutes beside idle machines, for a limit that its large
    // jobs could not reach for want of machines.
    struct Row {
        const char* why;
        int machines;
        size_t small_placed;
    };
    // Team red may use 32 CPUs; a gang of 14 needs two machines of 8, as another holds two already.
    const Row rows[] = {{"four machines can hold both gangs: their share is held", 4, 4},
                        {"three can't: the rest of the limit is for the others", 3, 8}};
    for (auto& row : rows) {
        ClusterFixture w;
        std::vector<Index> m;
        for (int i = 0; i < row.machines; ++i) m.push_back(w.add_machine("m" + std::to_string(i)));
        w.add_running_job(w.job_spec("req-1", JobKind::Gang, 2, 7, 0, Priority::High, "red"),
                          {m[0], m[1]});
        w.add_running_job(w.job_spec("req-2", JobKind::Array, 1, 2, 0, Priority::High, "blue"),
                          {m[2]});
        w.add_job(w.job_spec("req-3", JobKind::Gang, 2, 7, 0, Priority::High, "red"));
        auto small = w.add_job(w.job_spec("req-4", JobKind::Array, 20, 1, 0, Priority::Low, "red"));
        place_waiting(w.cluster, any_machine, w.now);
        EXPECT_EQ(w.cluster.jobs[small]->placed, row.small_placed) << row.why;
    }
}

TEST(Autoscaler, RentsNothingInAZoneThatFellSilent) {
    // During a cut of a zone, machines used to be rented there, and paid for, that nobody could
    // reach.
    ClusterFixture w;
    for (int i = 0; i < 6; ++i) {
        auto& m =
            *w.cluster.machines[w.add_machine("m" + std::to_string(i), "std", i < 3 ? "a" : "b")];
        m.status = MachineStatus::Running;
        m.up = i >= 3;
    }
    auto s = w.job_spec("req-1", JobKind::Array, 40, 8);
    s.estimate_s = 100;
    w.add_job(s);
    auto rentals = plan_scale_out(w.cluster, any_machine, {0.3, 1}, w.now);
    ASSERT_FALSE(rentals.empty());
    for (auto& r : rentals) EXPECT_EQ(w.cluster.names.zones.name(r.zone), "b");
}

TEST(Autoscaler, AnIdleMachineIsKeptForGangsOnly) {
    // Every waiting job once kept every machine that suited it, though the job was held back by
    // other things.
    struct Row {
        JobKind kind;
        size_t returned;
    };
    for (auto& row : {Row{JobKind::Gang, 0}, Row{JobKind::Array, 1}}) {
        ClusterFixture w;
        w.add_machine("m0");
        w.add_job(w.job_spec("req-1", row.kind, 2, 7));
        EXPECT_EQ(plan_scale_in(w.cluster, {0.3, 1}, w.now + 200).size(), row.returned);
    }
}

TEST(Placement, KeepsToTypeZoneAndKind) {
    struct Row {
        const char* why;
        const char *type, *zone;
        bool spot;
        size_t placed;
    };
    const Row rows[] = {{"all as asked", "std", "a", false, 1},
                        {"other type", "gpu", "a", false, 0},
                        {"other zone", "std", "b", false, 0},
                        {"spot", "std", "a", true, 0}};
    for (auto& row : rows) {
        ClusterFixture w;
        w.add_machine("m0", row.type, row.zone, row.spot);
        auto s = w.job_spec("req-1", JobKind::Array, 1, 1);
        s.types = {w.cluster.names.types.find("std")};
        s.zone = w.cluster.names.zones.find("a");
        s.spot = false;
        w.add_job(s);
        EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now).size(), row.placed) << row.why;
    }
}

TEST(Placement, GangsGoWholeOrNotAtAllAndInOneZone) {
    ClusterFixture w;
    w.add_machine("a0", "std", "a");
    auto b0 = w.add_machine("b0", "std", "b"), b1 = w.add_machine("b1", "std", "b");
    auto s = w.job_spec("req-1", JobKind::Gang, 2, 7);
    s.one_zone = true;
    auto j = w.add_job(s);
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now),
              (std::vector<Placement>{{j, 0, b0, 1}, {j, 1, b1, 1}}));
    s.id = "req-2";
    w.add_job(s);
    EXPECT_TRUE(place_waiting(w.cluster, any_machine, w.now).empty());
}

TEST(Placement, AGangWaitsForTheLastTaskOfItsOldAttempt) {
    // A task of the old attempt that is on its machine still would be started twice.
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    w.add_machine("m2");
    auto j = w.add_running_job(w.job_spec("req-1", JobKind::Gang, 2, 4), {m0, m1});
    w.cluster.jobs[j]->gang_attempt = 1;
    w.cluster.unassign(j, 0, w.now);
    EXPECT_TRUE(place_waiting(w.cluster, any_machine, w.now).empty());
    w.cluster.unassign(j, 1, w.now);
    auto placed = place_waiting(w.cluster, any_machine, w.now);
    ASSERT_EQ(placed.size(), 2u);
    EXPECT_EQ(placed[0].attempt, 2u);
}

TEST(Placement, SpreadsAtMostHalfOfTheTasksOverOneZone) {
    ClusterFixture w;
    w.add_machine("a0", "std", "a");
    auto s = w.job_spec("req-1", JobKind::Array, 5, 1);
    s.spread = true;
    auto j = w.add_job(s);
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now).size(), 3u);
    w.add_machine("b0", "std", "b");
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now).size(), 2u);
    EXPECT_EQ(w.cluster.jobs[j]->placed, 5u);
}

TEST(Placement, AnUnknownZoneHoldsBackWhatIsBoundToOne) {
    // After a change of leader a task may be on a machine that nobody has described yet.
    ClusterFixture w;
    w.add_machine("m0");
    auto s = w.job_spec("req-1", JobKind::Array, 2, 1);
    s.one_zone = true;
    auto j = w.add_job(s);
    w.cluster.restore_placed(j, 0, w.cluster.add_machine("unheard", w.now), 1, 1);
    EXPECT_TRUE(place_waiting(w.cluster, any_machine, w.now).empty());
}

TEST(Quota, CountsEveryTaskThatMayBeThere) {
    ClusterFixture w;
    for (int i = 0; i < 6; ++i) w.add_machine("m" + std::to_string(i));
    auto j = w.add_job(w.job_spec("req-1", JobKind::Array, 6, 8, 0, Priority::Normal, "red"));
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now).size(), 4u);  // 32 CPUs at most
    w.cluster.jobs[j]->tasks[0].stopping = true;                         // told to stop is not gone
    EXPECT_TRUE(place_waiting(w.cluster, any_machine, w.now).empty());
    w.cluster.finish(j, 0, w.now);
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now).size(), 1u);
    EXPECT_EQ(w.cluster.teams[0].used, (Resources{32000, 0, 4000}));
}

TEST(Quota, ALargeJobsShareIsNotFilledByLaterTasksOfItsTeam) {
    // Small tasks used to fill the limit whenever one ended: a large job of the same team never
    // fitted.
    ClusterFixture w;
    for (int i = 0; i < 6; ++i) w.add_machine("m" + std::to_string(i));
    auto small = w.add_job(w.job_spec("req-1", JobKind::Array, 40, 1, 0, Priority::Low, "red"));
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now).size(), 32u);
    auto large = w.add_job(w.job_spec("req-2", JobKind::Array, 1, 7, 0, Priority::High, "red"));
    for (uint32_t t = 0; t < 6; ++t) w.cluster.finish(small, t, w.now);
    EXPECT_TRUE(place_waiting(w.cluster, any_machine, w.now).empty());
    w.cluster.finish(small, 6, w.now);
    EXPECT_EQ(place_waiting(w.cluster, any_machine, w.now)[0].job, large);
}

TEST(Placement, CpuTasksLeaveWhatTheFreeGpusNeed) {
    // GPU machines stood full of CPU tasks, at their full price, while GPU jobs waited.
    ClusterFixture w;
    w.add_machine("gpu", "gpu");  // 8 CPUs, 4 GPUs
    auto cpu_job = w.add_job(w.job_spec("req-2", JobKind::Array, 8, 1, 0, Priority::High));
    auto gpu_job = w.add_job(w.job_spec("req-1", JobKind::Array, 2, 1.5, 1, Priority::Low));
    place_waiting(w.cluster, any_machine, w.now);
    EXPECT_EQ(w.cluster.jobs[cpu_job]->placed, 0u);  // they would keep it from going back
    EXPECT_EQ(w.cluster.jobs[gpu_job]->placed, 2u);
    place_waiting(w.cluster, any_machine, w.now);
    EXPECT_EQ(w.cluster.jobs[cpu_job]->placed, 2u);  // 3 CPUs stay for the two free GPUs
}

TEST(Order, GuaranteeThenPriorityThenDeadline) {
    ClusterFixture w;
    auto late = w.add_job(w.job_spec("req-1", JobKind::Array, 1, 1, 0, Priority::Low));
    auto due_spec = w.job_spec("req-2", JobKind::Array, 1, 1, 0, Priority::Low);
    due_spec.deadline_s = 50;
    auto due = w.add_job(due_spec);
    auto owed = w.add_job(w.job_spec("req-3", JobKind::Array, 1, 1, 0, Priority::Low, "red"));
    auto high = w.add_job(w.job_spec("req-4", JobKind::Array, 1, 1, 0, Priority::High));
    EXPECT_EQ(waiting_jobs(w.cluster, w.now), (std::vector<Index>{owed, high, due, late}));
}

TEST(Autoscaler, RentsForWhatNeitherFitsNorIsComing) {
    ClusterFixture w;
    auto std_type = w.cluster.names.types.find("std");
    auto zone_a = w.cluster.names.zones.find("a"), zone_b = w.cluster.names.zones.find("b");
    auto s = w.job_spec("req-1", JobKind::Array, 17, 1);
    s.estimate_s = 300;
    s.deadline_s = 330;  // too long, and too urgent, to be run one after the other
    w.add_job(s);
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_a, true, 3}}));
    // A machine that is coming up already counts, whether the list shows it or not.
    auto& m = *w.cluster.machines[w.add_machine("m0", "std", "a", true)];
    m.up = false;
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_a, true, 2}}));
    // Refused there: the next cheapest offer.
    w.cluster.refusals.push_back({w.now + 10, {std_type, zone_a, true}});
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_b, true, 2}}));
}

TEST(Autoscaler, AJobBoundToOneZoneIsNotKeptInAZoneThatIsFull) {
    // With one machine in zone a and no more to be had there, jobs queued for it while zone b was
    // empty.
    ClusterFixture w;
    auto std_type = w.cluster.names.types.find("std");
    auto zone_a = w.cluster.names.zones.find("a"), zone_b = w.cluster.names.zones.find("b");
    auto m = w.add_machine("m0");
    auto s = w.job_spec("req-1", JobKind::Gang, 1, 7);
    s.one_zone = true;
    s.spot = false;
    s.types = {std_type};
    s.estimate_s = 300;
    w.add_running_job(s, {m});
    s.id = "req-2";
    w.add_job(s);
    w.cluster.refusals.push_back({w.now + 10, {std_type, zone_a, false}});
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_b, false, 1}}));
}

TEST(Autoscaler, AMachineJustRentedIsNotRentedAgain) {
    // One that is coming up was taken to be later than a new one, and rented again at each pass.
    ClusterFixture w;
    auto s = w.job_spec("req-1", JobKind::Array, 1, 8);
    s.deadline_s = 1;
    w.add_job(s);
    ASSERT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now).size(), 1u);
    auto& m = *w.cluster.machines[w.add_machine("m0", "std", "a", true)];
    m.up = false;
    m.requested_at = w.now;
    for (double later : {0.0, 0.5, 10.0, 29.0, 40.0})
        EXPECT_TRUE(plan_scale_out(w.cluster, any_machine, {}, w.now + later).empty()) << later;
}

TEST(Autoscaler, WaitsForRoomThatComesSoonerThanANewMachine) {
    struct Row {
        const char* why;
        double price;  // of the dearest type: 1, or ten times as much
        double left_s, deadline_s;
        size_t rentals;
        double ran_s = 0;
    };
    // A new machine takes 30 s, and costs 1.
    const Row rows[] = {
        {"room comes sooner", 1, 20, 60, 0},
        {"room comes later", 1, 60, 60, 1},
        {"time to spare", 1, 60, 600, 0},
        // Work that never stops once waited as long as a boot for its own room, for the sake of
        // cheap machines.
        {"cheap: room comes sooner, though not by much", 10, 20, 60, 1},
        {"cheap: room comes much sooner", 10, 10, 60, 0},
        {"cheap: time to spare", 10, 60, 600, 0},
        {"overdue by little", 1, 20, 60, 0, 30},
        // It was taken for as good as over, for as long as it ran.
        {"overdue by far", 1, 20, 60, 1, 400},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        auto types = std::vector<MachineType>{w.cluster.types[0].type, w.cluster.types[1].type};
        types[1].price = row.price;
        w.cluster.set_types(types);
        auto m = w.add_machine("m0");
        auto s = w.job_spec("req-1", JobKind::Array, 1, 8);
        s.estimate_s = row.left_s;
        auto j = w.add_running_job(s, {m});
        w.cluster.jobs[j]->tasks[0].running_at = static_cast<float>(w.now);
        w.now += row.ran_s;
        s.id = "req-2";
        s.deadline_s = row.deadline_s;
        w.add_job(s);
        EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now).size(), row.rentals) << row.why;
        // What is coming up already is not rented again.
        auto coming = w.cluster.add_machine("m1", w.now);
        w.cluster.describe_machine(*w.cluster.machines[coming], "std", "a", false);
        EXPECT_TRUE(plan_scale_out(
                        w.cluster, [&](auto& x) { return x.up; }, {}, w.now)
                        .empty())
            << row.why;
    }
}

TEST(Autoscaler, KeepsRoomForJobsThatShouldStartSoonerThanANewMachine) {
    ClusterFixture w;
    auto s = w.job_spec("req-1", JobKind::Gang, 2, 7);
    w.cluster.classes.resize(s.job_class + 1);
    w.cluster.classes[s.job_class].start_within_s = 15;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    w.add_running_job(s, {m0, m1});
    // Both machines are taken: room for another job of two is rented before it comes.
    int requested_at = 0;
    for (auto& r : plan_scale_out(w.cluster, any_machine, {}, w.now)) requested_at += r.count;
    EXPECT_EQ(requested_at, 2);
    // Idle ones are kept for it, until no such job has come for a while.
    w.add_machine("m2");
    w.add_machine("m3");
    w.now += 100;
    EXPECT_TRUE(plan_scale_out(w.cluster, any_machine, {}, w.now).empty());
    EXPECT_TRUE(plan_scale_in(w.cluster, {0.3, 1}, w.now).empty());
    w.now += 100;
    EXPECT_EQ(plan_scale_in(w.cluster, {0.3, 1}, w.now).size(), 2u);
}

TEST(Autoscaler, ReturnsIdleGivenUpAndFailedMachines) {
    ClusterFixture w;
    auto idle = w.add_machine("idle"), busy = w.add_machine("busy"),
         abandoned = w.add_machine("doomed"), fresh = w.add_machine("fresh");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 1), {busy});
    w.cluster.machines[abandoned]->abandoned = true;
    w.now += 61;
    w.cluster.machines[fresh]->up_at = w.now;
    EXPECT_EQ(plan_scale_in(w.cluster, {1.0, 1}, w.now), (std::vector<Index>{idle, abandoned}));
}

TEST(Preemption, AJobThatFindsNoMachinesSparesOnlyThoseOfItsKindThatWantAsMuch) {
    struct Row {
        const char* what;
        uint32_t tasks;
        double cpus;
        Priority priority;
        const char* team;
        size_t cleared;
    };
    // Three machines with work of low priority; first a gang of four that can't be served, then
    // another job.
    const Row rows[] = {
        {"wants as much", 4, 8, Priority::Normal, "blue", 0},
        {"wants less", 3, 8, Priority::Normal, "blue", 3},
        {"wants more", 5, 8, Priority::Normal, "blue", 0},
        {"its tasks are smaller: two to a machine", 4, 4, Priority::Normal, "blue", 2},
        {"of a priority that clears nothing", 3, 8, Priority::Low, "blue", 0},
        {"of another team", 2, 8, Priority::Normal, "red", 2},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        for (int i = 0; i < 3; ++i)
            w.add_running_job(
                w.job_spec("req-" + std::to_string(i), JobKind::Array, 1, 8, 0, Priority::Low),
                {w.add_machine("m" + std::to_string(i))});
        w.add_job(w.job_spec("req-10", JobKind::Gang, 4, 8));
        auto second = w.add_job(
            w.job_spec("req-11", JobKind::Gang, row.tasks, row.cpus, 0, row.priority, row.team));
        auto round = plan_preemption(w.cluster, test::any_machine, w.now);
        size_t cleared = 0;
        for (auto& c : round.clearings)
            if (c.job == second) cleared = c.machines.size();
        EXPECT_EQ(cleared, row.cleared) << row.what;
    }
}

TEST(Autoscaler, ThePlanIsTheSameWhetherMachinesAreKeptInOrderOrLookedAtAnew) {
    // Lists kept between jobs must follow every change that a job's plan makes: random clusters,
    // with few kinds of tasks and with many.
    size_t rentals = 0;
    for (unsigned seed = 1; seed <= 150; ++seed) {
        std::mt19937 random(seed);
        auto below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        ClusterFixture w;
        for (uint32_t i = 0, n = 10 + below(80); i < n; ++i) {
            auto& m =
                *w.cluster
                     .machines[w.add_machine("vm-" + std::to_string(i), below(3) ? "std" : "gpu",
                                             below(2) ? "a" : "b", below(3) == 0)];
            m.up = below(4) > 0;
            m.status = m.up ? MachineStatus::Running : MachineStatus::Booting;
            m.requested_at = w.now - below(30);
        }
        uint32_t jobs = 5 + below(40), kinds = below(2) ? 3 : 30;
        for (uint32_t j = 0; j < jobs; ++j) {
            uint32_t k = below(kinds);
            auto s = w.job_spec("req-" + std::to_string(j),
                                below(2) ? JobKind::Gang : JobKind::Array, 1 + below(20),
                                1 + 0.2 * k, k % 3 == 0 ? 1 : 0, static_cast<Priority>(below(4)));
            s.spot = k % 2;
            s.one_zone = below(3) == 0;
            s.spread = !s.one_zone && below(4) == 0;
            s.estimate_s = 10 + below(90);
            s.deadline_s = below(2) ? -1 : below(200);
            if (below(5) == 0) s.zone = w.cluster.names.zones.find("b");
            w.add_job(std::move(s));
            if (j == jobs / 2) place_waiting(w.cluster, test::any_machine, w.now, 1000);
        }
        auto kept = plan_scale_out(w.cluster, test::any_machine, {0.3, 2, 8}, w.now);
        for (size_t lists : {0, 1, 2})
            EXPECT_EQ(plan_scale_out(w.cluster, test::any_machine, {0.3, 2, lists}, w.now), kept)
                << "seed " << seed << ", lists " << lists;
        rentals += kept.size();
    }
    EXPECT_GT(rentals, 150u);
}

}  // namespace
}  // namespace weirmill
