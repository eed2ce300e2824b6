#include "scheduler/capacity_breakdown.h"

namespace weirmill {

namespace {

// Part of the gauge names, in the order of CapacityUse.
constexpr std::array<const char*, kCapacityUseCount> kGaugeNames = {
    "booting", "running", "starting", "fetching", "gathering", "stopping",
    "silent",  "leaving", "shunned",  "reserved", "empty",     "fragment"};

CapacityUse task_use(const Task& task) {
    if (task.stopping || task.phase == TaskPhase::Saving) return CapacityUse::Stopping;
    switch (task.phase) {
        case TaskPhase::Fetching:
            return CapacityUse::Fetching;
        case TaskPhase::Waiting:
            return CapacityUse::WaitingForGang;
        case TaskPhase::NotReported:
            return CapacityUse::Starting;
        default:
            return CapacityUse::Running;
    }
}

CapacityUse free_capacity_use(const Machine& m, const MachineFilter& usable, double now) {
    if (!m.up) return m.up_at > 0 ? CapacityUse::Unreachable : CapacityUse::Booting;
    if (m.interruption_at >= 0 || m.draining || m.terminating || m.abandoned)
        return CapacityUse::Leaving;
    if (m.quarantined_until > now) return CapacityUse::Quarantined;
    if (!usable(m)) return CapacityUse::Unreachable;
    if (m.reserved(now)) return CapacityUse::Reserved;
    return m.tasks.empty() ? CapacityUse::Empty : CapacityUse::Fragment;
}

}  // namespace

CapacityBreakdown capacity_breakdown(const ClusterState& cluster, const MachineFilter& usable,
                                     double now) {
    CapacityBreakdown out;
    for (auto& m : cluster.machines) {
        if (!m || m->size == Resources{}) continue;
        for (auto& ref : m->tasks) {
            auto& job = *cluster.jobs[ref.job];
            out[task_use(job.tasks[ref.task])] += job.spec.demand;
        }
        out[free_capacity_use(*m, usable, now)] += m->free_resources();
    }
    return out;
}

std::string capacity_summary(const CapacityBreakdown& breakdown) {
    int64_t gpus = 0;
    for (auto& r : breakdown.by_use) gpus += r.gpu;
    std::string out = gpus > 0 ? "gpus" : "cpus";
    for (size_t k = 0; k < kCapacityUseCount; ++k) {
        auto& r = breakdown.by_use[k];
        auto amount = gpus > 0 ? r.gpu : r.cpu;
        if (amount != 0)
            out += std::string(" ") + kGaugeNames[k] + "=" + std::to_string(amount / 1000);
    }
    return out;
}

std::vector<Gauge> capacity_gauges(const CapacityBreakdown& breakdown) {
    std::vector<Gauge> out;
    for (size_t k = 0; k < kCapacityUseCount; ++k) {
        auto& r = breakdown.by_use[k];
        auto prefix = std::string("room_") + kGaugeNames[k];
        out.push_back({prefix + "_cpus", static_cast<double>(r.cpu) / 1000});
        out.push_back({prefix + "_gpus", static_cast<double>(r.gpu) / 1000});
    }
    return out;
}

}  // namespace weirmill
