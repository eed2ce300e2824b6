#include "autoscaler/expected_capacity.h"

#include <algorithm>

#include "autoscaler/autoscaler.h"
#include "autoscaler/machine_eligibility.h"

namespace weirmill {

namespace {

// A machine that a previous leader requested should send its first heartbeat to this leader within
// this time after it has been discovered.
constexpr double kFirstHeartbeat_s = 15;
// A task that is being stopped is assumed to end after this time.
constexpr double kStopDuration_s = 3;
// The minimum remaining run time of a task, as a share of its expected run time, or of the elapsed
// one if that is longer.
constexpr double kMinRemainingRunShare = 0.15;
// The minimum remaining boot time of a machine, as a share of its type's boot time.
constexpr double kMinRemainingBootShare = 0.2;
// A zone is silent if its silent machines outnumber its usable ones by more than this.
constexpr int kMaxSilentExcess = 2;

bool is_booting(const Machine& machine, double now) {
    const bool recently_added = now - machine.added_at < kFirstHeartbeat_s;
    return !machine.up && (machine.status == MachineStatus::Booting || recently_added);
}

double remaining_boot_s(const ClusterState& cluster, const Machine& machine, double now) {
    const double boot_s = cluster.types[machine.type].type.boot_s;
    return std::max(kMinRemainingBootShare * boot_s,
                    machine.requested_at + cluster.boot_factor * boot_s - now);
}

double remaining_task_s(const ClusterState& cluster, const Machine& machine, const JobSpec& spec,
                        const Task& task, double now) {
    if (task.stopping) return kStopDuration_s;
    const double run_s = cluster.expected_run_s(spec);
    if (task.running_at > 0) return remaining_run_s(run_s, now - task.running_at);
    return run_s +
           std::max(0.0, cluster.image_fetch_s(spec, machine.type) - (now - task.placed_at));
}

bool ends_before(const TaskEnd& a, const TaskEnd& b) { return a.in_s < b.in_s; }

// Leaves out services, whose tasks do not end by themselves.
std::vector<TaskEnd> expected_task_ends(const ClusterState& cluster, const Machine& machine,
                                        double now) {
    std::vector<TaskEnd> ends;
    for (const auto& ref : machine.tasks) {
        const auto& job = *cluster.jobs[ref.job];
        if (job.spec.kind == JobKind::Service) continue;
        const double remaining_s =
            remaining_task_s(cluster, machine, job.spec, job.tasks[ref.task], now);
        ends.push_back({remaining_s, job.spec.demand});
    }
    std::ranges::sort(ends, ends_before);
    return ends;
}

}  // namespace

EarliestStart ExpectedCapacity::earliest_start(const Resources& demand) const {
    auto sum = available;
    EarliestStart start{available_in_s, 0};
    while (!demand.fits_in(sum)) {
        if (start.tasks_ended == task_ends.size()) return {kNever_s, start.tasks_ended};
        const auto& end = task_ends[start.tasks_ended];
        sum += end.released;
        start.in_s = std::max(start.in_s, end.in_s);
        ++start.tasks_ended;
    }
    return start;
}

void ExpectedCapacity::assign(const Resources& demand, const EarliestStart& start,
                              double duration_s) {
    for (size_t i = 0; i < start.tasks_ended; ++i) available += task_ends[i].released;
    task_ends.erase(task_ends.begin(), task_ends.begin() + static_cast<long>(start.tasks_ended));
    available -= demand;
    if (start.tasks_ended > 0) available_in_s = std::max(available_in_s, start.in_s);
    const TaskEnd end{start.in_s + duration_s, demand};
    task_ends.insert(std::ranges::upper_bound(task_ends, end, ends_before), end);
}

bool capacity_eligible(const ClusterState& cluster, const JobSpec& spec,
                       const ExpectedCapacity& capacity) {
    return market_eligible(spec, capacity.spot, capacity.zone) &&
           type_eligible(cluster, spec, capacity.type);
}

double remaining_run_s(double expected_s, double ran_s) {
    return std::max(kMinRemainingRunShare * std::max(expected_s, ran_s), expected_s - ran_s);
}

std::vector<ExpectedCapacity> expected_capacity(const ClusterState& cluster,
                                                const MachineFilter& usable, double now) {
    std::vector<ExpectedCapacity> capacities;
    for (const auto& machine : cluster.machines) {
        if (!machine || machine->type == kNone || machine->abandoned || machine->terminating)
            continue;
        if (machine->type >= cluster.types.size() || !cluster.types[machine->type].offered)
            continue;
        const bool booting = is_booting(*machine, now);
        if (!booting && !usable(*machine)) continue;
        const double available_in_s = booting ? remaining_boot_s(cluster, *machine, now) : 0;
        capacities.push_back({machine->type, machine->zone, machine->spot, available_in_s,
                              machine->free_resources(), expected_task_ends(cluster, *machine, now),
                              booting});
    }
    return capacities;
}

std::vector<bool> silent_zones(const ClusterState& cluster, const MachineFilter& usable) {
    std::vector<int> silent_excess(cluster.names.zones.size(), 0);
    for (const auto& machine : cluster.machines) {
        if (!machine || machine->zone == kNone || machine->abandoned || machine->terminating)
            continue;
        const bool was_running = machine->status == MachineStatus::Running &&
                                 machine->interruption_at < 0 && !machine->missing;
        if (machine->up && usable(*machine))
            --silent_excess[machine->zone];
        else if (was_running)
            ++silent_excess[machine->zone];
    }
    std::vector<bool> silent;
    silent.reserve(silent_excess.size());
    for (const int excess : silent_excess) silent.push_back(excess > kMaxSilentExcess);
    // If all zones are silent, it is more likely that this controller is the one partitioned off.
    if (std::ranges::all_of(silent, [](bool zone_silent) { return zone_silent; }))
        silent.assign(silent.size(), false);
    return silent;
}

}  // namespace weirmill
