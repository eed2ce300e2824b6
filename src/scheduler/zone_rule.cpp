#include "scheduler/zone_rule.h"

namespace weirmill {

ZoneRule::ZoneRule(const ClusterState& cluster, const Job& job)
    : cluster(cluster), job(job), in_zone(cluster.names.zones.size(), 0) {
    if (!job.spec.one_zone && !job.spec.spread) return;
    if (job.placed == 0) return;
    for (auto& task : job.tasks) {
        if (task.state != TaskState::Placed) continue;
        auto zone = cluster.machines[task.machine]->zone;
        if (zone == kNone)
            ++somewhere;
        else
            ++in_zone[zone];
    }
}

bool ZoneRule::another_zone_in_use(Index zone) const {
    for (Index z = 0; z < in_zone.size(); ++z)
        if (in_zone[z] > 0 && z != zone) return true;
    return false;
}

bool ZoneRule::allows(Index zone) const {
    if (somewhere > 0) return false;
    if (job.spec.one_zone && another_zone_in_use(zone)) return false;
    return !job.spec.spread || in_zone[zone] + 1 <= (job.spec.tasks + 1) / 2;
}

void ZoneRule::add(Index zone) {
    if (job.spec.one_zone || job.spec.spread) ++in_zone[zone];
}

}  // namespace weirmill
