#include "scheduler/zone_constraint.h"

namespace weirmill {

ZoneConstraint::ZoneConstraint(const ClusterState& cluster, const Job& job)
    : cluster(cluster), job(job), tasks_in_zone(cluster.names.zones.size(), 0) {
    if (!job.spec.one_zone && !job.spec.spread) return;
    if (job.placed == 0) return;
    for (auto& task : job.tasks) {
        if (task.state != TaskState::Placed) continue;
        auto zone = cluster.machines[task.machine]->zone;
        if (zone == kNone)
            ++tasks_in_unknown_zone;
        else
            ++tasks_in_zone[zone];
    }
}

bool ZoneConstraint::another_zone_in_use(Index zone) const {
    for (Index z = 0; z < tasks_in_zone.size(); ++z)
        if (tasks_in_zone[z] > 0 && z != zone) return true;
    return false;
}

bool ZoneConstraint::allows(Index zone) const {
    if (tasks_in_unknown_zone > 0) return false;
    if (job.spec.one_zone && another_zone_in_use(zone)) return false;
    return !job.spec.spread || tasks_in_zone[zone] + 1 <= (job.spec.tasks + 1) / 2;
}

void ZoneConstraint::add(Index zone) {
    if (job.spec.one_zone || job.spec.spread) ++tasks_in_zone[zone];
}

}  // namespace weirmill
