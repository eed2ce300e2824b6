#include "scheduler/gang_launch.h"

namespace weirmill {

namespace {
constexpr double kSlowFetch =
    1.5;  // protocol, "GET /machine_types": the rate, give or take a third
constexpr double kLateReport = 1.25;  // protocol, "Workers": the interval, give or take a quarter
constexpr double kSpare_s = 1;
}  // namespace

bool may_launch(const ClusterState& cluster, const Job& job, uint32_t task, double gang_wait_s,
                double heartbeat_interval_s, double now) {
    auto& spec = job.spec;
    if (spec.kind != JobKind::Gang || spec.tasks < 2 || spec.image_gb <= 0) return true;
    auto lacks = [&](const Task& t) { return !cluster.machines[t.machine]->has_image(spec.image); };
    if (lacks(job.tasks[task])) return true;
    // It is launched with one report, and what another machine fetched is told with the next.
    double patience = gang_wait_s - kLateReport * heartbeat_interval_s - kSpare_s;
    for (auto& t : job.tasks) {
        if (t.state != TaskState::Placed || !lacks(t)) continue;
        auto type = cluster.machines[t.machine]->type;
        if (type >= cluster.types.size()) continue;
        double fetched = kSlowFetch * cluster.fetch_s(spec, type);
        if ((t.start_seq > 0 ? t.placed_at + fetched - now : fetched) > patience) return false;
    }
    return true;
}

}  // namespace weirmill
