#include "scheduler/limit_hold.h"

namespace weirmill {

LimitHold::LimitHold(const ClusterState& cluster)
    : cluster_(cluster), teams_(cluster.teams.size()) {
    for (auto& job : cluster.jobs)
        if (job && job->placed > 0 && cluster.needs_whole_machines(job->spec))
            teams_[job->spec.team].placed += job->spec.demand * job->placed;
}

Resources LimitHold::held_from(const Job& job) const {
    auto& team = teams_[job.spec.team];
    return job.effective_priority < team.above ? team.share : Resources{};
}

void LimitHold::hold_for(const Job& job, PlacementPass& pass) {
    auto& team = cluster_.teams[job.spec.team];
    if ((!team.limit.cpu && !team.limit.gpu) || !cluster_.needs_whole_machines(job.spec)) return;
    auto& hold = teams_[job.spec.team];
    auto more = job.spec.demand * (job.spec.kind == JobKind::Gang ? job.pending : 1);
    auto filled = hold.placed + hold.share + more;
    if (!cluster_.usage_within_limit(team, filled)) return;
    // Nor is a share of any use beyond what the machines there can hold: a team's small tasks once
    // waited for minutes beside idle machines, for a limit that its large jobs could not reach.
    if (!filled.fits_in(pass.capacity_for(job.spec))) return;
    hold.above = job.effective_priority;
    hold.share += more;
}

}  // namespace weirmill
