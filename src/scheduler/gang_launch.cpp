#include "scheduler/gang_launch.h"

namespace weirmill {

namespace {
// Protocol, "GET /machine_types": the fetch rate, give or take a third.
constexpr double kSlowFetch = 1.5;
// Protocol, "Workers": the heartbeat interval, give or take a quarter.
constexpr double kLateHeartbeat = 1.25;
constexpr double kMargin_s = 1;
}  // namespace

bool may_launch(const ClusterState& cluster, const Job& job, uint32_t task, double gang_wait_s,
                double heartbeat_interval_s, double now) {
    auto& spec = job.spec;
    if (spec.kind != JobKind::Gang || spec.tasks < 2 || spec.image_gb <= 0) return true;
    auto lacks = [&](const Task& t) { return !cluster.machines[t.machine]->has_image(spec.image); };
    if (lacks(job.tasks[task])) return true;
    // It is launched with one heartbeat, and that another machine has the image comes with the
    // next.
    double longest_s = gang_wait_s - kLateHeartbeat * heartbeat_interval_s - kMargin_s;
    for (auto& t : job.tasks) {
        if (t.state != TaskState::Placed || !lacks(t)) continue;
        auto type = cluster.machines[t.machine]->type;
        if (type >= cluster.types.size()) continue;
        double fetch_s = kSlowFetch * cluster.image_fetch_s(spec, type);
        double remaining_s = t.start_seq > 0 ? t.placed_at + fetch_s - now : fetch_s;
        if (remaining_s > longest_s) return false;
    }
    return true;
}

}  // namespace weirmill
