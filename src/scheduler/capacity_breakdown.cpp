#include "scheduler/capacity_breakdown.h"

namespace weirmill {

namespace {

constexpr const char* kNames[kCapacityUses] = {"booting",   "running",  "starting", "fetching",
                                               "gathering", "stopping", "silent",   "leaving",
                                               "shunned",   "reserved", "empty",    "fragment"};

CapacityUse taken_by(const Task& task) {
    if (task.stopping || task.phase == TaskPhase::Saving) return CapacityUse::Stopping;
    switch (task.phase) {
        case TaskPhase::Fetching:
            return CapacityUse::Fetching;
        case TaskPhase::Waiting:
            return CapacityUse::Gathering;
        case TaskPhase::Unseen:
            return CapacityUse::Starting;
        default:
            return CapacityUse::Running;
    }
}

CapacityUse free_as(const Machine& m, const Usable& usable, double now) {
    if (!m.up) return m.up_at > 0 ? CapacityUse::Silent : CapacityUse::Booting;
    if (m.interruption_at >= 0 || m.draining || m.terminating || m.abandoned)
        return CapacityUse::Leaving;
    if (m.quarantined_until > now) return CapacityUse::Quarantined;
    if (!usable(m)) return CapacityUse::Silent;
    if (m.reserved(now)) return CapacityUse::Reserved;
    return m.tasks.empty() ? CapacityUse::Empty : CapacityUse::Fragment;
}

}  // namespace

CapacityBreakdown capacity_breakdown(const ClusterState& cluster, const Usable& usable,
                                     double now) {
    CapacityBreakdown out;
    for (auto& m : cluster.machines) {
        if (!m || m->size == Resources{}) continue;
        for (auto& ref : m->tasks) {
            auto& job = *cluster.jobs[ref.job];
            out[taken_by(job.tasks[ref.task])] += job.spec.demand;
        }
        out[free_as(*m, usable, now)] += m->room();
    }
    return out;
}

std::string capacity_text(const CapacityBreakdown& account) {
    int64_t gpus = 0;
    for (auto& r : account.room) gpus += r.gpu;
    std::string out = gpus > 0 ? "gpus" : "cpus";
    for (size_t k = 0; k < kCapacityUses; ++k) {
        auto amount = gpus > 0 ? account.room[k].gpu : account.room[k].cpu;
        if (amount != 0) out += std::string(" ") + kNames[k] + "=" + std::to_string(amount / 1000);
    }
    return out;
}

void capacity_gauges(const CapacityBreakdown& account, std::map<std::string, double>& out) {
    for (size_t k = 0; k < kCapacityUses; ++k) {
        std::string kind = kNames[k];
        out["room_" + kind + "_cpus"] = static_cast<double>(account.room[k].cpu) / 1000;
        out["room_" + kind + "_gpus"] = static_cast<double>(account.room[k].gpu) / 1000;
    }
}

}  // namespace weirmill
