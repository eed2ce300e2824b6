// A reference implementation of best-fit decreasing placement, without the queues and caches of
// place_waiting_jobs: each task considers every machine. Tests compare the two, which must choose
// the same machines.
#pragma once
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "scheduler/placement.h"

namespace weirmill::test {

struct ReferencePlacement {
    ClusterState& cluster;
    MachineFilter usable;
    double now;
    std::vector<Placement> placements;
    std::vector<Index> open_machines{};         // with room for the smallest waiting task
    std::map<Index, Priority> held_machines{};  // priority of the job that each is held for

    // The machine with the lowest key is the best fit.
    auto fit_key(const Job& job, Index machine_index) const {
        auto& machine = *cluster.machines[machine_index];
        auto left = machine.free_resources() - job.spec.demand;
        bool multi_task_gang = job.spec.kind == JobKind::Gang && job.spec.tasks > 1;
        return std::make_tuple(job.spec.demand.gpu == 0 && machine.size.gpu > 0,
                               job.failed_machines.count(machine_index) > 0, machine.tasks.empty(),
                               job.spec.demand.gpu > 0 ? left.gpu : left.cpu,
                               multi_task_gang && machine.spot, !machine.has_image(job.spec.image),
                               !multi_task_gang && !machine.spot, left.cpu, left.mem,
                               cluster.next_heartbeat_in_s(machine, now));
    }
    bool is_candidate(Index job_index, Index machine_index) const {
        auto& job = *cluster.jobs[job_index];
        auto* machine = cluster.machines[machine_index].get();
        if (!machine || !usable(*machine) || !cluster.machine_allowed(job.spec, *machine) ||
            !job.spec.demand.fits_in(machine->free_resources()))
            return false;
        if (held_machines.count(machine_index) &&
            held_machines.at(machine_index) > job.effective_priority)
            return false;
        if (machine->reserved_for == kNone || machine->reserved_for == job_index ||
            machine->reserved_until <= now)
            return true;
        auto* owner = cluster.jobs[machine->reserved_for].get();
        return !owner || owner->effective_priority < job.effective_priority;
    }
    // Returns the best machine in the zone (kNone: any zone), or kNone. `image_only`: only machines
    // that have the job's image or are fetching it.
    Index best_machine(Index job_index, const ZoneConstraint& zone_constraint, Index zone,
                       bool image_only = false) const {
        auto& job = *cluster.jobs[job_index];
        Index best = kNone;
        for (Index i = 0; i < cluster.machines.size(); ++i) {
            if (!is_candidate(job_index, i)) continue;
            auto& machine = *cluster.machines[i];
            if (!zone_constraint.allows(machine.zone) || (zone != kNone && machine.zone != zone) ||
                !cluster.leaves_gpus_usable(job.spec, machine) ||
                (image_only && !has_or_fetches_image(cluster, machine, job.spec.image)))
                continue;
            if (best == kNone || fit_key(job, i) < fit_key(job, best)) best = i;
        }
        return best;
    }
    void place_array(Index job_index, bool image_only) {
        auto& job = *cluster.jobs[job_index];
        ZoneConstraint zone_constraint(cluster, job);
        for (uint32_t t = 0; t < job.tasks.size(); ++t) {
            if (job.tasks[t].state != TaskState::Pending) continue;
            if (!cluster.within_limit(cluster.teams[job.spec.team], job.spec.demand)) return;
            auto chosen = best_machine(job_index, zone_constraint, kNone, image_only);
            if (chosen == kNone) return;
            cluster.place(job_index, t, chosen, job.tasks[t].attempt + 1, now);
            zone_constraint.add(cluster.machines[chosen]->zone);
            placements.push_back({job_index, t, chosen, job.tasks[t].attempt});
        }
    }
    void place_gang(Index job_index) {
        auto& job = *cluster.jobs[job_index];
        if (!cluster.within_limit(cluster.teams[job.spec.team], job.spec.demand * job.pending))
            return;
        std::vector<Index> zones{kNone};
        if (job.spec.one_zone) {
            zones.clear();
            for (Index i = 0; i < cluster.machines.size(); ++i) {
                if (is_candidate(job_index, i) &&
                    std::find(zones.begin(), zones.end(), cluster.machines[i]->zone) == zones.end())
                    zones.push_back(cluster.machines[i]->zone);
            }
            std::map<Index, int64_t> tasks_near_image;  // by zone
            for (auto i : open_machines) {
                auto& machine = *cluster.machines[i];
                if (cluster.machine_allowed(job.spec, machine) &&
                    has_or_fetches_image(cluster, machine, job.spec.image))
                    tasks_near_image[machine.zone] +=
                        job.spec.demand.max_copies_in(machine.free_resources());
            }
            for (auto& [zone, tasks] : tasks_near_image)
                tasks = job.spec.image_gb > 0 ? std::min<int64_t>(tasks, job.pending) : 0;
            std::stable_sort(zones.begin(), zones.end(), [&](Index a, Index b) {
                return tasks_near_image[a] > tasks_near_image[b];
            });
        }
        for (auto zone : zones) {
            ZoneConstraint zone_constraint(cluster, job);
            std::vector<Index> chosen;
            for (uint32_t n = 0; n < job.pending; ++n) {
                auto best = best_machine(job_index, zone_constraint, zone);
                if (best == kNone) break;
                chosen.push_back(best);
                zone_constraint.add(cluster.machines[best]->zone);
                cluster.machines[best]->used += job.spec.demand;
            }
            for (auto i : chosen) cluster.machines[i]->used -= job.spec.demand;
            if (chosen.size() != job.pending) continue;
            ++job.gang_attempt;
            for (uint32_t t = 0; t < job.tasks.size(); ++t) {
                cluster.place(job_index, t, chosen[t], job.gang_attempt, now);
                placements.push_back({job_index, t, chosen[t], job.gang_attempt});
            }
            return;
        }
    }
    // Holds one machine for each pending task of the job: of the machines with room for the
    // smallest waiting task but not for a task of this job, those that lack the fewest CPUs.
    void hold_machines(Index job_index) {
        auto& job = *cluster.jobs[job_index];
        auto& demand = job.spec.demand;
        if (job.pending == 0 || !cluster.within_limit(cluster.teams[job.spec.team], demand)) return;
        std::set<std::pair<int64_t, Index>> partial_fits;  // missing CPUs and machine
        for (auto i : open_machines) {
            auto& machine = *cluster.machines[i];
            if (!demand.fits_in(machine.free_resources()) &&
                demand.max_copies_in(machine.size) >= 2 &&
                (!held_machines.count(i) || held_machines.at(i) < job.effective_priority) &&
                cluster.machine_allowed(job.spec, machine) &&
                !cluster.must_leave_room_for_gpus(job.spec, machine.type))
                partial_fits.emplace(demand.cpu - machine.free_resources().cpu, i);
        }
        uint32_t n = 0;
        for (auto& [missing_cpu, i] : partial_fits)
            if (n++ < job.pending) held_machines[i] = job.effective_priority;
    }
    const std::vector<Placement>& run() {
        auto ranks = waiting_ranks(cluster, now);
        for (Index i = 0; i < cluster.machines.size(); ++i) {
            auto* machine = cluster.machines[i].get();
            if (!machine || !usable(*machine)) continue;
            Resources smallest{1 << 30, 1 << 30, 1 << 30};
            for (auto& rank : ranks)
                for (auto j : rank) {
                    auto& demand = cluster.jobs[j]->spec.demand;
                    smallest = {std::min(smallest.cpu, demand.cpu),
                                std::min(smallest.gpu, demand.gpu),
                                std::min(smallest.mem, demand.mem)};
                }
            if (smallest.fits_in(machine->free_resources())) open_machines.push_back(i);
        }
        for (auto& rank : ranks) {
            if (rank.size() > 1)
                for (auto j : rank)
                    if (cluster.jobs[j]->spec.kind != JobKind::Gang &&
                        cluster.jobs[j]->spec.image_gb > 0)
                        place_array(j, true);
            for (auto j : rank) {
                cluster.jobs[j]->spec.kind == JobKind::Gang ? place_gang(j) : place_array(j, false);
                hold_machines(j);
            }
        }
        return placements;
    }
};

}  // namespace weirmill::test
