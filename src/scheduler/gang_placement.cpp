#include "scheduler/gang_placement.h"

namespace weirmill {

namespace {

// A machine for each pending task of the gang, in the zone (kNone: in any); fewer: it does not fit.
std::vector<Index> machines_for_all(PlacementPass& pass, Index index, FitQueue& queue, Index zone) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    ZoneRule rule(cluster, job);
    std::vector<Index> chosen;
    pass.fill(index, queue, zone, rule, [&](Index machine) {
        if (chosen.size() == job.pending) return false;
        chosen.push_back(machine);
        cluster.machines[machine]->used += job.spec.demand;  // for the time of this search
        return true;
    });
    for (auto machine : chosen) cluster.machines[machine]->used -= job.spec.demand;
    return chosen;
}

// One pending task after the other on the chosen machines, as the gang's next attempt.
void place_on(PlacementPass& pass, Index index, const std::vector<Index>& chosen, double now,
              std::vector<Placement>& out) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    ++job.gang_attempt;
    size_t next = 0;
    for (uint32_t t = 0; t < job.tasks.size(); ++t) {
        if (job.tasks[t].state != TaskState::Pending) continue;
        auto machine = chosen[next++];
        cluster.place(index, t, machine, job.gang_attempt, now);
        pass.task_placed(machine);
        out.push_back({index, t, machine, job.gang_attempt});
    }
}

}  // namespace

bool place_gang(PlacementPass& pass, Index index, const Resources& held, double now,
                std::vector<Placement>& out) {
    auto& cluster = pass.cluster();
    auto& job = *cluster.jobs[index];
    auto& team = cluster.teams[job.spec.team];
    if (!cluster.within_limit(team, held + job.spec.demand * job.pending)) return false;
    if (!pass.candidates(index, false)) return false;
    auto zones = job.spec.one_zone ? pass.zone_order(index) : std::vector<Index>{kNone};
    auto* queue = pass.candidates(index, false);
    for (auto zone : zones) {
        auto room = zone == kNone ? queue->room() : queue->room(zone);
        if (room < job.pending) continue;
        auto chosen = machines_for_all(pass, index, *queue, zone);
        if (chosen.size() != job.pending) continue;
        place_on(pass, index, chosen, now, out);
        return true;
    }
    return false;
}

}  // namespace weirmill
