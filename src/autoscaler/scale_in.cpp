// Plans the termination of machines that are no longer needed.
#include <algorithm>

#include "autoscaler/autoscaler.h"
#include "autoscaler/machine_eligibility.h"

namespace weirmill {

namespace {

// The cloud charges for a machine at least for this time, even if it is terminated earlier.
constexpr double kMinCharge_s = 60;

// Returns the waiting gangs, one per team and job shape.
std::vector<const Job*> waiting_gangs(const ClusterState& cluster, double now) {
    std::vector<const Job*> gangs;
    for (const auto index : waiting_jobs(cluster, now)) {
        const auto& job = *cluster.jobs[index];
        const auto& spec = job.spec;
        if (spec.kind != JobKind::Gang) continue;
        const bool known = std::ranges::any_of(gangs, [&](const Job* other) {
            return other->spec.team == spec.team && other->spec.same_shape_as(spec);
        });
        if (!known) gangs.push_back(&job);
    }
    return gangs;
}

// Returns whether the machine can be terminated regardless of waiting jobs.
bool is_unusable(const Machine& machine, double now) {
    if (machine.abandoned || machine.status == MachineStatus::Failed) return true;
    return machine.up && machine.tasks.empty() &&
           (machine.draining || machine.quarantined_until > now);
}

// Returns whether the machine is up and has had no tasks for longer than its keep time.
bool is_idle(const ClusterState& cluster, const Machine& machine,
             const AutoscalerSettings& settings, double now) {
    if (!machine.up || !machine.tasks.empty() || machine.reserved(now)) return false;
    if (machine.type >= cluster.types.size() || !cluster.types[machine.type].offered) return false;
    const double keep_s = settings.idle_keep_boots * cluster.types[machine.type].type.boot_s;
    return now - machine.requested_at >= kMinCharge_s &&
           now - std::max(machine.empty_since, machine.up_at) >= keep_s;
}

// Assigns the machine to the first headroom that it suits and deducts its tasks there. Returns
// false if no headroom needs the machine.
bool keep_for_headroom(const ClusterState& cluster, const Machine& machine,
                       std::vector<Headroom>& headroom) {
    for (auto& entry : headroom) {
        if (entry.tasks <= 0 || !machine_eligible(cluster, *entry.spec, machine)) continue;
        entry.tasks -= entry.spec->demand.max_copies_in(machine.free_resources());
        return true;
    }
    return false;
}

}  // namespace

std::vector<Index> plan_scale_in(const ClusterState& cluster, const AutoscalerSettings& settings,
                                 double now) {
    std::vector<Index> to_terminate;
    const auto gangs = waiting_gangs(cluster, now);
    auto headroom = planned_headroom(cluster, settings, now);
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        const auto* machine = cluster.machines[i].get();
        if (!machine || machine->terminating) continue;
        if (is_unusable(*machine, now)) {
            to_terminate.push_back(i);
            continue;
        }
        if (!is_idle(cluster, *machine, settings, now)) continue;
        // Only gangs have to wait for several machines at once. A single task that could run here
        // would have been placed, so other waiting jobs do not keep the machine: jobs held back by
        // their team's limit would keep hundreds of idle machines.
        if (std::ranges::any_of(
                gangs, [&](const Job* gang) { return may_start_on(cluster, *gang, *machine); }))
            continue;
        if (!keep_for_headroom(cluster, *machine, headroom)) to_terminate.push_back(i);
    }
    return to_terminate;
}

}  // namespace weirmill
