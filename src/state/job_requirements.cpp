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

bool ClusterState::reserves_gpus(const JobSpec& spec, Index type) const {
    if (spec.demand.gpu > 0 || per_gpu.gpu == 0 || types[type].type.size.gpu == 0) return false;
    for (Index t = 0; t < types.size(); ++t)
        if (type_fits(spec, t) && types[t].type.size.gpu == 0) return true;
    return false;
}

bool ClusterState::leaves_gpus_usable(const JobSpec& spec, const Machine& m) const {
    if (!reserves_gpus(spec, m.type)) return true;
    // Nor does it keep an expensive machine from being given back: it comes where the GPUs are busy
    // anyway.
    if (m.used.gpu * 2 < m.size.gpu) return false;
    auto left = m.room() - spec.demand;
    int64_t gpus = left.gpu / 1000;
    return left.cpu >= gpus * per_gpu.cpu && left.mem >= gpus * per_gpu.mem;
}

bool ClusterState::large(const JobSpec& spec) const {
    if (spec.kind == JobKind::Gang) return true;
    bool any = false;
    for (Index t = 0; t < types.size(); ++t) {
        if (!type_fits(spec, t)) continue;
        any = true;
        if (spec.demand.max_copies_in(types[t].type.size) > 1) return false;
    }
    return any;
}

const char* ClusterState::never_runs(const JobSpec& spec) const {
    if (spec.team == kNone) return "unknown team";
    bool fits = false;
    bool zone_ok = spec.zone == kNone;
    for (Index t = 0; t < types.size(); ++t) {
        if (!type_fits(spec, t)) continue;
        fits = true;
        for (const auto& z : types[t].type.zones)
            if (names.zones.find(z) == spec.zone) zone_ok = true;
    }
    if (!fits || !zone_ok) return "a task fits no allowed machine type";
    // Tasks of an array run one after the other where they must.
    auto at_once = spec.kind == JobKind::Array ? spec.demand : spec.demand * spec.tasks;
    if (!weirmill::below_limit(teams[spec.team], at_once)) return "more than the team's limit";
    return nullptr;
}

}  // namespace weirmill
