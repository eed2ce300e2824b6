#include "scheduler/start_deadline.h"

#include <algorithm>
#include <map>
#include <utility>

namespace weirmill {

namespace {
// Share of the bound after which a job is near its start deadline. The rest is left for machines to
// become free, heartbeats and image fetches. With a share of 0.5, gangs that would have started in
// time anyway delayed other jobs: on a day with the loss of a zone, 0.83 of the jobs started in
// time instead of 0.92.
constexpr double kNearDeadlineShare = 0.7;

bool waits_to_start(const Job& job, double now) {
    return job.active() && !job.waits_for_dependencies && job.placed + job.done == 0 &&
           job.not_before <= now;
}

// Returns whether the machine may be reserved for a gang whose tasks each take a whole machine.
bool reservable_for_gang(const ClusterState& cluster, const Machine& m, const MachineFilter& usable,
                         Index gang, double now) {
    auto& spec = cluster.jobs[gang]->spec;
    if (!m.tasks.empty() || !usable(m) || !machine_eligible(cluster, spec, m)) return false;
    if (spec.demand.max_copies_in(m.size) != 1) return false;
    return !m.reserved(now) || m.reserved_for == gang;
}
}  // namespace

std::vector<Index> jobs_near_start_deadline(const ClusterState& cluster, double within_s,
                                            double now) {
    std::vector<Index> out;
    if (within_s <= 0) return out;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || !waits_to_start(*job, now)) continue;
        if (now - job->schedulable_since_steady() > kNearDeadlineShare * within_s) out.push_back(j);
    }
    std::ranges::sort(out, [&](Index a, Index b) {
        return std::make_pair(cluster.jobs[a]->schedulable_since_steady(), a) <
               std::make_pair(cluster.jobs[b]->schedulable_since_steady(), b);
    });
    return out;
}

std::vector<Index> machines_to_reserve_for_gang(const ClusterState& cluster,
                                                const MachineFilter& usable, Index j, double now) {
    auto& job = *cluster.jobs[j];
    auto& team = cluster.teams[job.spec.team];
    if (!cluster.within_limit(team, job.spec.demand * job.pending)) return {};
    std::map<Index, std::vector<Index>> by_zone;  // all under 0 if the gang may use several zones
    ZoneConstraint zones(cluster, job);
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (!m || !reservable_for_gang(cluster, *m, usable, j, now) || !zones.allows(m->zone))
            continue;
        by_zone[job.spec.one_zone ? m->zone : 0].push_back(i);
    }
    std::vector<Index> best;
    for (auto& [zone, machines] : by_zone)
        if (machines.size() > best.size()) best = std::move(machines);
    if (best.size() > job.pending) best.resize(job.pending);
    return best;
}

}  // namespace weirmill
