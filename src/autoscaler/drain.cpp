// Selects the machine to drain: one whose tasks are cheaper to move to other machines than to leave
// running until they end.
#include <algorithm>
#include <optional>
#include <utility>

#include "autoscaler/autoscaler.h"
#include "autoscaler/expected_capacity.h"
#include "autoscaler/machine_eligibility.h"

namespace weirmill {

namespace {

// Tasks that have run for less than this are not moved.
constexpr double kMinRunBeforeMove_s = 30;
// The time from the exit of a task to its start on another machine.
constexpr double kRestart_s = 6;
// The remaining run time must be at least this many times the duration of the move.
constexpr double kMinRemainingPerMove = 2;

// A machine that can take over tasks of the drained one.
struct Destination {
    const Machine* machine;
    Resources available;
};

bool is_movable(const ClusterState& cluster, const TaskRef& ref, double now) {
    const auto& job = *cluster.jobs[ref.job];
    const auto& task = job.tasks[ref.task];
    const auto& spec = job.spec;
    if (spec.kind != JobKind::Array || spec.checkpoint_interval_s <= 0) return false;
    if (spec.one_zone || spec.spread || !job.active()) return false;
    return task.phase == TaskPhase::Running && !task.stopping && task.running_at > 0 &&
           now - task.running_at >= kMinRunBeforeMove_s;
}

bool is_drainable(const ClusterState& cluster, const Machine& machine, const MachineFilter& usable,
                  const std::vector<Index>& waiting, double now) {
    if (machine.tasks.empty() || !usable(machine) || machine.reserved_for != kNone) return false;
    if (!std::ranges::all_of(machine.tasks,
                             [&](const TaskRef& ref) { return is_movable(cluster, ref, now); }))
        return false;
    return std::ranges::none_of(
        waiting, [&](Index job) { return may_start_on(cluster, *cluster.jobs[job], machine); });
}

// Returns the machines with at least as many tasks as `source`, as these stay in use in any case.
std::vector<Destination> find_destinations(const ClusterState& cluster, const Machine& source,
                                           const MachineFilter& usable) {
    std::vector<Destination> destinations;
    for (const auto& machine : cluster.machines) {
        if (!machine || machine.get() == &source || !usable(*machine)) continue;
        if (machine->tasks.empty() || machine->tasks.size() < source.tasks.size()) continue;
        destinations.push_back({machine.get(), machine->free_resources()});
    }
    return destinations;
}

// Reserves resources for a task on a destination that has its image. Returns false if there is
// none.
bool reserve_destination(const ClusterState& cluster, const JobSpec& spec,
                         std::vector<Destination>& destinations) {
    const auto destination = std::ranges::find_if(destinations, [&](const Destination& d) {
        return cluster.machine_allowed(spec, *d.machine) && spec.demand.fits_in(d.available) &&
               d.machine->has_image(spec.image);
    });
    if (destination == destinations.end()) return false;
    destination->available -= spec.demand;
    return true;
}

// Returns what the drain saves, in the unit of the price times seconds, or nullopt if not all tasks
// can be moved or they end too soon for the move to pay off.
std::optional<double> drain_savings(const ClusterState& cluster, const Machine& machine,
                                    const MachineFilter& usable, double now) {
    auto destinations = find_destinations(cluster, machine, usable);
    double longest_run_s = 0, longest_move_s = 0;
    for (const auto& ref : machine.tasks) {
        const auto& job = *cluster.jobs[ref.job];
        const auto& spec = job.spec;
        if (!reserve_destination(cluster, spec, destinations)) return std::nullopt;
        const double ran_s = now - job.tasks[ref.task].running_at;
        longest_run_s =
            std::max(longest_run_s, remaining_run_s(cluster.expected_run_s(spec), ran_s));
        longest_move_s = std::max(longest_move_s, spec.checkpoint_duration_s + kRestart_s);
    }
    if (longest_run_s < kMinRemainingPerMove * longest_move_s) return std::nullopt;
    const auto& type = cluster.types[machine.type].type;
    return (longest_run_s - longest_move_s) * (machine.spot ? type.spot_price : type.price);
}

}  // namespace

Index plan_drain(const ClusterState& cluster, const MachineFilter& usable, double now) {
    Index best = kNone;
    double best_savings = 0;
    const auto waiting = waiting_jobs(cluster, now);
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        const auto* machine = cluster.machines[i].get();
        if (!machine || !is_drainable(cluster, *machine, usable, waiting, now)) continue;
        const auto savings = drain_savings(cluster, *machine, usable, now);
        if (!savings || *savings <= best_savings) continue;
        best = i;
        best_savings = *savings;
    }
    return best;
}

}  // namespace weirmill
