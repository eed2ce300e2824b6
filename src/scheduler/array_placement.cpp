#include "scheduler/array_placement.h"

namespace weirmill {

void place_array(PlacementPass& pass, Index index, const ArrayPlacementBounds& bounds, double now,
                 std::vector<Placement>& out) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    auto& team = cluster.teams[job.spec.team];
    auto extra_use = bounds.reserved_limit + job.spec.demand;
    if (!cluster.within_limit(team, extra_use)) return;
    auto* queue = pass.candidates(index, bounds.image_machines_only);
    if (!queue) return;
    ZoneConstraint zones(cluster, job);
    uint32_t t = job.first_pending;
    pass.fill(index, *queue, kNone, zones, [&](Index machine) {
        while (t < job.tasks.size() && job.tasks[t].state != TaskState::Pending) ++t;
        job.first_pending = t;
        if (t == job.tasks.size() || out.size() >= bounds.max_placements) return false;
        if (!cluster.within_limit(team, extra_use)) return false;
        uint32_t attempt = job.tasks[t].attempt + 1;
        cluster.place(index, t, machine, attempt, now);
        pass.record_placement(machine);
        out.push_back({index, t, machine, attempt});
        return true;
    });
}

}  // namespace weirmill
