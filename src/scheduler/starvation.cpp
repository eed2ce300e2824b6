#include "scheduler/starvation.h"

#include <algorithm>
#include <array>
#include <optional>

namespace weirmill {

namespace {

constexpr std::array<const char*, kBlockedByKinds> kNames = {
    "nothing", "back_off", "spared", "reserved", "quarantined", "unheard", "leaving"};

BlockedBy holds(const ClusterState& cluster, const Machine& m, const Usable& usable, Index job,
                double now) {
    if (m.interruption_at >= 0 || m.draining || m.terminating) return BlockedBy::Leaving;
    if (m.quarantined_until > now) return BlockedBy::Quarantined;
    if (!usable(m)) return BlockedBy::Unheard;
    if (m.reserved(now) && m.reserved_for != job) return BlockedBy::Reserved;
    if (!cluster.leaves_gpus_usable(cluster.jobs[job]->spec, m)) return BlockedBy::Spared;
    return cluster.jobs[job]->not_before > now ? BlockedBy::BackOff : BlockedBy::Nothing;
}

// The machine that is held least of those that hold the whole job together; nothing: they don't.
std::optional<StarvedJob> starved(const ClusterState& cluster, const std::vector<Index>& roomy,
                                  const Usable& usable, Index j, double now) {
    auto& job = *cluster.jobs[j];
    auto& spec = job.spec;
    // Of an array one task is enough to begin; all others begin whole.
    int64_t wanted = spec.kind == JobKind::Array ? 1 : job.pending;
    if (!cluster.within_limit(cluster.teams[spec.team], spec.demand * wanted)) return {};
    struct Room {
        Index machine, zone;
        BlockedBy held;
        int64_t tasks;
    };
    std::vector<Room> rooms;
    for (auto i : roomy) {
        auto& m = *cluster.machines[i];
        if (!spec.demand.fits_in(m.room()) || !cluster.machine_allowed(spec, m)) continue;
        auto n = std::min<int64_t>(spec.demand.times_in(m.room()), wanted);
        rooms.push_back({i, m.zone, holds(cluster, m, usable, j, now), n});
    }
    std::sort(rooms.begin(), rooms.end(), [](auto& a, auto& b) { return a.held < b.held; });
    int64_t all = 0;
    std::map<Index, int64_t> in_zone;
    int64_t most_in_zone = spec.spread ? (spec.tasks + 1) / 2 : wanted;
    for (auto& room : rooms) {
        auto& here = in_zone[room.zone];
        auto n = std::min(room.tasks, most_in_zone - here);
        here += n;
        all += n;
        // Held by the most that any of the machines needed for it is.
        if ((spec.one_zone ? here : all) >= wanted) return StarvedJob{j, room.machine, room.held};
    }
    return {};
}

}  // namespace

std::vector<StarvedJob> starved_jobs(const ClusterState& cluster, const Usable& usable, double now,
                                     double waits_s) {
    std::vector<Index> waiting;
    Resources least;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || !job->active() || job->waits || job->placed > 0 || job->done > 0 ||
            job->pending == 0)
            continue;
        if (now - job->came_at() < waits_s) continue;
        auto& demand = job->spec.demand;
        least = waiting.empty()
                    ? demand
                    : Resources{std::min(least.cpu, demand.cpu), std::min(least.gpu, demand.gpu),
                                std::min(least.mem, demand.mem)};
        waiting.push_back(j);
    }
    // The machines that could hold any of them: where many wait, most are full, and need not be
    // looked at for each.
    std::vector<Index> roomy;
    for (Index i = 0; i < cluster.machines.size() && !waiting.empty(); ++i) {
        auto* m = cluster.machines[i].get();
        if (m && m->up && !m->abandoned && m->zone != kNone && least.fits_in(m->room()))
            roomy.push_back(i);
    }
    std::vector<StarvedJob> out;
    for (auto j : waiting)
        if (auto s = starved(cluster, roomy, usable, j, now)) out.push_back(*s);
    return out;
}

void starved_gauges(const std::vector<StarvedJob>& starved, std::map<std::string, double>& out) {
    std::array<double, kBlockedByKinds> count{};
    for (auto& s : starved) ++count[static_cast<size_t>(s.held)];
    for (size_t k = 0; k < kBlockedByKinds; ++k)
        out[std::string("jobs_starved_") + kNames[k]] = count[k];
    out["jobs_starved"] = static_cast<double>(starved.size());
}

}  // namespace weirmill
