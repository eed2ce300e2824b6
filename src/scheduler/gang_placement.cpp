#include "scheduler/gang_placement.h"

namespace weirmill {

namespace {

// Returns a machine for each pending task of the gang, in the zone (kNone: in any). Returns fewer
// if the gang does not fit.
std::vector<Index> choose_machines(PlacementPass& pass, Index index, FitQueue& queue, Index zone) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    ZoneConstraint zones(cluster, job);
    std::vector<Index> chosen;
    pass.fill(index, queue, zone, zones, [&](Index machine) {
        if (chosen.size() == job.pending) return false;
        chosen.push_back(machine);
        cluster.machines[machine]->used += job.spec.demand;  // only during this search
        return true;
    });
    for (auto machine : chosen) cluster.machines[machine]->used -= job.spec.demand;
    return chosen;
}

// Places the pending tasks on the chosen machines as the next attempt of the gang.
void place_on_machines(PlacementPass& pass, Index index, const std::vector<Index>& chosen,
                       double now, std::vector<Placement>& out) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    ++job.gang_attempt;
    size_t next = 0;
    for (uint32_t t = 0; t < job.tasks.size(); ++t) {
        if (job.tasks[t].state != TaskState::Pending) continue;
        auto machine = chosen[next++];
        cluster.place(index, t, machine, job.gang_attempt, now);
        pass.record_placement(machine);
        out.push_back({index, t, machine, job.gang_attempt});
    }
}

}  // namespace

bool place_gang(PlacementPass& pass, Index index, const Resources& reserved_limit, double now,
                std::vector<Placement>& out) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    auto& team = cluster.teams[job.spec.team];
    if (!cluster.within_limit(team, reserved_limit + job.spec.demand * job.pending)) return false;
    if (!pass.candidates(index, false)) return false;
    auto zones = job.spec.one_zone ? pass.zone_order(index) : std::vector<Index>{kNone};
    auto* queue = pass.candidates(index, false);
    for (auto zone : zones) {
        auto free_slots = zone == kNone ? queue->free_slots() : queue->free_slots(zone);
        if (free_slots < job.pending) continue;
        auto chosen = choose_machines(pass, index, *queue, zone);
        if (chosen.size() != job.pending) continue;
        place_on_machines(pass, index, chosen, now, out);
        return true;
    }
    return false;
}

}  // namespace weirmill
