#include "scheduler/start_deadline.h"

#include <algorithm>
#include <map>

namespace weirmill {

namespace {
// Of the bound: what is left is for machines to come free, reports and fetches. From half of it on,
// gangs that would have begun in time by themselves held up others: on a day with a zone lost 0.83
// began in time instead of 0.92.
constexpr double kLate = 0.7;
}  // namespace

std::vector<Index> jobs_near_start_deadline(const ClusterState& cluster, double within_s,
                                            double now) {
    std::vector<Index> out;
    if (within_s <= 0) return out;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || !job->active() || job->waits || job->placed + job->done > 0 ||
            job->not_before > now)
            continue;
        if (now - job->came_at() > kLate * within_s) out.push_back(j);
    }
    std::sort(out.begin(), out.end(), [&](Index a, Index b) {
        auto &x = *cluster.jobs[a], &y = *cluster.jobs[b];
        return std::make_pair(x.came_at(), a) < std::make_pair(y.came_at(), b);
    });
    return out;
}

std::vector<Index> machines_for_gang(const ClusterState& cluster, const Usable& usable, Index j,
                                     double now) {
    auto& job = *cluster.jobs[j];
    auto& demand = job.spec.demand;
    if (!cluster.within_limit(cluster.teams[job.spec.team], demand * job.pending)) return {};
    std::map<Index, std::vector<Index>> by_zone;  // of a gang that may lie anywhere, all in one
    ZoneRule rule(cluster, job);
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (!m || !m->tasks.empty() || !usable(*m) || !cluster.machine_allowed(job.spec, *m))
            continue;
        if (cluster.reserves_gpus(job.spec, m->type) || demand.times_in(m->size) != 1 ||
            !rule.allows(m->zone))
            continue;
        if (m->reserved(now) && m->reserved_for != j) continue;
        by_zone[job.spec.one_zone ? m->zone : 0].push_back(i);
    }
    std::vector<Index> best;
    for (auto& [zone, list] : by_zone)
        if (list.size() > best.size()) best = std::move(list);
    if (best.size() > job.pending) best.resize(job.pending);
    return best;
}

}  // namespace weirmill
