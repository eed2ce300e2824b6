#include "scheduler/start_deadline.h"

#include <algorithm>
#include <map>
#include <utility>

namespace weirmill {

namespace {
// Part of the bound after which a job is near it: the rest is for machines to come free, heartbeats
// and image fetches. At half of the bound, gangs that would have begun in time by themselves held
// up others: on a day with a zone lost 0.83 began in time instead of 0.92.
constexpr double kNearDeadline = 0.7;

bool waits_to_begin(const Job& job, double now) {
    return job.active() && !job.waits && job.placed + job.done == 0 && job.not_before <= now;
}

// Whether the machine may be kept for a gang that takes one whole with each task.
bool may_keep(const ClusterState& cluster, const Machine& m, const Usable& usable, Index index,
              double now) {
    auto& spec = cluster.jobs[index]->spec;
    if (!m.tasks.empty() || !usable(m) || !machine_suits(cluster, spec, m)) return false;
    if (spec.demand.max_copies_in(m.size) != 1) return false;
    return !m.reserved(now) || m.reserved_for == index;
}
}  // namespace

std::vector<Index> jobs_near_start_deadline(const ClusterState& cluster, double within_s,
                                            double now) {
    std::vector<Index> out;
    if (within_s <= 0) return out;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || !waits_to_begin(*job, now)) continue;
        if (now - job->came_at() > kNearDeadline * within_s) out.push_back(j);
    }
    std::ranges::sort(out, [&](Index a, Index b) {
        return std::make_pair(cluster.jobs[a]->came_at(), a) <
               std::make_pair(cluster.jobs[b]->came_at(), b);
    });
    return out;
}

std::vector<Index> machines_for_gang(const ClusterState& cluster, const Usable& usable, Index j,
                                     double now) {
    auto& job = *cluster.jobs[j];
    auto& team = cluster.teams[job.spec.team];
    if (!cluster.within_limit(team, job.spec.demand * job.pending)) return {};
    std::map<Index, std::vector<Index>> by_zone;  // of a gang not bound to one zone, all in one
    ZoneRule rule(cluster, job);
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (!m || !may_keep(cluster, *m, usable, j, now) || !rule.allows(m->zone)) continue;
        by_zone[job.spec.one_zone ? m->zone : 0].push_back(i);
    }
    std::vector<Index> best;
    for (auto& [zone, list] : by_zone)
        if (list.size() > best.size()) best = std::move(list);
    if (best.size() > job.pending) best.resize(job.pending);
    return best;
}

}  // namespace weirmill
