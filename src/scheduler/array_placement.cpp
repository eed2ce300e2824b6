#include "scheduler/array_placement.h"

namespace weirmill {

void place_array(PlacementPass& pass, Index index, const ArrayPlacement& bounds, double now,
                 std::vector<Placement>& out) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    auto& team = cluster.teams[job.spec.team];
    auto one_more = bounds.held + job.spec.demand;
    if (!cluster.within_limit(team, one_more)) return;
    auto* queue = pass.candidates(index, bounds.near_only);
    if (!queue) return;
    ZoneRule rule(cluster, job);
    uint32_t t = job.first_pending;
    pass.fill(index, *queue, kNone, rule, [&](Index machine) {
        while (t < job.tasks.size() && job.tasks[t].state != TaskState::Pending) ++t;
        job.first_pending = t;
        if (t == job.tasks.size() || out.size() >= bounds.max_placed) return false;
        if (!cluster.within_limit(team, one_more)) return false;
        uint32_t attempt = job.tasks[t].attempt + 1;
        cluster.place(index, t, machine, attempt, now);
        pass.task_placed(machine);
        out.push_back({index, t, machine, attempt});
        return true;
    });
}

}  // namespace weirmill
