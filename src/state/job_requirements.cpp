// Which machine types and machines a job may use.
#include <algorithm>

#include "state/cluster_state.h"

namespace weirmill {

bool ClusterState::type_fits(const JobSpec& spec, Index type) const {
    if (!offered(type)) return false;
    bool allowed = spec.types.empty() || std::ranges::find(spec.types, type) != spec.types.end();
    return allowed && spec.demand.fits_in(types[type].type.size);
}

bool ClusterState::machine_allowed(const JobSpec& spec, const Machine& m) const {
    if (m.spot && !spec.spot) return false;
    if (spec.zone != kNone && spec.zone != m.zone) return false;
    return type_fits(spec, m.type);
}

bool ClusterState::must_leave_room_for_gpus(const JobSpec& spec, Index type) const {
    if (spec.demand.gpu > 0 || resources_per_gpu.gpu == 0 || types[type].type.size.gpu == 0)
        return false;
    for (Index t = 0; t < types.size(); ++t)
        if (type_fits(spec, t) && types[t].type.size.gpu == 0) return true;
    return false;
}

bool ClusterState::leaves_gpus_usable(const JobSpec& spec, const Machine& m) const {
    if (!must_leave_room_for_gpus(spec, m.type)) return true;
    // Only machines whose GPUs are at least half used take such tasks. Otherwise such
    // a task would keep an expensive machine from being terminated.
    if (m.used.gpu * 2 < m.size.gpu) return false;
    auto remaining = m.free_resources() - spec.demand;
    int64_t gpus = remaining.gpu / 1000;
    return remaining.cpu >= gpus * resources_per_gpu.cpu &&
           remaining.mem >= gpus * resources_per_gpu.mem;
}

bool ClusterState::needs_whole_machines(const JobSpec& spec) const {
    if (spec.kind == JobKind::Gang) return true;
    bool fits_any_type = false;
    for (Index t = 0; t < types.size(); ++t) {
        if (!type_fits(spec, t)) continue;
        fits_any_type = true;
        if (spec.demand.max_copies_in(types[t].type.size) > 1) return false;
    }
    return fits_any_type;
}

const char* ClusterState::unschedulable_reason(const JobSpec& spec) const {
    if (spec.team == kNone) return "unknown team";
    bool fits = false;
    bool zone_offered = spec.zone == kNone;
    for (Index t = 0; t < types.size(); ++t) {
        if (!type_fits(spec, t)) continue;
        fits = true;
        for (const auto& z : types[t].type.zones)
            if (names.zones.find(z) == spec.zone) zone_offered = true;
    }
    if (!fits || !zone_offered) return "a task fits no allowed machine type";
    // The tasks of an array job may run one after the other.
    auto concurrent_demand = spec.kind == JobKind::Array ? spec.demand : spec.demand * spec.tasks;
    if (!weirmill::usage_within_limit(teams[spec.team], concurrent_demand))
        return "more than the team's limit";
    return nullptr;
}

}  // namespace weirmill
