#include "scheduler/gang_launch.h"

namespace weirmill {

namespace {
// The fetch rate of a machine may be a third lower than listed (protocol, "GET /machine_types").
constexpr double kMaxFetchTimeFactor = 1.5;
// A heartbeat interval may be a quarter longer than configured (protocol, "Workers").
constexpr double kMaxHeartbeatIntervalFactor = 1.25;
constexpr double kLaunchMargin_s = 1;
}  // namespace

bool may_launch(const ClusterState& cluster, const Job& job, uint32_t task, double gang_wait_s,
                double heartbeat_interval_s, double now) {
    auto& spec = job.spec;
    if (spec.kind != JobKind::Gang || spec.tasks < 2 || spec.image_gb <= 0) return true;
    auto lacks_image = [&](const Task& t) {
        return !cluster.machines[t.machine]->has_image(spec.image);
    };
    if (lacks_image(job.tasks[task])) return true;
    // The task is launched in the answer to one heartbeat, and only a later heartbeat reports that
    // another machine has the image. The limit leaves one heartbeat interval for that.
    double max_fetch_s =
        gang_wait_s - kMaxHeartbeatIntervalFactor * heartbeat_interval_s - kLaunchMargin_s;
    for (auto& t : job.tasks) {
        if (t.state != TaskState::Placed || !lacks_image(t)) continue;
        auto type = cluster.machines[t.machine]->type;
        if (type >= cluster.types.size()) continue;
        double fetch_s = kMaxFetchTimeFactor * cluster.image_fetch_s(spec, type);
        double remaining_s = t.start_seq > 0 ? t.placed_at + fetch_s - now : fetch_s;
        if (remaining_s > max_fetch_s) return false;
    }
    return true;
}

}  // namespace weirmill
