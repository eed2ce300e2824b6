// Scale in: the machines that serve nothing any more.
#include <algorithm>

#include "autoscaler/autoscaler.h"
#include "autoscaler/suitability.h"

namespace weirmill {

namespace {

// A machine is charged for this long even if it is terminated sooner.
constexpr double kMinCharge_s = 60;

// Gangs that wait, one of each team and shape.
std::vector<const Job*> waiting_gangs(const ClusterState& cluster, double now) {
    std::vector<const Job*> gangs;
    for (const auto j : waiting_jobs(cluster, now)) {
        const auto& job = *cluster.jobs[j];
        const auto& spec = job.spec;
        if (spec.kind != JobKind::Gang) continue;
        const bool known = std::ranges::any_of(gangs, [&](const Job* other) {
            return other->spec.team == spec.team && other->spec.same_shape_as(spec);
        });
        if (!known) gangs.push_back(&job);
    }
    return gangs;
}

// Whether it can be terminated whatever work there is.
bool is_unusable(const Machine& m, double now) {
    if (m.abandoned || m.status == MachineStatus::Failed) return true;
    return m.up && m.tasks.empty() && (m.draining || m.quarantined_until > now);
}

// Up and without work for as long as it is kept for work to come.
bool is_idle(const ClusterState& cluster, const Machine& m, const AutoscalerSettings& settings,
             double now) {
    if (!m.up || !m.tasks.empty() || m.reserved(now)) return false;
    if (m.type >= cluster.types.size() || !cluster.types[m.type].offered) return false;
    const double keep_s = settings.idle_keep_boots * cluster.types[m.type].type.boot_s;
    return now - m.requested_at >= kMinCharge_s && now - std::max(m.empty_since, m.up_at) >= keep_s;
}

// Takes the machine for the first headroom that it suits; false: none needs it.
bool keep_for_headroom(const ClusterState& cluster, const Machine& m,
                       std::vector<Headroom>& headroom) {
    for (auto& h : headroom) {
        if (h.tasks <= 0 || !machine_suits(cluster, *h.like, m)) continue;
        h.tasks -= h.like->demand.max_copies_in(m.room());
        return true;
    }
    return false;
}

}  // namespace

std::vector<Index> plan_scale_in(const ClusterState& cluster, const AutoscalerSettings& settings,
                                 double now) {
    std::vector<Index> out;
    const auto gangs = waiting_gangs(cluster, now);
    auto headroom = planned_headroom(cluster, settings, now);
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        const auto* m = cluster.machines[i].get();
        if (!m || m->terminating) continue;
        if (is_unusable(*m, now)) {
            out.push_back(i);
            continue;
        }
        if (!is_idle(cluster, *m, settings, now)) continue;
        // Only a gang has to wait for several machines at once: a single task that could be placed
        // here would have been. Hundreds of idle machines were once kept for jobs held back by
        // their team's limit.
        if (std::ranges::any_of(gangs,
                                [&](const Job* job) { return could_use(cluster, *job, *m); }))
            continue;
        if (!keep_for_headroom(cluster, *m, headroom)) out.push_back(i);
    }
    return out;
}

}  // namespace weirmill
