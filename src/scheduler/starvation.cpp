#include "scheduler/starvation.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>

namespace weirmill {

namespace {

// Part of the gauge names, in the order of BlockedBy.
constexpr std::array<const char*, kBlockedByCount> kGaugeNames = {
    "nothing", "back_off", "spared", "reserved", "quarantined", "unheard", "leaving"};

// A machine with room for tasks of a job.
struct CandidateMachine {
    Index machine;
    Index zone;
    BlockedBy blocked_by;
    int64_t free_slots;
};

BlockedBy blocked_by(const ClusterState& cluster, const Machine& m, const MachineFilter& usable,
                     Index job, double now) {
    if (m.interruption_at >= 0 || m.draining || m.terminating) return BlockedBy::Leaving;
    if (m.quarantined_until > now) return BlockedBy::Quarantined;
    if (!usable(m)) return BlockedBy::Unreachable;
    if (m.reserved(now) && m.reserved_for != job) return BlockedBy::Reserved;
    if (!cluster.leaves_gpus_usable(cluster.jobs[job]->spec, m)) return BlockedBy::ReservedForGpus;
    return cluster.jobs[job]->not_before > now ? BlockedBy::BackOff : BlockedBy::Nothing;
}

// Returns the machines with room for tasks of the job, least blocked first, with at most `needed`
// tasks each.
std::vector<CandidateMachine> least_blocked_first(const ClusterState& cluster,
                                                  const std::vector<Index>& machines_with_room,
                                                  const MachineFilter& usable, Index index,
                                                  int64_t needed, double now) {
    auto& spec = cluster.jobs[index]->spec;
    std::vector<CandidateMachine> out;
    for (auto i : machines_with_room) {
        auto& m = *cluster.machines[i];
        if (!spec.demand.fits_in(m.free_resources()) || !cluster.machine_allowed(spec, m)) continue;
        auto free_slots = std::min<int64_t>(spec.demand.max_copies_in(m.free_resources()), needed);
        out.push_back({i, m.zone, blocked_by(cluster, m, usable, index, now), free_slots});
    }
    std::ranges::sort(out, [](auto& a, auto& b) { return a.blocked_by < b.blocked_by; });
    return out;
}

// Goes through the machines, least blocked first, until they hold all tasks that the job needs.
// Returns the last of them and the reason that blocks it, or nothing if there is not enough room.
std::optional<StarvedJob> starved(const ClusterState& cluster,
                                  const std::vector<Index>& machines_with_room,
                                  const MachineFilter& usable, Index index, double now) {
    auto& job = *cluster.jobs[index];
    auto& spec = job.spec;
    // An array starts with one task, other jobs start as a whole.
    int64_t needed = spec.kind == JobKind::Array ? 1 : job.pending;
    if (!cluster.within_limit(cluster.teams[spec.team], spec.demand * needed)) return std::nullopt;
    int64_t total = 0;
    std::map<Index, int64_t> tasks_by_zone;
    int64_t max_in_zone = spec.spread ? (spec.tasks + 1) / 2 : needed;
    for (auto& candidate :
         least_blocked_first(cluster, machines_with_room, usable, index, needed, now)) {
        auto& zone_tasks = tasks_by_zone[candidate.zone];
        auto n = std::min(candidate.free_slots, max_in_zone - zone_tasks);
        zone_tasks += n;
        total += n;
        // The machines are sorted, so none that the job needs is blocked by a stronger reason.
        if ((spec.one_zone ? zone_tasks : total) >= needed)
            return StarvedJob{index, candidate.machine, candidate.blocked_by};
    }
    return std::nullopt;
}

// Returns the jobs that have been ready for at least `min_wait_s` seconds and have neither placed
// nor finished tasks.
std::vector<Index> jobs_not_started(const ClusterState& cluster, double now, double min_wait_s) {
    std::vector<Index> out;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || !job->active() || job->waits_for_dependencies || job->pending == 0) continue;
        if (job->placed > 0 || job->done > 0) continue;
        if (now - job->schedulable_since_steady() >= min_wait_s) out.push_back(j);
    }
    return out;
}

}  // namespace

std::vector<StarvedJob> starved_jobs(const ClusterState& cluster, const MachineFilter& usable,
                                     double now, double min_wait_s) {
    auto waiting = jobs_not_started(cluster, now, min_wait_s);
    if (waiting.empty()) return {};
    // When many jobs wait, most machines are full. Filtering those out once keeps them from being
    // examined again for each job.
    auto smallest = smallest_demand(cluster, waiting);
    std::vector<Index> machines_with_room;
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (m && m->up && !m->abandoned && m->zone != kNone &&
            smallest.fits_in(m->free_resources()))
            machines_with_room.push_back(i);
    }
    std::vector<StarvedJob> out;
    for (auto j : waiting)
        if (auto s = starved(cluster, machines_with_room, usable, j, now)) out.push_back(*s);
    return out;
}

std::vector<Gauge> starved_gauges(const std::vector<StarvedJob>& starved) {
    std::array<double, kBlockedByCount> count{};
    for (auto& s : starved) ++count[static_cast<size_t>(s.blocked_by)];
    std::vector<Gauge> out;
    out.reserve(kBlockedByCount + 1);
    for (size_t k = 0; k < kBlockedByCount; ++k)
        out.push_back({std::string("jobs_starved_") + kGaugeNames[k], count[k]});
    out.push_back({"jobs_starved", static_cast<double>(starved.size())});
    return out;
}

}  // namespace weirmill
