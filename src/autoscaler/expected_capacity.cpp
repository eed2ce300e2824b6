#include "autoscaler/expected_capacity.h"

#include <algorithm>

#include "autoscaler/autoscaler.h"
#include "autoscaler/suitability.h"

namespace weirmill {

namespace {

// A machine that an earlier leader requested is likely to report for the first time within this.
constexpr double kFirstHeartbeat_s = 15;
// A task that was told to stop is taken to be gone after this.
constexpr double kStopping_s = 3;
// The least that is left of a task's run, as a share of its expected run, or of the longer one that
// it has had.
constexpr double kMinRemainingShare = 0.15;
// The least that is left of a boot, as a share of the type's boot time.
constexpr double kMinRemainingBoot = 0.2;
// A zone is silent if its silent machines outnumber the others by more than this.
constexpr int kMaxSilentExcess = 2;

bool is_booting(const Machine& m, double now) {
    // A machine that a change of leader has just revealed is likely to report soon.
    return !m.up && (m.status == MachineStatus::Booting || now - m.added_at < kFirstHeartbeat_s);
}

double remaining_boot_s(const ClusterState& cluster, const Machine& m, double now) {
    const double boot_s = cluster.types[m.type].type.boot_s;
    return std::max(kMinRemainingBoot * boot_s,
                    m.requested_at + cluster.boot_factor * boot_s - now);
}

double remaining_task_s(const ClusterState& cluster, const Machine& m, const JobSpec& spec,
                        const Task& task, double now) {
    if (task.stopping) return kStopping_s;
    const double run_s = cluster.expected_run_s(spec);
    if (task.running_at > 0) return remaining_run_s(run_s, now - task.running_at);
    return run_s + std::max(0.0, cluster.image_fetch_s(spec, m.type) - (now - task.placed_at));
}

bool ends_before(const TaskEnd& a, const TaskEnd& b) { return a.in_s < b.in_s; }

// Services do not end.
std::vector<TaskEnd> task_ends(const ClusterState& cluster, const Machine& m, double now) {
    std::vector<TaskEnd> ends;
    for (const auto& ref : m.tasks) {
        const auto& job = *cluster.jobs[ref.job];
        if (job.spec.kind == JobKind::Service) continue;
        ends.push_back(
            {remaining_task_s(cluster, m, job.spec, job.tasks[ref.task], now), job.spec.demand});
    }
    std::ranges::sort(ends, ends_before);
    return ends;
}

}  // namespace

EarliestStart ExpectedCapacity::earliest_start(const Resources& demand) const {
    auto sum = room;
    EarliestStart start{from_s, 0};
    while (!demand.fits_in(sum)) {
        if (start.ends == ends.size()) return {kNever_s, start.ends};
        const auto& end = ends[start.ends];
        sum += end.frees;
        start.in_s = std::max(start.in_s, end.in_s);
        ++start.ends;
    }
    return start;
}

void ExpectedCapacity::assign(const Resources& demand, const EarliestStart& start,
                              double duration_s) {
    for (size_t i = 0; i < start.ends; ++i) room += ends[i].frees;
    ends.erase(ends.begin(), ends.begin() + static_cast<long>(start.ends));
    room -= demand;
    if (start.ends > 0) from_s = std::max(from_s, start.in_s);
    const TaskEnd end{start.in_s + duration_s, demand};
    ends.insert(std::ranges::upper_bound(ends, end, ends_before), end);
}

bool capacity_suits(const ClusterState& cluster, const JobSpec& spec, const ExpectedCapacity& c) {
    return market_suits(spec, c.spot, c.zone) && type_suits(cluster, spec, c.type);
}

double remaining_run_s(double expected_s, double ran_s) {
    return std::max(kMinRemainingShare * std::max(expected_s, ran_s), expected_s - ran_s);
}

std::vector<ExpectedCapacity> expected_capacity(const ClusterState& cluster, const Usable& usable,
                                                double now) {
    std::vector<ExpectedCapacity> out;
    for (const auto& m : cluster.machines) {
        if (!m || m->type == kNone || m->abandoned || m->terminating) continue;
        if (m->type >= cluster.types.size() || !cluster.types[m->type].offered) continue;
        const bool booting = is_booting(*m, now);
        if (!booting && !usable(*m)) continue;
        const double from_s = booting ? remaining_boot_s(cluster, *m, now) : 0;
        out.push_back({m->type, m->zone, m->spot, from_s, m->free_resources(),
                       task_ends(cluster, *m, now), booting});
    }
    return out;
}

std::vector<bool> silent_zones(const ClusterState& cluster, const Usable& usable) {
    std::vector<int> silent_excess(cluster.names.zones.size(), 0);
    for (const auto& m : cluster.machines) {
        if (!m || m->zone == kNone || m->abandoned || m->terminating) continue;
        if (m->up && usable(*m))
            --silent_excess[m->zone];
        else if (m->status == MachineStatus::Running && m->interruption_at < 0 && !m->missing)
            ++silent_excess[m->zone];
    }
    std::vector<bool> out;
    out.reserve(silent_excess.size());
    for (const int excess : silent_excess) out.push_back(excess > kMaxSilentExcess);
    // If all zones are silent, it is rather this controller that is partitioned off.
    if (std::ranges::all_of(out, [](bool silent) { return silent; })) out.assign(out.size(), false);
    return out;
}

}  // namespace weirmill
