#include "scheduler/placement_pass.h"

#include <algorithm>
#include <tuple>

#include "scheduler/eligibility.h"

namespace weirmill {

PlacementPass::PlacementPass(ClusterState& cluster, const MachineFilter& usable,
                             const std::vector<Index>& waiting, double now,
                             const std::vector<Headroom>& headroom)
    : cluster_(cluster),
      now_(now),
      open_machines_(find_open_machines(usable, waiting)),
      queues_(cluster, open_machines_, waiting, now) {
    for (auto j : waiting)
        lowest_priority_ = std::min(lowest_priority_, cluster.jobs[j]->effective_priority);
    for (auto i : open_machines_) {
        auto& m = *cluster.machines[i];
        if (m.reserved(now)) jobs_with_reservation_.push_back(m.reserved_for);
    }
    keep_headroom(headroom);
}

std::vector<Index> PlacementPass::find_open_machines(const MachineFilter& usable,
                                                     const std::vector<Index>& waiting) const {
    if (waiting.empty()) return {};
    std::vector<Index> out;
    auto smallest = smallest_demand(cluster_, waiting);
    for (Index i = 0; i < cluster_.machines.size(); ++i) {
        auto* m = cluster_.machines[i].get();
        if (m && smallest.fits_in(m->free_resources()) && usable(*m)) out.push_back(i);
    }
    return out;
}

void PlacementPass::keep_headroom(const std::vector<Headroom>& headroom) {
    for (auto& h : headroom) {
        if (h.tasks_on_empty_machines <= 0) continue;
        KeptHeadroom kept{h.spec, -h.tasks_on_empty_machines};
        for (auto i : open_machines_) {
            auto& m = *cluster_.machines[i];
            if (is_headroom(kept, m)) kept.surplus += h.spec->demand.max_copies_in(m.size);
        }
        headroom_.push_back(kept);
    }
}

bool PlacementPass::is_headroom(const KeptHeadroom& kept, const Machine& m) const {
    return m.tasks.empty() && m.reserved_for == kNone && machine_eligible(cluster_, *kept.spec, m);
}

// Returns whether an earlier job that may use the same machines and needs no more found no room.
bool PlacementPass::known_exhausted(const JobSpec& spec) const {
    return std::ranges::any_of(exhausted_, [&](auto& c) {
        return c.same_machines_allowed(spec) && c.demand.fits_in(spec.demand);
    });
}

FitQueue* PlacementPass::candidates(Index index, bool image_machines_only) {
    auto& spec = cluster_.jobs[index]->spec;
    bool has_reservation =
        std::ranges::find(jobs_with_reservation_, index) != jobs_with_reservation_.end();
    if (!has_reservation && known_exhausted(spec)) return nullptr;
    auto& queue = queues_.queue_for(index, image_machines_only);
    if (queue.free_slots() > 0) return &queue;
    if (!image_machines_only) exhausted_.emplace_back(spec);
    return nullptr;
}

// Returns whether tasks of the job may use the machine, which may be held for other jobs, kept as
// headroom or reserved.
bool PlacementPass::may_use(Index index, Index machine) const {
    auto& job = *cluster_.jobs[index];
    if (auto held = held_.find(machine);
        held != held_.end() && held->second > job.effective_priority)
        return false;
    auto& m = *cluster_.machines[machine];
    for (auto& kept : headroom_)
        if (kept.surplus <= 0 && job.effective_priority < kept.spec->priority &&
            is_headroom(kept, m))
            return false;
    if (!m.reserved(now_) || m.reserved_for == index) return true;
    auto* owner = cluster_.jobs[m.reserved_for].get();
    return !owner || owner->effective_priority < job.effective_priority;
}

std::vector<Index> PlacementPass::zone_order(Index index) {
    auto& job = *cluster_.jobs[index];
    std::map<Index, int64_t> tasks_with_image;
    // The images don't matter if there is only one zone.
    if (job.spec.image_gb > 0 && queues_.queue_for(index, false).zones().size() > 1) {
        auto& queue = queues_.queue_for(index, true);
        for (auto& [z, zone] : queue.zones())
            tasks_with_image[z] = std::min<int64_t>(zone.free_slots, job.pending);
    }
    auto& queue = queues_.queue_for(index, false);
    std::vector<std::tuple<int64_t, Index, Index>> order;
    for (auto& [z, zone] : queue.zones()) {
        auto i = FitQueues::lowest_machine(queue, zone, [&](Index m) { return may_use(index, m); });
        if (i != kNone) order.emplace_back(-tasks_with_image[z], i, z);
    }
    std::ranges::sort(order);
    std::vector<Index> out;
    out.reserve(order.size());
    for (auto& [tasks, machine, zone] : order) out.push_back(zone);
    return out;
}

// Returns whether two or more tasks fit on a machine of some type.
bool PlacementPass::shares_machines(const JobSpec& spec) const {
    for (Index t = 0; t < cluster_.types.size(); ++t)
        if (spec.demand.max_copies_in(cluster_.types[t].type.size) >= 2 &&
            cluster_.type_fits(spec, t))
            return true;
    return false;
}

bool PlacementPass::held_for_others(Index machine, Priority priority) const {
    auto held = held_.find(machine);
    return held != held_.end() && held->second >= priority;
}

void PlacementPass::hold_partial_capacity(const Job& job) {
    if (job.effective_priority == lowest_priority_) return;  // no waiting job has lower priority
    if (!shares_machines(job.spec)) return;
    auto& demand = job.spec.demand;
    std::vector<std::pair<int64_t, Index>> partly_free;  // CPUs that a task lacks there; machine
    for (auto i : open_machines_) {
        auto& m = *cluster_.machines[i];
        if (demand.fits_in(m.free_resources()) || demand.max_copies_in(m.size) < 2) continue;
        if (held_for_others(i, job.effective_priority) || !machine_eligible(cluster_, job.spec, m))
            continue;
        partly_free.emplace_back(demand.cpu - m.free_resources().cpu, i);
    }
    size_t hold_count = std::min<size_t>(partly_free.size(), job.pending);
    std::partial_sort(partly_free.begin(), partly_free.begin() + static_cast<long>(hold_count),
                      partly_free.end());
    for (size_t k = 0; k < hold_count; ++k) held_[partly_free[k].second] = job.effective_priority;
}

// Returns the allowed zone with the best-fitting machine, or null if no allowed zone has room.
FitQueue::ZoneQueue* PlacementPass::best_zone(FitQueue& queue, Index only_zone,
                                              const ZoneConstraint& zones) const {
    FitQueue::ZoneQueue* best = nullptr;
    const FitQueue::Entry* best_entry = nullptr;
    for (auto& [z, zone] : queue.zones()) {
        if ((only_zone != kNone && z != only_zone) || !zones.allows(z)) continue;
        auto* entry = queues_.top(zone);
        if (!entry || (best_entry && !(*best_entry > *entry))) continue;
        best_entry = entry;
        best = &zone;
    }
    return best;
}

void PlacementPass::record_placement(Index machine) {
    queues_.record_capacity_taken(machine);
    auto& m = *cluster_.machines[machine];
    if (m.tasks.size() > 1 || m.reserved_for != kNone) return;
    for (auto& kept : headroom_)
        if (machine_eligible(cluster_, *kept.spec, m))
            kept.surplus -= kept.spec->demand.max_copies_in(m.size);
}

Resources PlacementPass::capacity_for(const JobSpec& spec) {
    for (auto& [constraints, capacity] : capacities_)
        if (constraints.demand == spec.demand && constraints.same_machines_allowed(spec))
            return capacity;
    int64_t tasks = 0;
    for (auto& m : cluster_.machines)
        if (m && !m->abandoned && !m->terminating && machine_eligible(cluster_, spec, *m))
            tasks += spec.demand.max_copies_in(m->size);
    capacities_.emplace_back(spec, spec.demand * tasks);
    return capacities_.back().second;
}

}  // namespace weirmill
