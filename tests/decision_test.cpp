// Tests of placement, preemption and the autoscaler: pure functions of the cluster state and a
// given time.
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

// The example in figure 5 of the Aryl paper, with its servers 1 to 6 as machines 0 to 5: job a runs
// on servers 1 and 2, job b on 3, job c on 4 and 5, and job d on 5 and 6.
struct ArylFigure5 {
    std::vector<EvictionCandidate> machines{{0, {0}, 0}, {1, {0}, 0},    {2, {1}, 0},
                                            {3, {2}, 0}, {4, {2, 3}, 0}, {5, {3}, 0}};
    std::vector<uint32_t> spans{2, 1, 2, 2};
};

TEST(Preemption, CostMatchesArylTable1) {
    ArylFigure5 example;
    const double expected[] = {0.5, 0.5, 1, 0.5, 1, 0.5};
    for (size_t i = 0; i < example.machines.size(); ++i)
        EXPECT_DOUBLE_EQ(preemption_cost(example.machines[i], example.spans), expected[i]) << i;
}

TEST(Preemption, PickOrderMatchesArylFigure5) {
    ArylFigure5 example;
    struct Row {
        size_t count;
        std::vector<size_t> picked;
    };
    // Once job a has been stopped for machine 0, machine 1 costs nothing. The stop of job c for
    // machine 3 then halves the cost of machine 4.
    const Row rows[] = {{0, {}},
                        {1, {0}},
                        {2, {0, 1}},
                        {3, {0, 1, 3}},
                        {4, {0, 1, 3, 4}},
                        {5, {0, 1, 3, 4, 5}},
                        {9, {0, 1, 3, 4, 5, 2}}};
    for (auto& row : rows)
        EXPECT_EQ(pick_cheapest(example.machines, example.spans, row.count), row.picked)
            << row.count;
}

TEST(Preemption, StopsTasksOnlyOnTheCheapestMachine) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    auto array = w.add_running_job(w.job_spec("req-1", JobKind::Array, 3, 2, 0, Priority::Low),
                                   {m0, m0, m1});
    auto large = w.add_job(w.job_spec("req-2", JobKind::Gang, 1, 7, 0, Priority::High));
    auto round = plan_preemption(w.cluster, any_machine, w.now);
    ASSERT_EQ(round.evictions.size(), 1u);
    EXPECT_EQ(round.evictions[0].job, large);
    EXPECT_EQ(round.evictions[0].machines, std::vector<Index>{m1});
    EXPECT_EQ(round.victims, (std::vector<TaskRef>{{array, 2}}));
}

TEST(Preemption, StopsWholeGangsAndUsesAllTheirMachines) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1"), m2 = w.add_machine("m2");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 4, 0, Priority::Low), {m0});
    auto gang =
        w.add_running_job(w.job_spec("req-2", JobKind::Gang, 2, 4, 0, Priority::Low), {m1, m2});
    w.add_job(w.job_spec("req-3", JobKind::Gang, 2, 7, 0, Priority::High));
    auto round = plan_preemption(w.cluster, any_machine, w.now);
    ASSERT_EQ(round.evictions.size(), 1u);
    EXPECT_EQ(round.evictions[0].machines, (std::vector<Index>{m1, m2}));
    EXPECT_EQ(round.victims, (std::vector<TaskRef>{{gang, 0}, {gang, 1}}));
}

TEST(Preemption, RespectsPriorityGuaranteeAndTaskSize) {
    struct Row {
        const char* description;
        Priority victim, waiting;
        const char *victim_team, *waiting_team;
        double waiting_cpus;
        size_t evictions;
    };
    const Row rows[] = {
        {"equal priority", Priority::High, Priority::High, "blue", "blue", 7, 0},
        {"higher priority", Priority::High, Priority::Low, "blue", "blue", 7, 0},
        {"lower priority", Priority::Low, Priority::Normal, "blue", "blue", 7, 1},
        {"victim above its guarantee, waiting team below its own", Priority::High, Priority::Low,
         "blue", "red", 7, 1},
        {"victim within its own guarantee", Priority::High, Priority::Low, "red", "red", 7, 0},
        {"a small task needs no whole machine", Priority::Low, Priority::High, "blue", "blue", 2,
         0},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        auto machine = w.add_machine("m0");
        w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 8, 0, row.victim, row.victim_team),
                          {machine});
        w.add_job(w.job_spec("req-2", JobKind::Array, 1, row.waiting_cpus, 0, row.waiting,
                             row.waiting_team));
        EXPECT_EQ(plan_preemption(w.cluster, any_machine, w.now).evictions.size(), row.evictions)
            << row.description;
    }
}

TEST(Preemption, EvictsMachinesOnlyOnceForAJob) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 2, 4, 0, Priority::Low), {m0, m1});
    auto large = w.add_job(w.job_spec("req-2", JobKind::Gang, 1, 7, 0, Priority::High));
    w.cluster.machines[m0]->reserved_for = large;
    w.cluster.machines[m0]->reserved_until = w.now + 10;
    EXPECT_TRUE(plan_preemption(w.cluster, any_machine, w.now).evictions.empty());
}

TEST(Preemption, JobsOfARoundDoNotShareFreeMachines) {
    // If each of eight gangs of 32 tasks counted on the same 13 free machines, 19 machines would be
    // evicted for each of them and none could start.
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
    w.cluster.jobs[first]->submitted_wall = 1;
    auto round = plan_preemption(w.cluster, any_machine, w.now);
    ASSERT_EQ(round.evictions.size(), 2u);
    EXPECT_EQ(round.evictions[0].job, first);
    EXPECT_EQ(round.evictions[0].machines, std::vector<Index>{busy[0]});
    EXPECT_EQ(round.evictions[0].empty_machines, std::vector<Index>{free});
    EXPECT_EQ(round.evictions[1].job, second);
    EXPECT_EQ(round.evictions[1].machines, (std::vector<Index>{busy[1], busy[2]}));
    EXPECT_TRUE(round.evictions[1].empty_machines.empty());
}

TEST(Placement, ReleasesReservationsOfPlacedJobs) {
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    auto gang = w.add_job(w.job_spec("req-1", JobKind::Gang, 1, 7, 0, Priority::High));
    for (auto i : {m0, m1}) {
        w.cluster.machines[i]->reserved_for = gang;
        w.cluster.machines[i]->reserved_until = w.now + 50;
    }
    place_waiting_jobs(w.cluster, any_machine, w.now);
    auto next = w.add_job(w.job_spec("req-2", JobKind::Gang, 1, 7, 0, Priority::High));
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now),
              (std::vector<Placement>{{next, 0, m1, 1}}));
}

TEST(Placement, GangPrefersCachedImagesAndOnDemandMachines) {
    // A gang waits until the last of its machines has fetched the image, and all its tasks restart
    // if one machine is lost.
    struct Row {
        const char* description;
        uint32_t tasks;
        std::vector<std::string> image_on;
        std::vector<std::string> expected;
    };
    const Row rows[] = {
        {"image on no machine: the first zone", 2, {}, {"a0", "a1"}},
        {"the zone where more of its tasks find the image", 2, {"a0", "b0", "b1"}, {"b0", "b1"}},
        {"within the zone, machines with the image", 2, {"a1", "a2"}, {"a1", "a2"}},
        {"single task: spot first, as for other jobs", 1, {}, {"as"}},
        {"capacity beyond its tasks does not count", 1, {"a2", "b0", "b1"}, {"a2"}},
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
            w.cluster.machines[w.cluster.find_machine(name)]->cached_images = {spec.image};
        w.add_job(spec);
        std::vector<std::string> used_machines;
        for (auto& placement : place_waiting_jobs(w.cluster, any_machine, w.now))
            used_machines.push_back(w.cluster.machines[placement.machine]->name);
        EXPECT_EQ(used_machines, row.expected) << row.description;
    }
}

TEST(ClusterState, EvictsLeastRecentlyUsedImages) {
    ClusterFixture w;
    auto machine_index = w.add_machine("m0");  // its image cache holds 50 GB
    std::vector<JobSpec> specs;
    for (int i = 0; i < 4; ++i) {
        specs.push_back(w.job_spec("req-" + std::to_string(i), JobKind::Array, 1, 1));
        specs.back().image = w.cluster.names.images.intern("i" + std::to_string(i));
        specs.back().image_gb = 20;
        w.add_job(specs.back());
    }
    auto& machine = *w.cluster.machines[machine_index];
    for (int i : {0, 1, 0, 2}) w.cluster.mark_image_used(machine, specs[i]);
    EXPECT_EQ(machine.cached_images, (std::vector<Index>{specs[0].image, specs[2].image}));
}

TEST(GangLaunch, LaunchesFetchingTasksFirst) {
    // If an image takes longer to fetch than tasks wait for each other, the tasks on machines with
    // the image exit before the fetch ends, which aborts it, and the gang restarts forever.
    struct Row {
        const char* description;
        double image_gb;  // fetched at 1 GB/s; the protocol allows 1.5 times the nominal fetch time
        bool fetch_launched;  // whether task 1, which fetches the image, has been launched
        double launched_s_ago;
        std::vector<bool> has_image;   // by task
        std::vector<bool> may_launch;  // by task, as expected
    };
    // Tasks wait 30 s for each other, less 2.5 s for a late heartbeat and 1 s as a margin.
    const Row rows[] = {
        {"a short fetch", 15, false, 0, {true, false, true}, {true, true, true}},
        {"a long fetch: the fetching task goes first",
         30,
         false,
         0,
         {true, false, true},
         {false, true, false}},
        {"just launched", 30, true, 0, {true, false, true}, {false, true, false}},
        {"the fetch may take 45 s, 15 s have passed",
         30,
         true,
         15,
         {true, false, true},
         {false, true, false}},
        {"19 s have passed", 30, true, 19, {true, false, true}, {true, true, true}},
        {"all machines have the image", 30, false, 0, {true, true, true}, {true, true, true}},
        {"no machine has the image", 30, false, 0, {false, false, false}, {true, true, true}},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        std::vector<Index> machines{w.add_machine("m0"), w.add_machine("m1"), w.add_machine("m2")};
        auto spec = w.job_spec("req-1", JobKind::Gang, 3, 7);
        spec.image_gb = row.image_gb;
        auto job_index = w.add_running_job(spec, machines);
        auto& job = *w.cluster.jobs[job_index];
        for (uint32_t t = 0; t < 3; ++t)
            if (row.has_image[t]) w.cluster.machines[machines[t]]->cached_images = {spec.image};
        if (row.fetch_launched) {
            job.tasks[1].start_seq = 7;
            job.tasks[1].placed_at = static_cast<float>(w.now - row.launched_s_ago);
        }
        for (uint32_t t = 0; t < 3; ++t)
            EXPECT_EQ(may_launch(w.cluster, job, t, 30, 2, w.now), row.may_launch[t])
                << row.description << ", task " << t;
    }
}

TEST(Placement, LowPriorityTasksLeaveHeadroomEmpty) {
    // Without headroom, small tasks fill each machine that a gang releases, and are preempted for
    // the next gang seconds later.
    ClusterFixture w;
    auto partly_used = w.add_machine("m0");
    for (auto* name : {"m1", "m2", "m3"}) w.add_machine(name);
    w.add_running_job(w.job_spec("req-9", JobKind::Array, 1, 4), {partly_used});
    auto gang = w.job_spec("req-8", JobKind::Gang, 1, 7, 0, Priority::High);
    std::vector<Headroom> headroom{{&gang, 2, 2}};
    w.add_job(w.job_spec("req-1", JobKind::Array, 20, 4, 0, Priority::Low));
    auto placed = place_waiting_jobs(w.cluster, any_machine, w.now, 100, headroom);
    // One task fits on the machine in use and two on the one empty machine that is not headroom.
    EXPECT_EQ(placed.size(), 3u);
    auto high = w.add_job(w.job_spec("req-2", JobKind::Gang, 2, 7, 0, Priority::High));
    place_waiting_jobs(w.cluster, any_machine, w.now, 100, headroom);
    EXPECT_EQ(w.cluster.jobs[high]->placed, 2u);
}

TEST(Autoscaler, HeadroomIncludesEmptyMachinesForGangs) {
    struct Row {
        const char* description;
        JobKind kind;
        double cpus, start_within_s, preemption_duration_s;
        int machines;
        std::vector<std::pair<int64_t, int64_t>> headroom;  // tasks, and those on empty machines
    };
    // Six jobs of two tasks in two minutes are 0.1 tasks per second. A boot takes 33 s, and two
    // heartbeat intervals 4 s.
    const Row rows[] = {
        {"gangs", JobKind::Gang, 7, 25, 10, 30, {{6, 2}}},
        {"preemption takes too long", JobKind::Gang, 7, 25, 60, 30, {{6, 0}}},
        {"small tasks need no whole machine", JobKind::Array, 1, 25, 10, 30, {{6, 0}}},
        {"start objective longer than a boot", JobKind::Gang, 7, 60, 10, 30, {}},
        {"at most a tenth of the machines", JobKind::Gang, 7, 25, 10, 14, {{6, 1}}},
        {"a fleet of three keeps none empty", JobKind::Gang, 7, 25, 10, 3, {{6, 0}}},
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
        settings.preemption_duration_s = row.preemption_duration_s;
        std::vector<std::pair<int64_t, int64_t>> actual;
        for (auto& entry : planned_headroom(w.cluster, settings, w.now))
            actual.emplace_back(entry.tasks, entry.tasks_on_empty_machines);
        EXPECT_EQ(actual, row.headroom) << row.description;
    }
}

TEST(ClusterState, GpuGuaranteeCoversCpusOfGpuJobs) {
    struct Row {
        const char* description;
        TeamSettings team;
        double cpus, gpus;  // of each of two tasks
        bool guaranteed, within, above;
    };
    const Row rows[] = {
        {"CPUs and GPUs, within both", {"t", 16, 0, 4, 0}, 4, 1, true, true, false},
        {"CPUs and GPUs, above the CPUs", {"t", 6, 0, 4, 0}, 4, 1, false, false, true},
        {"GPUs only", {"t", 0, 0, 4, 0}, 4, 1, true, true, false},
        {"GPUs only, above them", {"t", 0, 0, 1, 0}, 4, 1, false, false, true},
        {"GPUs only, job without GPUs", {"t", 0, 0, 4, 0}, 4, 0, false, false, true},
        {"CPUs only, job with GPUs", {"t", 16, 0, 0, 0}, 4, 1, false, false, true},
        {"no guarantee", {"t", 0, 0, 0, 0}, 4, 1, false, false, true},
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
        auto job =
            w.add_running_job(spec, {w.add_machine("m0", "gpu"), w.add_machine("m1", "gpu")});
        auto& team = w.cluster.teams[0];
        EXPECT_EQ(w.cluster.jobs[job]->guaranteed, row.guaranteed) << row.description;
        EXPECT_EQ(w.cluster.exceeds_guarantee(team, spec.demand), row.above) << row.description;
        team.used -= spec.demand;
        EXPECT_EQ(w.cluster.within_guarantee(team, spec.demand), row.within) << row.description;
    }
}

TEST(Placement, UsesBestFitAndAvoidsGpuMachines) {
    ClusterFixture w;
    auto gpu = w.add_machine("gpu", "gpu");
    auto empty = w.add_machine("empty"), partly_used = w.add_machine("partly_used");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 5), {partly_used});
    auto small = w.add_job(w.job_spec("req-2", JobKind::Array, 2, 3));
    auto needs_gpu = w.add_job(w.job_spec("req-3", JobKind::Array, 1, 1, 1, Priority::Low));
    auto placed = place_waiting_jobs(w.cluster, any_machine, w.now);
    EXPECT_EQ(placed,
              (std::vector<Placement>{
                  {small, 0, partly_used, 1}, {small, 1, empty, 1}, {needs_gpu, 0, gpu, 1}}));
}

TEST(Placement, PrefersMachineWithCachedImage) {
    ClusterFixture w;
    w.add_machine("m0");
    auto m1 = w.add_machine("m1");
    auto job = w.add_job(w.job_spec("req-1", JobKind::Array, 1, 3));
    w.cluster.machines[m1]->cached_images = {w.cluster.jobs[job]->spec.image};
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now)[0].machine, m1);
}

// Returns a random cluster with jobs. With `few_shapes`, many jobs have the same shape, so that
// they share a queue of machines; otherwise hardly any two jobs do.
ClusterFixture random_cluster(unsigned seed, bool few_shapes = false) {
    std::mt19937 random(seed);
    auto random_below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
    ClusterFixture w;
    auto& names = w.cluster.names;
    std::vector<Index> machines;
    for (uint32_t i = 0, n = 5 + random_below(60); i < n; ++i) {
        machines.push_back(w.add_machine("m" + std::to_string(i), random_below(3) ? "std" : "gpu",
                                         random_below(2) ? "a" : "b", random_below(3) == 0));
        auto& machine = *w.cluster.machines[machines.back()];
        for (uint32_t k = random_below(3); k > 0; --k)
            machine.cached_images.push_back(
                names.images.intern("i" + std::to_string(random_below(4))));
        machine.up = random_below(10) > 0;
        machine.last_heartbeat = w.now - 0.5 * random_below(8);
    }
    std::vector<Index> waiting;
    for (uint32_t n = 1; n <= 30; ++n) {
        auto kind = random_below(3) ? JobKind::Array : JobKind::Gang;
        auto spec =
            w.job_spec("req-" + std::to_string(n), kind, 1 + random_below(12),
                       0.5 * (1 + random_below(few_shapes ? 2 : 9)), random_below(3) ? 0 : 1,
                       static_cast<Priority>(random_below(4)), random_below(4) ? "blue" : "red");
        spec.demand.mem = 1000 * (1 + random_below(few_shapes ? 1 : 12));
        spec.image = names.images.intern("i" + std::to_string(random_below(few_shapes ? 2 : 4)));
        spec.image_gb = random_below(2);
        spec.spot = few_shapes || random_below(2);
        spec.one_zone = kind == JobKind::Gang && random_below(2);
        spec.spread = !spec.one_zone && random_below(5) == 0;
        if (random_below(6) == 0) spec.zone = names.zones.find("b");
        if (random_below(6) == 0) spec.types = {names.types.find("gpu")};
        auto job_index = w.add_job(spec);
        auto& job = *w.cluster.jobs[job_index];
        if (random_below(4) == 0) job.failed_machines = {machines[random_below(machines.size())]};
        if (kind == JobKind::Array && !spec.spread && random_below(2)) {
            auto i = machines[random_below(machines.size())];
            if (w.cluster.machine_allowed(job.spec, *w.cluster.machines[i]) &&
                job.spec.demand.fits_in(w.cluster.machines[i]->free_resources()) &&
                w.cluster.within_limit(w.cluster.teams[job.spec.team], job.spec.demand))
                w.cluster.place(job_index, 0, i, 1, w.now);
        }
        waiting.push_back(job_index);
    }
    for (int k = 0; k < 3; ++k) {
        auto& machine = *w.cluster.machines[machines[random_below(machines.size())]];
        machine.reserved_for = waiting[random_below(waiting.size())];
        machine.reserved_until = w.now + 5;
    }
    // On average, half of the teams have no CPU limit.
    for (auto& team : w.cluster.teams) team.limit.cpu = random_below(2) ? team.limit.cpu : 0;
    return w;
}

TEST(Placement, MatchesReferenceImplementation) {
    size_t placed = 0;
    for (unsigned seed = 1; seed <= 600; ++seed) {
        auto actual = random_cluster(seed, seed % 2), expected = random_cluster(seed, seed % 2);
        // The reference does not hold back shares of team limits; TeamLimitReservations tests cover
        // these.
        for (auto* w : {&actual, &expected}) w->cluster.teams[0].limit = {};
        auto placements = place_waiting_jobs(actual.cluster, any_machine, actual.now);
        test::ReferencePlacement reference{expected.cluster, any_machine, expected.now, {}};
        EXPECT_TRUE(placements == reference.run()) << "seed " << seed;
        placed += placements.size();
    }
    EXPECT_GT(placed, 10000u);
}

TEST(JobOrder, RanksGuaranteesThenStartDeadlines) {
    ClusterFixture w;
    // Team red has a guarantee of 16 CPUs: req-1 is within it, but req-1 and req-2 together are
    // not.
    auto small = w.add_job(w.job_spec("req-1", JobKind::Array, 4, 2, 0, Priority::Low, "red"));
    auto above_guarantee =
        w.add_job(w.job_spec("req-2", JobKind::Array, 8, 2, 0, Priority::Low, "red"));
    auto high = w.add_job(w.job_spec("req-3", JobKind::Array, 1, 1, 0, Priority::High, "blue"));
    EXPECT_TRUE(w.cluster.jobs[small]->guaranteed);
    EXPECT_FALSE(w.cluster.jobs[above_guarantee]->guaranteed);
    EXPECT_EQ(waiting_jobs(w.cluster, w.now), (std::vector<Index>{small, high, above_guarantee}));
    // Both jobs should start within 30 s. One has missed that already and no longer goes before the
    // other.
    ClusterFixture world;
    world.cluster.classes.resize(world.cluster.names.classes.intern("class") + 1);
    world.cluster.classes.back().start_within_s = 30;
    world.cluster.classes.back().finish_within_s = {250};
    auto missed = world.add_job(world.job_spec("req-1", JobKind::Array, 1, 1));
    world.now += 40;
    auto recent = world.add_job(world.job_spec("req-2", JobKind::Array, 1, 1));
    EXPECT_EQ(waiting_jobs(world.cluster, world.now), (std::vector<Index>{recent, missed}));
}

TEST(Placement, PrefersEqualJobWithCachedImage) {
    ClusterFixture w;
    auto machine = w.add_machine("m0");
    auto other = w.job_spec("req-1", JobKind::Array, 1, 5),
         cached = w.job_spec("req-2", JobKind::Array, 1, 5);
    other.image = w.cluster.names.images.intern("other");
    other.image_gb = cached.image_gb = 4;
    w.add_job(other);
    auto job = w.add_job(cached);
    w.cluster.machines[machine]->cached_images = {cached.image};
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now),
              (std::vector<Placement>{{job, 0, machine, 1}}));
}

TEST(Placement, HoldsPartialCapacityForHigherPriority) {
    // If each CPU that a task releases goes to a waiting 1-CPU task at once, 2-CPU tasks of higher
    // priority never find two free CPUs on one machine.
    struct Row {
        const char* description;
        double cpus;
        Priority priority;
        uint32_t small_placed;  // of three 1-CPU tasks; the machines have 1, 1 and 3 free CPUs of 8
    };
    const Row rows[] = {
        {"higher: the machine that lacks the fewest CPUs is held", 2, Priority::High, 2},
        {"equal: nothing is held", 2, Priority::Normal, 3},
        {"lower: nothing is held", 2, Priority::Low, 3},
        {"more than half a machine: nothing is held, as preemption serves it", 5, Priority::High,
         3},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        std::vector<Index> machines;
        for (double free_cpus : {1.0, 1.0, 3.0}) {
            machines.push_back(w.add_machine("m" + std::to_string(machines.size())));
            w.add_running_job(w.job_spec("req-9" + std::to_string(machines.size()), JobKind::Array,
                                         1, 8 - free_cpus),
                              {machines.back()});
        }
        auto large = w.add_job(w.job_spec("req-1", JobKind::Array, 2, row.cpus, 0, row.priority));
        auto small = w.add_job(w.job_spec("req-2", JobKind::Array, 3, 1));
        w.cluster.jobs[small]->submitted_wall = 1;
        place_waiting_jobs(w.cluster, any_machine, w.now);
        if (row.priority == Priority::High && row.cpus == 2) {
            EXPECT_EQ(w.cluster.jobs[large]->placed, 1u);
        }
        EXPECT_EQ(w.cluster.jobs[small]->placed, row.small_placed) << row.description;
    }
}

TEST(TeamLimitReservations, HoldsNoMoreThanMachinesCanProvide) {
    // If the whole rest of a team's limit were held for its large jobs while machines for them are
    // missing, the team's small tasks would wait for minutes beside idle machines.
    struct Row {
        const char* description;
        int machines;
        size_t small_placed;
    };
    // Team red may use 32 CPUs. Each of its two gangs takes 14 CPUs on two machines of 8 CPUs; one
    // gang is running.
    const Row rows[] = {{"four machines have capacity for both gangs: their share is held", 4, 4},
                        {"three machines have not: the rest of the limit is free", 3, 8}};
    for (auto& row : rows) {
        ClusterFixture w;
        std::vector<Index> machines;
        for (int i = 0; i < row.machines; ++i)
            machines.push_back(w.add_machine("m" + std::to_string(i)));
        w.add_running_job(w.job_spec("req-1", JobKind::Gang, 2, 7, 0, Priority::High, "red"),
                          {machines[0], machines[1]});
        w.add_running_job(w.job_spec("req-2", JobKind::Array, 1, 2, 0, Priority::High, "blue"),
                          {machines[2]});
        w.add_job(w.job_spec("req-3", JobKind::Gang, 2, 7, 0, Priority::High, "red"));
        auto small = w.add_job(w.job_spec("req-4", JobKind::Array, 20, 1, 0, Priority::Low, "red"));
        place_waiting_jobs(w.cluster, any_machine, w.now);
        EXPECT_EQ(w.cluster.jobs[small]->placed, row.small_placed) << row.description;
    }
}

TEST(Autoscaler, RequestsNothingInSilentZones) {
    // Machines requested in a zone that is partitioned off cost money but cannot be reached.
    ClusterFixture w;
    for (int i = 0; i < 6; ++i) {
        auto& machine =
            *w.cluster.machines[w.add_machine("m" + std::to_string(i), "std", i < 3 ? "a" : "b")];
        machine.status = MachineStatus::Running;
        machine.up = i >= 3;
    }
    auto spec = w.job_spec("req-1", JobKind::Array, 40, 8);
    spec.estimate_s = 100;
    w.add_job(spec);
    auto requests = plan_scale_out(w.cluster, any_machine, {0.3, 1}, w.now);
    ASSERT_FALSE(requests.empty());
    for (auto& request : requests) EXPECT_EQ(w.cluster.names.zones.name(request.zone), "b");
}

TEST(Autoscaler, KeepsIdleMachinesOnlyForWaitingGangs) {
    // A waiting job other than a gang is held back by something else, such as its team's limit, and
    // must not keep idle machines.
    struct Row {
        JobKind kind;
        size_t terminated;
    };
    for (auto& row : {Row{JobKind::Gang, 0}, Row{JobKind::Array, 1}}) {
        ClusterFixture w;
        w.add_machine("m0");
        w.add_job(w.job_spec("req-1", row.kind, 2, 7));
        EXPECT_EQ(plan_scale_in(w.cluster, {0.3, 1}, w.now + 200).size(), row.terminated);
    }
}

TEST(Placement, RespectsTypeZoneAndMarket) {
    struct Row {
        const char* description;
        const char *type, *zone;
        bool spot;
        size_t placed;
    };
    const Row rows[] = {{"as requested", "std", "a", false, 1},
                        {"other type", "gpu", "a", false, 0},
                        {"other zone", "std", "b", false, 0},
                        {"spot", "std", "a", true, 0}};
    for (auto& row : rows) {
        ClusterFixture w;
        w.add_machine("m0", row.type, row.zone, row.spot);
        auto spec = w.job_spec("req-1", JobKind::Array, 1, 1);
        spec.types = {w.cluster.names.types.find("std")};
        spec.zone = w.cluster.names.zones.find("a");
        spec.spot = false;
        w.add_job(spec);
        EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now).size(), row.placed)
            << row.description;
    }
}

TEST(Placement, PlacesGangsAtomicallyInOneZone) {
    ClusterFixture w;
    w.add_machine("a0", "std", "a");
    auto b0 = w.add_machine("b0", "std", "b"), b1 = w.add_machine("b1", "std", "b");
    auto spec = w.job_spec("req-1", JobKind::Gang, 2, 7);
    spec.one_zone = true;
    auto job = w.add_job(spec);
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now),
              (std::vector<Placement>{{job, 0, b0, 1}, {job, 1, b1, 1}}));
    spec.id = "req-2";
    w.add_job(spec);
    EXPECT_TRUE(place_waiting_jobs(w.cluster, any_machine, w.now).empty());
}

TEST(Placement, GangWaitsForTasksOfItsPreviousAttempt) {
    // A task of the previous attempt that is still on its machine must not be started twice.
    ClusterFixture w;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    w.add_machine("m2");
    auto job = w.add_running_job(w.job_spec("req-1", JobKind::Gang, 2, 4), {m0, m1});
    w.cluster.jobs[job]->gang_attempt = 1;
    w.cluster.unassign(job, 0, w.now);
    EXPECT_TRUE(place_waiting_jobs(w.cluster, any_machine, w.now).empty());
    w.cluster.unassign(job, 1, w.now);
    auto placed = place_waiting_jobs(w.cluster, any_machine, w.now);
    ASSERT_EQ(placed.size(), 2u);
    EXPECT_EQ(placed[0].attempt, 2u);
}

TEST(Placement, PlacesAtMostHalfOfSpreadJobInOneZone) {
    ClusterFixture w;
    w.add_machine("a0", "std", "a");
    auto spec = w.job_spec("req-1", JobKind::Array, 5, 1);
    spec.spread = true;
    auto job = w.add_job(spec);
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now).size(), 3u);
    w.add_machine("b0", "std", "b");
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now).size(), 2u);
    EXPECT_EQ(w.cluster.jobs[job]->placed, 5u);
}

TEST(Placement, OneZoneJobWaitsWhileAZoneIsUnknown) {
    // After a change of leader, a task may be on a machine whose zone is not known yet.
    ClusterFixture w;
    w.add_machine("m0");
    auto spec = w.job_spec("req-1", JobKind::Array, 2, 1);
    spec.one_zone = true;
    auto job = w.add_job(spec);
    w.cluster.restore_placement(job, 0, w.cluster.add_machine("unknown", w.now), 1, 1);
    EXPECT_TRUE(place_waiting_jobs(w.cluster, any_machine, w.now).empty());
}

TEST(Quota, CountsTasksUntilTheyHaveEnded) {
    ClusterFixture w;
    for (int i = 0; i < 6; ++i) w.add_machine("m" + std::to_string(i));
    auto job = w.add_job(w.job_spec("req-1", JobKind::Array, 6, 8, 0, Priority::Normal, "red"));
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now).size(),
              4u);  // the limit is 32 CPUs
    // A task that is being stopped counts until it has ended.
    w.cluster.jobs[job]->tasks[0].stopping = true;
    EXPECT_TRUE(place_waiting_jobs(w.cluster, any_machine, w.now).empty());
    w.cluster.finish(job, 0, w.now);
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now).size(), 1u);
    EXPECT_EQ(w.cluster.teams[0].used, (Resources{32000, 0, 4000}));
}

TEST(TeamLimitReservations, KeepsShareForLargeHigherPriorityJob) {
    // If a small task takes the place of each one that ends, the team's limit never has enough left
    // for a large job.
    ClusterFixture w;
    for (int i = 0; i < 6; ++i) w.add_machine("m" + std::to_string(i));
    auto small = w.add_job(w.job_spec("req-1", JobKind::Array, 40, 1, 0, Priority::Low, "red"));
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now).size(), 32u);
    auto large = w.add_job(w.job_spec("req-2", JobKind::Array, 1, 7, 0, Priority::High, "red"));
    for (uint32_t t = 0; t < 6; ++t) w.cluster.finish(small, t, w.now);
    EXPECT_TRUE(place_waiting_jobs(w.cluster, any_machine, w.now).empty());
    w.cluster.finish(small, 6, w.now);
    EXPECT_EQ(place_waiting_jobs(w.cluster, any_machine, w.now)[0].job, large);
}

TEST(Placement, CpuTasksLeaveCpusForFreeGpus) {
    // Otherwise GPU machines, at their high price, fill up with CPU tasks while GPU jobs wait.
    ClusterFixture w;
    w.add_machine("gpu", "gpu");  // 8 CPUs, 4 GPUs
    auto cpu_job = w.add_job(w.job_spec("req-2", JobKind::Array, 8, 1, 0, Priority::High));
    auto gpu_job = w.add_job(w.job_spec("req-1", JobKind::Array, 2, 1.5, 1, Priority::Low));
    place_waiting_jobs(w.cluster, any_machine, w.now);
    // On an otherwise empty GPU machine, CPU tasks would prevent its termination.
    EXPECT_EQ(w.cluster.jobs[cpu_job]->placed, 0u);
    EXPECT_EQ(w.cluster.jobs[gpu_job]->placed, 2u);
    place_waiting_jobs(w.cluster, any_machine, w.now);
    EXPECT_EQ(w.cluster.jobs[cpu_job]->placed, 2u);  // the two free GPUs need 3 CPUs
}

TEST(JobOrder, RanksGuaranteePriorityAndDeadline) {
    ClusterFixture w;
    auto no_deadline = w.add_job(w.job_spec("req-1", JobKind::Array, 1, 1, 0, Priority::Low));
    auto deadline_spec = w.job_spec("req-2", JobKind::Array, 1, 1, 0, Priority::Low);
    deadline_spec.deadline_s = 50;
    auto deadline = w.add_job(deadline_spec);
    auto guaranteed = w.add_job(w.job_spec("req-3", JobKind::Array, 1, 1, 0, Priority::Low, "red"));
    auto high = w.add_job(w.job_spec("req-4", JobKind::Array, 1, 1, 0, Priority::High));
    EXPECT_EQ(waiting_jobs(w.cluster, w.now),
              (std::vector<Index>{guaranteed, high, deadline, no_deadline}));
}

TEST(Autoscaler, RequestsOnlyMissingCapacity) {
    ClusterFixture w;
    auto std_type = w.cluster.names.types.find("std");
    auto zone_a = w.cluster.names.zones.find("a"), zone_b = w.cluster.names.zones.find("b");
    auto spec = w.job_spec("req-1", JobKind::Array, 17, 1);
    spec.estimate_s = 300;
    spec.deadline_s = 330;  // too early for tasks to run one after another
    w.add_job(spec);
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_a, true, 3}}));
    // A booting machine counts, whether the cloud's list includes it or not.
    auto& machine = *w.cluster.machines[w.add_machine("m0", "std", "a", true)];
    machine.up = false;
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_a, true, 2}}));
    // If the cloud refuses the cheapest offer, the next one is requested.
    w.cluster.capacity_refusals.push_back({w.now + 10, {std_type, zone_a, true}});
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_b, true, 2}}));
}

TEST(Autoscaler, OneZoneJobLeavesFullZone) {
    // The job must not queue for the only machine of zone a, where the cloud refuses more machines,
    // while zone b is empty.
    ClusterFixture w;
    auto std_type = w.cluster.names.types.find("std");
    auto zone_a = w.cluster.names.zones.find("a"), zone_b = w.cluster.names.zones.find("b");
    auto machine = w.add_machine("m0");
    auto spec = w.job_spec("req-1", JobKind::Gang, 1, 7);
    spec.one_zone = true;
    spec.spot = false;
    spec.types = {std_type};
    spec.estimate_s = 300;
    w.add_running_job(spec, {machine});
    spec.id = "req-2";
    w.add_job(spec);
    w.cluster.capacity_refusals.push_back({w.now + 10, {std_type, zone_a, false}});
    EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now),
              (std::vector<ScaleOutRequest>{{std_type, zone_b, false, 1}}));
}

TEST(Autoscaler, DoesNotRequestBootingMachinesAgain) {
    // If a booting machine were expected to be up later than a new one, each pass would request the
    // same machine again.
    ClusterFixture w;
    auto spec = w.job_spec("req-1", JobKind::Array, 1, 8);
    spec.deadline_s = 1;
    w.add_job(spec);
    ASSERT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now).size(), 1u);
    auto& machine = *w.cluster.machines[w.add_machine("m0", "std", "a", true)];
    machine.up = false;
    machine.requested_at = w.now;
    for (double later : {0.0, 0.5, 10.0, 29.0, 40.0})
        EXPECT_TRUE(plan_scale_out(w.cluster, any_machine, {}, w.now + later).empty()) << later;
}

TEST(Autoscaler, WaitsForCapacityReleasedBeforeABoot) {
    struct Row {
        const char* description;
        double highest_price;  // of the gpu type; the std type costs 1
        double estimate_s;     // of the running task
        double deadline_s;     // of the waiting job
        size_t requests;
        double ran_s = 0;  // since the running task started
    };
    // A std machine boots in 30 s.
    const Row rows[] = {
        {"capacity is free before a boot", 1, 20, 60, 0},
        {"capacity is free after a boot", 1, 60, 60, 1},
        {"job has slack", 1, 60, 600, 0},
        // On a fleet that is always busy, tasks must not wait as long as a boot for each other's
        // resources when new machines are cheap.
        {"cheap offer: capacity is free shortly before a boot", 10, 20, 60, 1},
        {"cheap offer: capacity is free long before a boot", 10, 10, 60, 0},
        {"cheap offer: job has slack", 10, 60, 600, 0},
        {"running task slightly overdue", 1, 20, 60, 0, 30},
        // An overdue task must not be expected to end at once for as long as it runs.
        {"running task far overdue", 1, 20, 60, 1, 400},
    };
    for (auto& row : rows) {
        ClusterFixture w;
        auto types = std::vector<MachineType>{w.cluster.types[0].type, w.cluster.types[1].type};
        types[1].price = row.highest_price;
        w.cluster.set_types(types);
        auto machine_index = w.add_machine("m0");
        auto spec = w.job_spec("req-1", JobKind::Array, 1, 8);
        spec.estimate_s = row.estimate_s;
        auto job = w.add_running_job(spec, {machine_index});
        w.cluster.jobs[job]->tasks[0].running_at = static_cast<float>(w.now);
        w.now += row.ran_s;
        spec.id = "req-2";
        spec.deadline_s = row.deadline_s;
        w.add_job(spec);
        EXPECT_EQ(plan_scale_out(w.cluster, any_machine, {}, w.now).size(), row.requests)
            << row.description;
        // A booting machine is not requested again.
        auto booting = w.cluster.add_machine("m1", w.now);
        w.cluster.describe_machine(*w.cluster.machines[booting], "std", "a", false);
        EXPECT_TRUE(plan_scale_out(
                        w.cluster, [&](auto& machine) { return machine.up; }, {}, w.now)
                        .empty())
            << row.description;
    }
}

TEST(Autoscaler, KeepsHeadroomForShortStartObjectives) {
    ClusterFixture w;
    auto spec = w.job_spec("req-1", JobKind::Gang, 2, 7);
    w.cluster.classes.resize(spec.job_class + 1);
    w.cluster.classes[spec.job_class].start_within_s = 15;
    auto m0 = w.add_machine("m0"), m1 = w.add_machine("m1");
    w.add_running_job(spec, {m0, m1});
    // Both machines are in use: machines for another job of two tasks are requested before one
    // arrives.
    int requested_machines = 0;
    for (auto& request : plan_scale_out(w.cluster, any_machine, {}, w.now))
        requested_machines += request.count;
    EXPECT_EQ(requested_machines, 2);
    // Idle machines are kept as headroom until no such job has arrived for a while.
    w.add_machine("m2");
    w.add_machine("m3");
    w.now += 100;
    EXPECT_TRUE(plan_scale_out(w.cluster, any_machine, {}, w.now).empty());
    EXPECT_TRUE(plan_scale_in(w.cluster, {0.3, 1}, w.now).empty());
    w.now += 100;
    EXPECT_EQ(plan_scale_in(w.cluster, {0.3, 1}, w.now).size(), 2u);
}

TEST(Autoscaler, TerminatesIdleAndAbandonedMachines) {
    ClusterFixture w;
    auto idle = w.add_machine("idle"), busy = w.add_machine("busy"),
         abandoned = w.add_machine("abandoned"), recently_up = w.add_machine("recently_up");
    w.add_running_job(w.job_spec("req-1", JobKind::Array, 1, 1), {busy});
    w.cluster.machines[abandoned]->abandoned = true;
    w.now += 61;
    w.cluster.machines[recently_up]->up_at = w.now;
    EXPECT_EQ(plan_scale_in(w.cluster, {1.0, 1}, w.now), (std::vector<Index>{idle, abandoned}));
}

TEST(Preemption, UnservableJobSkipsOnlyEqualOrLargerJobs) {
    struct Row {
        const char* description;
        uint32_t tasks;
        double cpus;
        Priority priority;
        const char* team;
        size_t evicted;
    };
    // Three machines run tasks of low priority. A gang of four tasks, which needs one machine more,
    // is considered before the second job.
    const Row rows[] = {
        {"same demand", 4, 8, Priority::Normal, "blue", 0},
        {"fewer tasks", 3, 8, Priority::Normal, "blue", 3},
        {"more tasks", 5, 8, Priority::Normal, "blue", 0},
        {"smaller tasks, two per machine", 4, 4, Priority::Normal, "blue", 2},
        {"priority too low to preempt", 3, 8, Priority::Low, "blue", 0},
        {"another team", 2, 8, Priority::Normal, "red", 2},
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
        size_t evicted = 0;
        for (auto& eviction : round.evictions)
            if (eviction.job == second) evicted = eviction.machines.size();
        EXPECT_EQ(evicted, row.evicted) << row.description;
    }
}

TEST(Autoscaler, PlanDoesNotDependOnIndexCacheSize) {
    // An index that is kept between jobs must reflect every change that the plan of a job
    // makes. Checked on random clusters with few and with many job shapes.
    size_t requests = 0;
    for (unsigned seed = 1; seed <= 150; ++seed) {
        std::mt19937 random(seed);
        auto random_below = [&](size_t n) { return static_cast<uint32_t>(random() % n); };
        ClusterFixture w;
        for (uint32_t i = 0, n = 10 + random_below(80); i < n; ++i) {
            auto& machine = *w.cluster.machines[w.add_machine(
                "vm-" + std::to_string(i), random_below(3) ? "std" : "gpu",
                random_below(2) ? "a" : "b", random_below(3) == 0)];
            machine.up = random_below(4) > 0;
            machine.status = machine.up ? MachineStatus::Running : MachineStatus::Booting;
            machine.requested_at = w.now - random_below(30);
        }
        uint32_t jobs = 5 + random_below(40), shapes = random_below(2) ? 3 : 30;
        for (uint32_t j = 0; j < jobs; ++j) {
            uint32_t shape = random_below(shapes);
            auto spec = w.job_spec("req-" + std::to_string(j),
                                   random_below(2) ? JobKind::Gang : JobKind::Array,
                                   1 + random_below(20), 1 + 0.2 * shape, shape % 3 == 0 ? 1 : 0,
                                   static_cast<Priority>(random_below(4)));
            spec.spot = shape % 2;
            spec.one_zone = random_below(3) == 0;
            spec.spread = !spec.one_zone && random_below(4) == 0;
            spec.estimate_s = 10 + random_below(90);
            spec.deadline_s = random_below(2) ? -1 : random_below(200);
            if (random_below(5) == 0) spec.zone = w.cluster.names.zones.find("b");
            w.add_job(std::move(spec));
            if (j == jobs / 2) place_waiting_jobs(w.cluster, test::any_machine, w.now, 1000);
        }
        auto expected = plan_scale_out(w.cluster, test::any_machine, {0.3, 2, 8}, w.now);
        for (size_t max_shapes : {0, 1, 2})
            EXPECT_EQ(plan_scale_out(w.cluster, test::any_machine, {0.3, 2, max_shapes}, w.now),
                      expected)
                << "seed " << seed << ", max_shapes " << max_shapes;
        requests += expected.size();
    }
    EXPECT_GT(requests, 150u);
}

}  // namespace
}  // namespace weirmill
