// Best-fit decreasing written plainly: every task looks at every machine. The fast form must choose the same.
#pragma once
#include <algorithm>
#include <tuple>

#include "coordination/placement.h"

namespace weirmill::test {

struct PlainPlacement {
    Tables& tables;
    Usable usable;
    double now;
    std::vector<Placement> out;

    auto fit(const Job& job, Index i) const {
        auto& m = *tables.machines[i];
        auto left = m.room() - job.spec.need;
        return std::make_tuple(job.spec.need.gpu == 0 && m.size.gpu > 0, job.failed_on.count(i) > 0,
                               m.tasks.empty(), job.spec.need.gpu > 0 ? left.gpu : left.cpu,
                               !m.has_image(job.spec.image), !m.spot, left.cpu, left.mem);
    }
    bool candidate(Index j, Index i) const {
        auto& job = *tables.jobs[j];
        auto* m = tables.machines[i].get();
        if (!m || !usable(*m) || !tables.machine_allowed(job.spec, *m) || !job.spec.need.fits_in(m->room()))
            return false;
        if (m->reserved_for == kNone || m->reserved_for == j || m->reserved_until <= now) return true;
        auto* owner = tables.jobs[m->reserved_for].get();
        return !owner || owner->priority < job.priority;
    }
    Index best(Index j, const ZoneRule& rule, Index zone, bool image_only = false) const {
        auto& job = *tables.jobs[j];
        Index best = kNone;
        for (Index i = 0; i < tables.machines.size(); ++i) {
            if (!candidate(j, i)) continue;
            auto& m = *tables.machines[i];
            if (!rule.allows(m.zone) || (zone != kNone && m.zone != zone) ||
                !tables.leaves_gpus_usable(job.spec, m) ||
                (image_only && !image_near(tables, m, job.spec.image)))
                continue;
            if (best == kNone || fit(job, i) < fit(job, best)) best = i;
        }
        return best;
    }
    void array(Index j, bool image_only) {
        auto& job = *tables.jobs[j];
        ZoneRule rule(tables, job);
        for (uint32_t t = 0; t < job.tasks.size(); ++t) {
            if (job.tasks[t].state != TaskState::Pending) continue;
            if (!tables.within_limit(tables.teams[job.spec.team], job.spec.need)) return;
            auto i = best(j, rule, kNone, image_only);
            if (i == kNone) return;
            tables.place(j, t, i, job.tasks[t].attempt + 1, now);
            rule.add(tables.machines[i]->zone);
            out.push_back({j, t, i, job.tasks[t].attempt});
        }
    }
    void gang(Index j) {
        auto& job = *tables.jobs[j];
        if (!tables.within_limit(tables.teams[job.spec.team], job.spec.need * job.pending)) return;
        std::vector<Index> zones{kNone};
        if (job.spec.one_zone) {
            zones.clear();
            for (Index i = 0; i < tables.machines.size(); ++i) {
                if (candidate(j, i) &&
                    std::find(zones.begin(), zones.end(), tables.machines[i]->zone) == zones.end())
                    zones.push_back(tables.machines[i]->zone);
            }
        }
        for (auto zone : zones) {
            ZoneRule rule(tables, job);
            std::vector<Index> chosen;
            for (uint32_t n = 0; n < job.pending; ++n) {
                auto i = best(j, rule, zone);
                if (i == kNone) break;
                chosen.push_back(i);
                rule.add(tables.machines[i]->zone);
                tables.machines[i]->used += job.spec.need;
            }
            for (auto i : chosen) tables.machines[i]->used -= job.spec.need;
            if (chosen.size() != job.pending) continue;
            ++job.gang_attempt;
            for (uint32_t t = 0; t < job.tasks.size(); ++t) {
                tables.place(j, t, chosen[t], job.gang_attempt, now);
                out.push_back({j, t, chosen[t], job.gang_attempt});
            }
            return;
        }
    }
    const std::vector<Placement>& run() {
        for (auto& rank : waiting_ranks(tables, now)) {
            if (rank.size() > 1)
                for (auto j : rank)
                    if (tables.jobs[j]->spec.kind != JobKind::Gang && tables.jobs[j]->spec.image_gb > 0)
                        array(j, true);
            for (auto j : rank) tables.jobs[j]->spec.kind == JobKind::Gang ? gang(j) : array(j, false);
        }
        return out;
    }
};

}  // namespace weirmill::test
