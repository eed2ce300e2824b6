// Measures the cost of the leader's decisions, and of loading the state log, at the size of large
// sites.
//
//   pass_bench
//       Measures times with Google Benchmark.
//   pass_bench count DECISION MACHINES [JOBS]
//   pass_bench count load TASKS
//       Makes one decision, or loads one log, so that a profiler can count its instructions
//       (docs/measurements.md), for example
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

constexpr double kNow_s = 100;

Settings large_site_settings() {
    Settings settings;
    settings.zones = {"a"};
    settings.teams = {{"red", 0, 0, 0, 0}};
    settings.heartbeat_interval_s = 8;
    settings.mem_mb = 2000;
    settings.value_kb = 4;
    settings.txn_ops = 12;
    return settings;
}

bool is_up(const Machine& machine) { return machine.up; }

// A cluster whose machines are mostly full and which has waiting jobs. By default it has one job
// for every five machines; the first 5/8 of the jobs are placed before the measurement.
struct BusyCluster {
    Settings settings = large_site_settings();
    ClusterState cluster{settings};
    std::mt19937 random{7};

    // Creates `jobs` jobs, or machines / 5 if `jobs` is 0.
    explicit BusyCluster(size_t machines, size_t jobs = 0) {
        if (jobs == 0) jobs = machines / 5;
        MachineType cpu_type{"cpu", {16000, 0, 64000}, 25, 0.6, 1.15, 0.43, 15, {"a"}};
        MachineType gpu_type{"gpu", {12000, 2000, 72000}, 150, 0.4, 5.91, 1.98, 25, {"a"}};
        cluster.set_types({cpu_type, gpu_type});
        for (size_t i = 0; i < machines; ++i) {
            auto& machine =
                *cluster.machines[cluster.add_machine("vm-" + std::to_string(i), kNow_s)];
            cluster.describe_machine(machine, i % 2 ? "gpu" : "cpu", "a", i % 8 == 1);
            machine.up = true;
            machine.agent_epoch = 1;
            machine.up_at = machine.last_heartbeat = kNow_s;
        }
        for (size_t j = 0; j < jobs; ++j) {
            JobSpec spec;
            bool gang = j % 2;
            spec.id = "req-" + std::to_string(j);
            spec.kind = gang ? JobKind::Gang : JobKind::Array;
            spec.priority = gang ? Priority::High : Priority::Low;
            spec.tasks = gang ? 4 + random() % 20 : 5 + random() % 30;
            spec.demand = gang ? Resources{15000, 0, 51000} : Resources{5000, 1000, 27000};
            spec.team = 0;
            spec.job_class = cluster.names.classes.intern(gang ? "gang" : "array");
            spec.image = cluster.names.images.intern("image-" + std::to_string(random() % 16));
            spec.image_gb = 4;
            spec.estimate_s = 80;
            spec.deadline_s = gang ? -1 : 200;
            spec.spot = !gang;
            spec.one_zone = gang;
            auto index = cluster.add_job(std::move(spec), 1000, kNow_s);
            cluster.jobs[index]->record_revision = 1;
            if (j == jobs * 5 / 8 - 1) place_waiting_jobs(cluster, is_up, kNow_s, 100000);
        }
    }
};

// The segments of a state log with jobs of 50 placed tasks each.
struct StoredLog {
    Settings settings = large_site_settings();
    std::vector<KvItem> segments;

    explicit StoredLog(size_t tasks) {
        ClusterState cluster(settings);
        StateLog state_log(cluster, 41, {settings.txn_ops, settings.value_kb});
        std::map<std::string, std::string> store;
        for (size_t j = 0; j < tasks / 50; ++j) {
            JobSpec spec;
            spec.id = "req-" + std::to_string(j);
            spec.tasks = 50;
            spec.demand = {1000, 0, 3000};
            spec.team = 0;
            spec.job_class = cluster.names.classes.intern("array");
            spec.image = cluster.names.images.intern("image");
            auto index = cluster.add_job(std::move(spec), 1000, kNow_s);
            state_log.queue_new_job(index);
            cluster.jobs[index]->record_revision = 1;
            for (uint32_t t = 0; t < 50; ++t) {
                auto machine =
                    cluster.add_machine("vm-" + std::to_string((j * 50 + t) / 16), kNow_s);
                cluster.place(index, t, machine, 1, kNow_s);
            }
        }
        for (uint64_t revision = 50; state_log.has_work(); ++revision) {
            auto batch = state_log.next_batch(settings.txn_ops);
            if (batch.empty()) break;
            for (auto& change : batch.txn.changes) store[change.key] = change.value;
            state_log.committed(batch, revision);
        }
        for (auto& [key, value] : store)
            if (key.starts_with(kSegmentPrefix))
                segments.push_back({key, boost::json::parse(value), 50, 0});
    }
};

// Loads the segments into an empty cluster and returns the number of its tasks.
size_t load_log(const StoredLog& log) {
    ClusterState cluster(log.settings);
    StateLog state_log(cluster, 42, {log.settings.txn_ops, log.settings.value_kb});
    for (auto& segment : log.segments) state_log.load_segment(segment, kNow_s);
    state_log.finish_loading(kNow_s);
    return cluster.task_count;
}

struct Decision {
    const char* name;
    size_t (*decide)(ClusterState&);
};
const Decision kDecisions[] = {
    {"place",
     [](ClusterState& cluster) { return place_waiting_jobs(cluster, is_up, kNow_s).size(); }},
    {"rent",
     [](ClusterState& cluster) { return plan_scale_out(cluster, is_up, {0.3, 8}, kNow_s).size(); }},
    {"rent_distinct",  // Without cached indexes, as if each job had its own task size.
     [](ClusterState& cluster) {
         return plan_scale_out(cluster, is_up, {0.3, 8, 0}, kNow_s).size();
     }},
    {"preempt",
     [](ClusterState& cluster) {
         return plan_preemption(cluster, is_up, kNow_s).evictions.size();
     }},
    {"close",
     [](ClusterState& cluster) { return size_t{plan_drain(cluster, is_up, kNow_s) != kNone}; }},
    {"forecast",
     [](ClusterState& cluster) {
         OverloadForecast forecast;
         forecast.observe(cluster, kNow_s);
         return forecast.queues().size();
     }},
    {"return",
     [](ClusterState& cluster) { return plan_scale_in(cluster, {0.3, 8}, kNow_s).size(); }},
};

// Makes one decision on a cluster of `size` machines, or loads a log of `size` tasks, and prints
// what came of it. Returns the exit code.
int run_once(const std::string& what, size_t size, size_t jobs) {
    if (what == "load") {
        StoredLog log(size);
        std::cout << what << ": " << load_log(log) << " tasks in " << log.segments.size()
                  << " segments\n";
        return 0;
    }
    for (auto& decision : kDecisions) {
        if (what != decision.name) continue;
        BusyCluster busy(size, jobs);
        size_t waiting = waiting_jobs(busy.cluster, kNow_s).size();
        std::cout << what << ": " << decision.decide(busy.cluster) << " decided, " << waiting
                  << " jobs waiting\n";
        return 0;
    }
    std::cerr << "pass_bench: no decision named " << what << "\n";
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    if ((argc == 4 || argc == 5) && std::string(argv[1]) == "count")
        return run_once(argv[2], std::stoul(argv[3]), argc == 5 ? std::stoul(argv[4]) : 0);
    for (auto& decision : kDecisions)
        benchmark::RegisterBenchmark(
            decision.name,
            [&decision](benchmark::State& state) {
                auto machines = static_cast<size_t>(state.range(0));
                for (auto _ : state) {
                    state.PauseTiming();
                    auto busy = std::make_unique<BusyCluster>(machines);
                    state.ResumeTiming();
                    benchmark::DoNotOptimize(decision.decide(busy->cluster));
                    state.PauseTiming();
                    busy.reset();
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
                                     StoredLog log(static_cast<size_t>(state.range(0)));
                                     for (auto _ : state) benchmark::DoNotOptimize(load_log(log));
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
