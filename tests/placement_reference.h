// Best-fit decreasing written plainly: every task looks at every machine. The fast form must choose
// the same.
#pragma once
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "scheduler/placement.h"

namespace weirmill::test {

struct PlainPlacement {
    ClusterState& cluster;
    Usable usable;
    double now;
    std::vector<Placement> out;

    auto fit(const Job& job, Index i) const {
        auto& m = *cluster.machines[i];
        auto left = m.room() - job.spec.demand;
        bool together = job.spec.kind == JobKind::Gang && job.spec.tasks > 1;
        return std::make_tuple(job.spec.demand.gpu == 0 && m.size.gpu > 0,
                               job.failed_on.count(i) > 0, m.tasks.empty(),
                               job.spec.demand.gpu > 0 ? left.gpu : left.cpu, together && m.spot,
                               !m.has_image(job.spec.image), !together && !m.spot, left.cpu,
                               left.mem, cluster.heartbeat_due_s(m, now));
    }
    std::vector<Index> open{};
    std::map<Index, Priority> held{};
    bool candidate(Index j, Index i) const {
        auto& job = *cluster.jobs[j];
        auto* m = cluster.machines[i].get();
        if (!m || !usable(*m) || !cluster.machine_allowed(job.spec, *m) ||
            !job.spec.demand.fits_in(m->room()))
            return false;
        if (held.count(i) && held.at(i) > job.priority) return false;
        if (m->reserved_for == kNone || m->reserved_for == j || m->reserved_until <= now)
            return true;
        auto* owner = cluster.jobs[m->reserved_for].get();
        return !owner || owner->priority < job.priority;
    }
    Index best(Index j, const ZoneRule& rule, Index zone, bool image_only = false) const {
        auto& job = *cluster.jobs[j];
        Index best = kNone;
        for (Index i = 0; i < cluster.machines.size(); ++i) {
            if (!candidate(j, i)) continue;
            auto& m = *cluster.machines[i];
            if (!rule.allows(m.zone) || (zone != kNone && m.zone != zone) ||
                !cluster.leaves_gpus_usable(job.spec, m) ||
                (image_only && !image_near(cluster, m, job.spec.image)))
                continue;
            if (best == kNone || fit(job, i) < fit(job, best)) best = i;
        }
        return best;
    }
    void array(Index j, bool image_only) {
        auto& job = *cluster.jobs[j];
        ZoneRule rule(cluster, job);
        for (uint32_t t = 0; t < job.tasks.size(); ++t) {
            if (job.tasks[t].state != TaskState::Pending) continue;
            if (!cluster.within_limit(cluster.teams[job.spec.team], job.spec.demand)) return;
            auto i = best(j, rule, kNone, image_only);
            if (i == kNone) return;
            cluster.place(j, t, i, job.tasks[t].attempt + 1, now);
            rule.add(cluster.machines[i]->zone);
            out.push_back({j, t, i, job.tasks[t].attempt});
        }
    }
    void gang(Index j) {
        auto& job = *cluster.jobs[j];
        if (!cluster.within_limit(cluster.teams[job.spec.team], job.spec.demand * job.pending))
            return;
        std::vector<Index> zones{kNone};
        if (job.spec.one_zone) {
            zones.clear();
            for (Index i = 0; i < cluster.machines.size(); ++i) {
                if (candidate(j, i) &&
                    std::find(zones.begin(), zones.end(), cluster.machines[i]->zone) == zones.end())
                    zones.push_back(cluster.machines[i]->zone);
            }
            std::map<Index, int64_t> near;
            for (auto i : open) {
                auto& m = *cluster.machines[i];
                if (cluster.machine_allowed(job.spec, m) && image_near(cluster, m, job.spec.image))
                    near[m.zone] += job.spec.demand.max_copies_in(m.room());
            }
            for (auto& [z, n] : near)
                n = job.spec.image_gb > 0 ? std::min<int64_t>(n, job.pending) : 0;
            std::stable_sort(zones.begin(), zones.end(),
                             [&](Index a, Index b) { return near[a] > near[b]; });
        }
        for (auto zone : zones) {
            ZoneRule rule(cluster, job);
            std::vector<Index> chosen;
            for (uint32_t n = 0; n < job.pending; ++n) {
                auto i = best(j, rule, zone);
                if (i == kNone) break;
                chosen.push_back(i);
                rule.add(cluster.machines[i]->zone);
                cluster.machines[i]->used += job.spec.demand;
            }
            for (auto i : chosen) cluster.machines[i]->used -= job.spec.demand;
            if (chosen.size() != job.pending) continue;
            ++job.gang_attempt;
            for (uint32_t t = 0; t < job.tasks.size(); ++t) {
                cluster.place(j, t, chosen[t], job.gang_attempt, now);
                out.push_back({j, t, chosen[t], job.gang_attempt});
            }
            return;
        }
    }
    // Of the machines that anybody could have used, those that lack the least, one for each task
    // that waits.
    void hold(Index j) {
        auto& job = *cluster.jobs[j];
        auto& demand = job.spec.demand;
        if (job.pending == 0 || !cluster.within_limit(cluster.teams[job.spec.team], demand)) return;
        std::set<std::pair<int64_t, Index>> some;
        for (auto i : open) {
            auto& m = *cluster.machines[i];
            if (!demand.fits_in(m.room()) && demand.max_copies_in(m.size) >= 2 &&
                (!held.count(i) || held.at(i) < job.priority) &&
                cluster.machine_allowed(job.spec, m) && !cluster.reserves_gpus(job.spec, m.type))
                some.emplace(demand.cpu - m.room().cpu, i);
        }
        uint32_t n = 0;
        for (auto& [lack, i] : some)
            if (n++ < job.pending) held[i] = job.priority;
    }
    const std::vector<Placement>& run() {
        auto ranks = waiting_ranks(cluster, now);
        for (Index i = 0; i < cluster.machines.size(); ++i) {
            auto* m = cluster.machines[i].get();
            if (!m || !usable(*m)) continue;
            Resources least{1 << 30, 1 << 30, 1 << 30};
            for (auto& rank : ranks)
                for (auto j : rank) {
                    auto& demand = cluster.jobs[j]->spec.demand;
                    least = {std::min(least.cpu, demand.cpu), std::min(least.gpu, demand.gpu),
                             std::min(least.mem, demand.mem)};
                }
            if (least.fits_in(m->room())) open.push_back(i);
        }
        for (auto& rank : ranks) {
            if (rank.size() > 1)
                for (auto j : rank)
                    if (cluster.jobs[j]->spec.kind != JobKind::Gang &&
                        cluster.jobs[j]->spec.image_gb > 0)
                        array(j, true);
            for (auto j : rank) {
                cluster.jobs[j]->spec.kind == JobKind::Gang ? gang(j) : array(j, false);
                hold(j);
            }
        }
        return out;
    }
};

}  // namespace weirmill::test
