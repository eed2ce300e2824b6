#include "coordination/placement.h"

#include <algorithm>
#include <tuple>

namespace weirmill {

ZoneRule::ZoneRule(const Tables& tables, const Job& job)
    : tables(tables), job(job), in_zone(tables.names.zones.size(), 0) {
    if (!job.spec.one_zone && !job.spec.spread) return;
    if (job.placed == 0) return;
    for (auto& task : job.tasks) {
        if (task.state != TaskState::Placed) continue;
        auto zone = tables.machines[task.machine]->zone;
        if (zone == kNone)
            ++somewhere;
        else
            ++in_zone[zone];
    }
}

bool ZoneRule::allows(Index zone) const {
    if (somewhere > 0) return false;
    if (job.spec.one_zone)
        for (Index z = 0; z < in_zone.size(); ++z)
            if (in_zone[z] > 0 && z != zone) return false;
    if (job.spec.spread && in_zone[zone] + 1 > (job.spec.tasks + 1) / 2) return false;
    return true;
}

void ZoneRule::add(Index zone) {
    if (job.spec.one_zone || job.spec.spread) ++in_zone[zone];
}

std::vector<Index> waiting_jobs(const Tables& tables, double now) {
    std::vector<Index> out;
    for (Index j = 0; j < tables.jobs.size(); ++j) {
        auto* job = tables.jobs[j].get();
        if (!job || !job->active() || job->pending == 0 || job->not_before > now) continue;
        // A gang starts anew only after every task of its old attempt is gone.
        if (job->spec.kind == JobKind::Gang && (job->placed > 0 || job->gang_ending)) continue;
        out.push_back(j);
    }
    auto key = [&](Index j) {
        auto& job = *tables.jobs[j];
        auto& team = tables.teams[job.spec.team];
        // Among equals, those that can still be in time go first, and of them the one due soonest.
        int missed;
        double due = tables.due(job, now + tables.expected_run_s(job.spec), missed);
        return std::make_tuple(-static_cast<int>(job.spec.priority),
                               !tables.within_guarantee(team, job.spec.need), -job.spec.need.gpu, missed, due,
                               job.submitted, std::string_view(job.spec.id));
    };
    std::sort(out.begin(), out.end(), [&](Index a, Index b) { return key(a) < key(b); });
    return out;
}

namespace {

// Smaller is a better fit. GPUs are not spent on tasks that need none while there is another place.
auto fit(const Tables& tables, const Job& job, const Machine& m) {
    auto left = m.room() - job.spec.need;
    bool wasted_gpus = job.spec.need.gpu == 0 && m.size.gpu > 0;
    int64_t rest = job.spec.need.gpu > 0 ? left.gpu : left.cpu;
    return std::make_tuple(wasted_gpus,
                           job.failed_on.size() && job.failed_on.count(tables.find_machine(m.name)) > 0,
                           m.tasks.empty(), rest, !m.has_image(job.spec.image), !m.spot, left.cpu, left.mem);
}

struct Room {
    Tables& tables;
    std::vector<Index> candidates;
    Room(Tables& tables, const Usable& usable, Index index, double now) : tables(tables) {
        auto& job = *tables.jobs[index];
        for (Index i = 0; i < tables.machines.size(); ++i) {
            auto* m = tables.machines[i].get();
            if (!m || !tables.machine_allowed(job.spec, *m) || !usable(*m)) continue;
            if (m->reserved_for != kNone && m->reserved_for != index && m->reserved_until > now) {
                auto* owner = tables.jobs[m->reserved_for].get();
                if (owner && owner->spec.priority >= job.spec.priority) continue;
            }
            if (job.spec.need.fits_in(m->room())) candidates.push_back(i);
        }
    }
    Index best(const Job& job, const ZoneRule& zones) const {
        Index best = kNone;
        for (auto i : candidates) {
            auto& m = *tables.machines[i];
            if (!job.spec.need.fits_in(m.room()) || !zones.allows(m.zone) ||
                !tables.leaves_gpus_usable(job.spec, m))
                continue;
            if (best == kNone || fit(tables, job, m) < fit(tables, job, *tables.machines[best])) best = i;
        }
        return best;
    }
};

// All tasks of the gang or none. With one zone, the zones are tried in turn.
bool place_gang(Tables& tables, const Usable& usable, Index index, const Resources& held, double now,
                std::vector<Placement>& out) {
    auto& job = *tables.jobs[index];
    if (!tables.within_limit(tables.teams[job.spec.team], held + job.spec.need * job.pending)) return false;
    Room room(tables, usable, index, now);
    std::vector<Index> zones{kNone};
    if (job.spec.one_zone) {
        zones.clear();
        for (auto i : room.candidates)
            if (std::find(zones.begin(), zones.end(), tables.machines[i]->zone) == zones.end())
                zones.push_back(tables.machines[i]->zone);
    }
    for (auto zone : zones) {
        Room here = room;
        if (zone != kNone)
            std::erase_if(here.candidates, [&](Index i) { return tables.machines[i]->zone != zone; });
        ZoneRule rule(tables, job);
        std::vector<Placement> chosen;
        for (uint32_t t = 0; t < job.tasks.size(); ++t) {
            if (job.tasks[t].state != TaskState::Pending) continue;
            auto m = here.best(job, rule);
            if (m == kNone) break;
            chosen.push_back({index, t, m, job.gang_attempt + 1});
            rule.add(tables.machines[m]->zone);
            tables.machines[m]->used += job.spec.need;  // for the time of this search
        }
        for (auto& p : chosen) tables.machines[p.machine]->used -= job.spec.need;
        if (chosen.size() != job.pending) continue;
        ++job.gang_attempt;
        for (auto& p : chosen) {
            tables.place(p.job, p.task, p.machine, p.attempt, now);
            out.push_back(p);
        }
        return true;
    }
    return false;
}

void place_tasks(Tables& tables, const Usable& usable, Index index, const Resources& held, double now,
                 size_t most, std::vector<Placement>& out) {
    auto& job = *tables.jobs[index];
    auto& team = tables.teams[job.spec.team];
    Room room(tables, usable, index, now);
    if (room.candidates.empty()) return;
    ZoneRule rule(tables, job);
    for (uint32_t t = job.first_pending; t < job.tasks.size() && job.pending > 0 && out.size() < most; ++t) {
        auto& task = job.tasks[t];
        if (task.state != TaskState::Pending) continue;
        job.first_pending = t;
        if (!tables.within_limit(team, held + job.spec.need)) break;
        auto m = room.best(job, rule);
        if (m == kNone) break;
        tables.place(index, t, m, task.attempt + 1, now);
        rule.add(tables.machines[m]->zone);
        out.push_back({index, t, m, task.attempt});
    }
}

// What tasks like this one could take of the machines that are there or coming up, were all of them empty.
Resources capacity_for(const Tables& tables, const JobSpec& spec) {
    int64_t tasks = 0;
    for (auto& m : tables.machines)
        if (m && !m->doomed && !m->returning && tables.machine_allowed(spec, *m) &&
            !tables.spares_gpus(spec, m->type))
            tasks += spec.need.times_in(m->size);
    return spec.need * tasks;
}

}  // namespace

std::vector<Placement> place_waiting(Tables& tables, const Usable& usable, double now, size_t most) {
    std::vector<Placement> out;
    // Of each team's limit, what its large jobs are waiting for: small tasks that come after them would
    // otherwise fill the limit again each time that one ends, and a large job would never get its share.
    // What could not be filled by large jobs alone is left to the others.
    std::vector<std::pair<Priority, Resources>> held(tables.teams.size(), {Priority::Production, {}});
    std::vector<Resources> large(tables.teams.size());
    for (auto& job : tables.jobs)
        if (job && tables.large(job->spec)) large[job->spec.team] += job->spec.need * job->placed;
    for (auto j : waiting_jobs(tables, now)) {
        if (out.size() >= most) break;
        auto& job = *tables.jobs[j];
        auto& [above, share] = held[job.spec.team];
        auto kept = job.spec.priority < above ? share : Resources{};
        if (job.spec.kind == JobKind::Gang)
            place_gang(tables, usable, j, kept, now, out);
        else
            place_tasks(tables, usable, j, kept, now, most, out);
        if (job.pending > 0 && tables.large(job.spec)) {
            auto more = job.spec.need * (job.spec.kind == JobKind::Gang ? job.pending : 1);
            auto filled = large[job.spec.team] + share + more;
            if (!tables.below_limit(tables.teams[job.spec.team], filled)) continue;
            // Nor is a share of any use beyond what the machines there can hold: a team's small tasks once
            // waited for minutes beside idle machines, for a limit that its large jobs could not reach.
            if (!(filled.fits_in(capacity_for(tables, job.spec)))) continue;
            above = job.spec.priority;
            share += more;
        }
    }
    for (auto& p : out) {
        auto& m = *tables.machines[p.machine];
        if (m.reserved_for == p.job) m.reserved_for = kNone;
    }
    return out;
}

}  // namespace weirmill
