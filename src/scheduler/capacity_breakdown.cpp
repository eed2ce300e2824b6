#include "scheduler/capacity_breakdown.h"

namespace weirmill {

namespace {

// As in the names of the gauges, in the order of CapacityUse.
constexpr std::array<const char*, kCapacityUses> kNames = {
    "booting", "running", "starting", "fetching", "gathering", "stopping",
    "silent",  "leaving", "shunned",  "reserved", "empty",     "fragment"};

CapacityUse use_by(const Task& task) {
    if (task.stopping || task.phase == TaskPhase::Saving) return CapacityUse::Stopping;
    switch (task.phase) {
        case TaskPhase::Fetching:
            return CapacityUse::Fetching;
        case TaskPhase::Waiting:
            return CapacityUse::Gathering;
        case TaskPhase::NotReported:
            return CapacityUse::Starting;
        default:
            return CapacityUse::Running;
    }
}

CapacityUse use_of_free(const Machine& m, const Usable& usable, double now) {
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
            out[use_by(job.tasks[ref.task])] += job.spec.demand;
        }
        out[use_of_free(*m, usable, now)] += m->room();
    }
    return out;
}

std::string capacity_text(const CapacityBreakdown& breakdown) {
    int64_t gpus = 0;
    for (auto& r : breakdown.by_use) gpus += r.gpu;
    std::string out = gpus > 0 ? "gpus" : "cpus";
    for (size_t k = 0; k < kCapacityUses; ++k) {
        auto& r = breakdown.by_use[k];
        auto amount = gpus > 0 ? r.gpu : r.cpu;
        if (amount != 0) out += std::string(" ") + kNames[k] + "=" + std::to_string(amount / 1000);
    }
    return out;
}

std::vector<Gauge> capacity_gauges(const CapacityBreakdown& breakdown) {
    std::vector<Gauge> out;
    for (size_t k = 0; k < kCapacityUses; ++k) {
        auto& r = breakdown.by_use[k];
        auto prefix = std::string("room_") + kNames[k];
        out.push_back({prefix + "_cpus", static_cast<double>(r.cpu) / 1000});
        out.push_back({prefix + "_gpus", static_cast<double>(r.gpu) / 1000});
    }
    return out;
}

}  // namespace weirmill
