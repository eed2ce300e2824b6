#include "scheduler/starvation.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>

namespace weirmill {

namespace {

// As in the names of the gauges, in the order of BlockedBy.
constexpr std::array<const char*, kBlockedByKinds> kNames = {
    "nothing", "back_off", "spared", "reserved", "quarantined", "unheard", "leaving"};

// What one machine offers to a job.
struct Offer {
    Index machine;
    Index zone;
    BlockedBy blocked_by;
    int64_t tasks;
};

BlockedBy blocked_by(const ClusterState& cluster, const Machine& m, const Usable& usable, Index job,
                     double now) {
    if (m.interruption_at >= 0 || m.draining || m.terminating) return BlockedBy::Leaving;
    if (m.quarantined_until > now) return BlockedBy::Quarantined;
    if (!usable(m)) return BlockedBy::Unheard;
    if (m.reserved(now) && m.reserved_for != job) return BlockedBy::Reserved;
    if (!cluster.leaves_gpus_usable(cluster.jobs[job]->spec, m)) return BlockedBy::Spared;
    return cluster.jobs[job]->not_before > now ? BlockedBy::BackOff : BlockedBy::Nothing;
}

// Room for tasks of the job, at most `wanted` on each machine; the least blocked first.
std::vector<Offer> offers(const ClusterState& cluster, const std::vector<Index>& roomy,
                          const Usable& usable, Index index, int64_t wanted, double now) {
    auto& spec = cluster.jobs[index]->spec;
    std::vector<Offer> out;
    for (auto i : roomy) {
        auto& m = *cluster.machines[i];
        if (!spec.demand.fits_in(m.room()) || !cluster.machine_allowed(spec, m)) continue;
        auto tasks = std::min<int64_t>(spec.demand.max_copies_in(m.room()), wanted);
        out.push_back({i, m.zone, blocked_by(cluster, m, usable, index, now), tasks});
    }
    std::ranges::sort(out, [](auto& a, auto& b) { return a.blocked_by < b.blocked_by; });
    return out;
}

// The first of the offers that together with those before it holds the whole job; nothing: they
// don't.
std::optional<StarvedJob> starved(const ClusterState& cluster, const std::vector<Index>& roomy,
                                  const Usable& usable, Index index, double now) {
    auto& job = *cluster.jobs[index];
    auto& spec = job.spec;
    // Of an array one task is enough to begin; all others begin whole.
    int64_t wanted = spec.kind == JobKind::Array ? 1 : job.pending;
    if (!cluster.within_limit(cluster.teams[spec.team], spec.demand * wanted)) return std::nullopt;
    int64_t all = 0;
    std::map<Index, int64_t> in_zone;
    int64_t most_in_zone = spec.spread ? (spec.tasks + 1) / 2 : wanted;
    for (auto& offer : offers(cluster, roomy, usable, index, wanted, now)) {
        auto& here = in_zone[offer.zone];
        auto n = std::min(offer.tasks, most_in_zone - here);
        here += n;
        all += n;
        // Blocked by the strongest reason among the machines that it needs.
        if ((spec.one_zone ? here : all) >= wanted)
            return StarvedJob{index, offer.machine, offer.blocked_by};
    }
    return std::nullopt;
}

// Jobs of which nothing was placed for so long since they could begin.
std::vector<Index> jobs_not_begun(const ClusterState& cluster, double now, double waits_s) {
    std::vector<Index> out;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (!job || !job->active() || job->waits || job->pending == 0) continue;
        if (job->placed > 0 || job->done > 0) continue;
        if (now - job->came_at() >= waits_s) out.push_back(j);
    }
    return out;
}

}  // namespace

std::vector<StarvedJob> starved_jobs(const ClusterState& cluster, const Usable& usable, double now,
                                     double waits_s) {
    auto waiting = jobs_not_begun(cluster, now, waits_s);
    if (waiting.empty()) return {};
    // The machines that could hold any of them: where many wait, most are full, and need not be
    // looked at for each.
    auto least = smallest_demand(cluster, waiting);
    std::vector<Index> roomy;
    for (Index i = 0; i < cluster.machines.size(); ++i) {
        auto* m = cluster.machines[i].get();
        if (m && m->up && !m->abandoned && m->zone != kNone && least.fits_in(m->room()))
            roomy.push_back(i);
    }
    std::vector<StarvedJob> out;
    for (auto j : waiting)
        if (auto s = starved(cluster, roomy, usable, j, now)) out.push_back(*s);
    return out;
}

std::vector<Gauge> starved_gauges(const std::vector<StarvedJob>& starved) {
    std::array<double, kBlockedByKinds> count{};
    for (auto& s : starved) ++count[static_cast<size_t>(s.blocked_by)];
    std::vector<Gauge> out;
    out.reserve(kBlockedByKinds + 1);
    for (size_t k = 0; k < kBlockedByKinds; ++k)
        out.push_back({std::string("jobs_starved_") + kNames[k], count[k]});
    out.push_back({"jobs_starved", static_cast<double>(starved.size())});
    return out;
}

}  // namespace weirmill
