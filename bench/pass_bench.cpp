// The cost of the leader's decisions, and of its start from the log, at the size of large sites.
//
//   pass_bench
//       times, on google-benchmark
//   pass_bench count WHAT MACHINES [JOBS]
//       one decision alone, for instruction counts (docs/measurements.md), for instance under
//       valgrind --tool=callgrind --toggle-collect='weirmill::place_waiting_jobs*'
#include <benchmark/benchmark.h>

#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include "autoscaler/autoscaler.h"
#include "scheduler/overload_forecast.h"
#include "scheduler/placement.h"
#include "scheduler/preemption.h"
#include "state/state_log.h"

using namespace weirmill;

namespace {

constexpr double kNow = 100;

Settings large_site() {
    Settings s;
    s.zones = {"a"};
    s.teams = {{"red", 0, 0, 0, 0}};
    s.heartbeat_interval_s = 8;
    s.mem_mb = 2000;
    s.value_kb = 4;
    s.txn_ops = 12;
    return s;
}

bool up(const Machine& m) { return m.up; }

// Machines that are mostly full, and jobs that wait: 2 for each 10 machines, of which 5 in 8 are
// placed first.
struct Site {
    Settings settings = large_site();
    ClusterState cluster{settings};
    std::mt19937 random{7};

    // `jobs`: 0 for as many as there are fifths of machines.
    explicit Site(size_t machines, size_t jobs = 0) {
        if (jobs == 0) jobs = machines / 5;
        MachineType cpu{"cpu", {16000, 0, 64000}, 25, 0.6, 1.15, 0.43, 15, {"a"}};
        MachineType gpu{"gpu", {12000, 2000, 72000}, 150, 0.4, 5.91, 1.98, 25, {"a"}};
        cluster.set_types({cpu, gpu});
        for (size_t i = 0; i < machines; ++i) {
            auto& m = *cluster.machines[cluster.add_machine("vm-" + std::to_string(i), kNow)];
            cluster.describe_machine(m, i % 2 ? "gpu" : "cpu", "a", i % 8 == 1);
            m.up = true;
            m.agent_epoch = 1;
            m.up_at = m.last_heartbeat = kNow;
        }
        for (size_t j = 0; j < jobs; ++j) {
            JobSpec s;
            bool gang = j % 2;
            s.id = "req-" + std::to_string(j);
            s.kind = gang ? JobKind::Gang : JobKind::Array;
            s.priority = gang ? Priority::High : Priority::Low;
            s.tasks = gang ? 4 + random() % 20 : 5 + random() % 30;
            s.demand = gang ? Resources{15000, 0, 51000} : Resources{5000, 1000, 27000};
            s.team = 0;
            s.job_class = cluster.names.classes.intern(gang ? "gang" : "array");
            s.image = cluster.names.images.intern("image-" + std::to_string(random() % 16));
            s.image_gb = 4;
            s.estimate_s = 80;
            s.deadline_s = gang ? -1 : 200;
            s.spot = !gang;
            s.one_zone = gang;
            auto index = cluster.add_job(std::move(s), 1000, kNow);
            cluster.jobs[index]->record_revision = 1;
            if (j == jobs * 5 / 8 - 1) place_waiting_jobs(cluster, up, kNow, 100000);
        }
    }
};

// A log that tells of jobs of 50 tasks each, all placed.
struct Log {
    Settings settings = large_site();
    std::vector<KvItem> segments;

    explicit Log(size_t tasks) {
        ClusterState cluster(settings);
        StateLog state_log(cluster, 41, {settings.txn_ops, settings.value_kb});
        std::map<std::string, std::string> store;
        for (size_t j = 0; j < tasks / 50; ++j) {
            JobSpec s;
            s.id = "req-" + std::to_string(j);
            s.tasks = 50;
            s.demand = {1000, 0, 3000};
            s.team = 0;
            s.job_class = cluster.names.classes.intern("array");
            s.image = cluster.names.images.intern("image");
            auto index = cluster.add_job(std::move(s), 1000, kNow);
            state_log.queue_new_job(index);
            cluster.jobs[index]->record_revision = 1;
            for (uint32_t t = 0; t < 50; ++t) {
                auto machine = cluster.add_machine("vm-" + std::to_string((j * 50 + t) / 16), kNow);
                cluster.place(index, t, machine, 1, kNow);
            }
        }
        for (uint64_t revision = 50; state_log.has_work(); ++revision) {
            auto b = state_log.next_batch(settings.txn_ops);
            if (b.empty()) break;
            for (auto& c : b.txn.changes) store[c.key] = c.value;
            state_log.committed(b, revision);
        }
        for (auto& [key, value] : store)
            if (key.starts_with(kSegmentPrefix))
                segments.push_back({key, boost::json::parse(value), 50, 0});
    }
};

size_t load(const Log& log) {
    ClusterState cluster(log.settings);
    StateLog state_log(cluster, 42, {log.settings.txn_ops, log.settings.value_kb});
    for (auto& s : log.segments) state_log.load_segment(s, kNow);
    state_log.finish_loading(kNow);
    return cluster.task_count;
}

struct Decision {
    const char* name;
    size_t (*decide)(ClusterState&);
};
const Decision kDecisions[] = {
    {"place", [](ClusterState& t) { return place_waiting_jobs(t, up, kNow).size(); }},
    {"rent", [](ClusterState& t) { return plan_scale_out(t, up, {0.3, 8}, kNow).size(); }},
    {"rent_distinct",  // as where every job's tasks are of another size
     [](ClusterState& t) { return plan_scale_out(t, up, {0.3, 8, 0}, kNow).size(); }},
    {"preempt", [](ClusterState& t) { return plan_preemption(t, up, kNow).evictions.size(); }},
    {"close", [](ClusterState& t) { return size_t{plan_drain(t, up, kNow) != kNone}; }},
    {"forecast",
     [](ClusterState& t) {
         OverloadForecast f;
         f.observe(t, kNow);
         return f.queues().size();
     }},
    {"return", [](ClusterState& t) { return plan_scale_in(t, {0.3, 8}, kNow).size(); }},
};

int count(const std::string& what, size_t size, size_t jobs) {
    if (what == "load") {
        Log log(size);
        std::cout << what << ": " << load(log) << " tasks in " << log.segments.size()
                  << " segments\n";
        return 0;
    }
    for (auto& d : kDecisions) {
        if (what != d.name) continue;
        Site site(size, jobs);
        size_t waiting = waiting_jobs(site.cluster, kNow).size();
        std::cout << what << ": " << d.decide(site.cluster) << " decided, " << waiting
                  << " jobs waiting\n";
        return 0;
    }
    std::cerr << "pass_bench: no decision named " << what << "\n";
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    if ((argc == 4 || argc == 5) && std::string(argv[1]) == "count")
        return count(argv[2], std::stoul(argv[3]), argc == 5 ? std::stoul(argv[4]) : 0);
    for (auto& d : kDecisions)
        benchmark::RegisterBenchmark(d.name,
                                     [&d](benchmark::State& state) {
                                         auto machines = static_cast<size_t>(state.range(0));
                                         for (auto _ : state) {
                                             state.PauseTiming();
                                             auto site = std::make_unique<Site>(machines);
                                             state.ResumeTiming();
                                             benchmark::DoNotOptimize(d.decide(site->cluster));
                                             state.PauseTiming();
                                             site.reset();
                                             state.ResumeTiming();
                                         }
                                     })
            ->Arg(2000)
            ->Arg(4000)
            ->Arg(5000)
            ->Arg(10000)
            ->Iterations(3)
            ->Unit(benchmark::kMillisecond);
    benchmark::RegisterBenchmark("load",
                                 [](benchmark::State& state) {
                                     Log log(static_cast<size_t>(state.range(0)));
                                     for (auto _ : state) benchmark::DoNotOptimize(load(log));
                                 })
        ->Arg(10000)
        ->Arg(30000)
        ->Arg(100000)
        ->Iterations(3)
        ->Unit(benchmark::kMillisecond);
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 2;
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
