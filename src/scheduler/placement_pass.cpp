#include "scheduler/placement_pass.h"

#include <algorithm>
#include <tuple>

#include "scheduler/eligibility.h"

namespace weirmill {

PlacementPass::PlacementPass(ClusterState& cluster, const Usable& usable,
                             const std::vector<Index>& waiting, double now,
                             const std::vector<Headroom>& headroom)
    : cluster_(cluster),
      now_(now),
      open_(find_open_machines(usable, waiting)),
      queues_(cluster, open_, waiting, now) {
    for (auto j : waiting) lowest_priority_ = std::min(lowest_priority_, cluster.jobs[j]->priority);
    for (auto i : open_) {
        auto& m = *cluster.machines[i];
        if (m.reserved(now)) reserved_for_.push_back(m.reserved_for);
    }
    keep_headroom(headroom);
}

std::vector<Index> PlacementPass::find_open_machines(const Usable& usable,
                                                     const std::vector<Index>& waiting) const {
    if (waiting.empty()) return {};
    std::vector<Index> out;
    auto least = smallest_demand(cluster_, waiting);
    for (Index i = 0; i < cluster_.machines.size(); ++i) {
        auto* m = cluster_.machines[i].get();
        if (m && least.fits_in(m->room()) && usable(*m)) out.push_back(i);
    }
    return out;
}

void PlacementPass::keep_headroom(const std::vector<Headroom>& headroom) {
    for (auto& h : headroom) {
        if (h.at_once <= 0) continue;
        KeptHeadroom kept{h.like, -h.at_once};
        for (auto i : open_) {
            auto& m = *cluster_.machines[i];
            if (is_headroom(kept, m)) kept.surplus += h.like->demand.max_copies_in(m.size);
        }
        headroom_.push_back(kept);
    }
}

bool PlacementPass::is_headroom(const KeptHeadroom& kept, const Machine& m) const {
    return m.tasks.empty() && m.reserved_for == kNone && machine_suits(cluster_, *kept.like, m);
}

// A job that goes first, could go wherever this one can, and needs no more, found nothing.
bool PlacementPass::found_none_before(const JobSpec& spec) const {
    return std::ranges::any_of(
        exhausted_, [&](auto& c) { return c.same_places(spec) && c.demand.fits_in(spec.demand); });
}

FitQueue* PlacementPass::candidates(Index index, bool near) {
    auto& spec = cluster_.jobs[index]->spec;
    bool has_reservation = std::ranges::find(reserved_for_, index) != reserved_for_.end();
    if (!has_reservation && found_none_before(spec)) return nullptr;
    auto& queue = queues_.of(index, near);
    if (queue.room() > 0) return &queue;
    if (!near) exhausted_.emplace_back(spec);
    return nullptr;
}

// Whether tasks of the job may take room on the machine, which may be held, kept as headroom or
// reserved for others.
bool PlacementPass::may_use(Index index, Index machine) const {
    auto& job = *cluster_.jobs[index];
    if (auto held = held_.find(machine); held != held_.end() && held->second > job.priority)
        return false;
    auto& m = *cluster_.machines[machine];
    for (auto& kept : headroom_)
        if (kept.surplus <= 0 && job.priority < kept.like->priority && is_headroom(kept, m))
            return false;
    if (!m.reserved(now_) || m.reserved_for == index) return true;
    auto* owner = cluster_.jobs[m.reserved_for].get();
    return !owner || owner->priority < job.priority;
}

std::vector<Index> PlacementPass::zone_order(Index index) {
    auto& job = *cluster_.jobs[index];
    std::map<Index, int64_t> near_tasks;
    // With one zone there is nothing to choose.
    if (job.spec.image_gb > 0 && queues_.of(index, false).zones().size() > 1) {
        auto& queue = queues_.of(index, true);
        for (auto& [z, zone] : queue.zones())
            near_tasks[z] = std::min<int64_t>(zone.room, job.pending);
    }
    auto& queue = queues_.of(index, false);
    std::vector<std::tuple<int64_t, Index, Index>> order;
    for (auto& [z, zone] : queue.zones()) {
        auto i = FitQueues::lowest(queue, zone, [&](Index m) { return may_use(index, m); });
        if (i != kNone) order.emplace_back(-near_tasks[z], i, z);
    }
    std::ranges::sort(order);
    std::vector<Index> out;
    out.reserve(order.size());
    for (auto& [tasks, machine, zone] : order) out.push_back(zone);
    return out;
}

// Two tasks or more fit a machine of some type.
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

void PlacementPass::hold_partial_room(const Job& job) {
    if (job.priority == lowest_priority_) return;  // there is none that would pass over them
    if (!shares_machines(job.spec)) return;
    auto& demand = job.spec.demand;
    std::vector<std::pair<int64_t, Index>> partly_free;  // CPUs that one task lacks; machine
    for (auto i : open_) {
        auto& m = *cluster_.machines[i];
        if (demand.fits_in(m.room()) || demand.max_copies_in(m.size) < 2) continue;
        if (held_for_others(i, job.priority) || !machine_suits(cluster_, job.spec, m)) continue;
        partly_free.emplace_back(demand.cpu - m.room().cpu, i);
    }
    size_t n = std::min<size_t>(partly_free.size(), job.pending);
    std::partial_sort(partly_free.begin(), partly_free.begin() + static_cast<long>(n),
                      partly_free.end());
    for (size_t k = 0; k < n; ++k) held_[partly_free[k].second] = job.priority;
}

// The zone whose best entry fits best, of those that the rule allows; null: none has room.
FitQueue::Zone* PlacementPass::best_zone(FitQueue& queue, Index only, const ZoneRule& rule) const {
    FitQueue::Zone* best = nullptr;
    const FitQueue::Entry* best_entry = nullptr;
    for (auto& [z, zone] : queue.zones()) {
        if ((only != kNone && z != only) || !rule.allows(z)) continue;
        auto* entry = queues_.top(zone);
        if (!entry || (best_entry && !(*best_entry > *entry))) continue;
        best_entry = entry;
        best = &zone;
    }
    return best;
}

void PlacementPass::task_placed(Index machine) {
    queues_.taken(machine);
    auto& m = *cluster_.machines[machine];
    if (m.tasks.size() > 1 || m.reserved_for != kNone) return;
    for (auto& kept : headroom_)
        if (machine_suits(cluster_, *kept.like, m))
            kept.surplus -= kept.like->demand.max_copies_in(m.size);
}

Resources PlacementPass::capacity_for(const JobSpec& spec) {
    for (auto& [constraints, capacity] : capacities_)
        if (constraints.demand == spec.demand && constraints.same_places(spec)) return capacity;
    int64_t tasks = 0;
    for (auto& m : cluster_.machines)
        if (m && !m->abandoned && !m->terminating && machine_suits(cluster_, spec, *m))
            tasks += spec.demand.max_copies_in(m->size);
    capacities_.emplace_back(spec, spec.demand * tasks);
    return capacities_.back().second;
}

}  // namespace weirmill
