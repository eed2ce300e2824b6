#include "scheduler/team_limit_reservations.h"

namespace weirmill {

TeamLimitReservations::TeamLimitReservations(const ClusterState& cluster)
    : cluster_(cluster), by_team_(cluster.teams.size()) {
    for (auto& job : cluster.jobs)
        if (job && job->placed > 0 && cluster.needs_whole_machines(job->spec))
            by_team_[job->spec.team].placed += job->spec.demand * job->placed;
}

Resources TeamLimitReservations::reserved_against(const Job& job) const {
    auto& reservation = by_team_[job.spec.team];
    return job.effective_priority < reservation.priority ? reservation.share : Resources{};
}

void TeamLimitReservations::reserve_for(const Job& job, PlacementPass& pass) {
    auto& team = cluster_.teams[job.spec.team];
    if ((!team.limit.cpu && !team.limit.gpu) || !cluster_.needs_whole_machines(job.spec)) return;
    auto& reservation = by_team_[job.spec.team];
    auto extra = job.spec.demand * (job.spec.kind == JobKind::Gang ? job.pending : 1);
    auto filled = reservation.placed + reservation.share + extra;
    if (!cluster_.usage_within_limit(team, filled)) return;
    // Reserving more than the eligible machines can hold would make the team's small tasks wait
    // minutes beside idle machines for a limit that its large jobs can't reach.
    if (!filled.fits_in(pass.capacity_for(job.spec))) return;
    reservation.priority = job.effective_priority;
    reservation.share += extra;
}

}  // namespace weirmill
