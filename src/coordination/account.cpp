#include "coordination/account.h"

namespace weirmill {

namespace {

constexpr const char* kNames[kRoomKinds] = {"booting",   "running",  "starting", "fetching",
                                            "gathering", "stopping", "silent",   "leaving",
                                            "shunned",   "reserved", "empty",    "fragment"};

RoomIs taken_by(const Task& task) {
    if (task.stopping || task.phase == TaskPhase::Saving) return RoomIs::Stopping;
    switch (task.phase) {
        case TaskPhase::Fetching:
            return RoomIs::Fetching;
        case TaskPhase::Waiting:
            return RoomIs::Gathering;
        case TaskPhase::Unseen:
            return RoomIs::Starting;
        default:
            return RoomIs::Running;
    }
}

RoomIs free_as(const Machine& m, const Usable& usable, double now) {
    if (!m.up) return m.up_at > 0 ? RoomIs::Silent : RoomIs::Booting;
    if (m.notice_until >= 0 || m.closing || m.returning || m.doomed) return RoomIs::Leaving;
    if (m.quarantined_until > now) return RoomIs::Shunned;
    if (!usable(m)) return RoomIs::Silent;
    if (m.reserved(now)) return RoomIs::Reserved;
    return m.tasks.empty() ? RoomIs::Empty : RoomIs::Fragment;
}

}  // namespace

RoomAccount account_room(const ClusterState& cluster, const Usable& usable, double now) {
    RoomAccount out;
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

std::string account_text(const RoomAccount& account) {
    int64_t gpus = 0;
    for (auto& r : account.room) gpus += r.gpu;
    std::string out = gpus > 0 ? "gpus" : "cpus";
    for (size_t k = 0; k < kRoomKinds; ++k) {
        auto amount = gpus > 0 ? account.room[k].gpu : account.room[k].cpu;
        if (amount != 0) out += std::string(" ") + kNames[k] + "=" + std::to_string(amount / 1000);
    }
    return out;
}

void account_gauges(const RoomAccount& account, std::map<std::string, double>& out) {
    for (size_t k = 0; k < kRoomKinds; ++k) {
        std::string kind = kNames[k];
        out["room_" + kind + "_cpus"] = static_cast<double>(account.room[k].cpu) / 1000;
        out["room_" + kind + "_gpus"] = static_cast<double>(account.room[k].gpu) / 1000;
    }
}

}  // namespace weirmill
