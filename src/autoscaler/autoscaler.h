// The autoscaler: how large the fleet should be. It only plans, from the cluster's state and the
// present time; the controller carries the plans out. Nothing here keeps state between calls.
//
// Times are seconds on the leader's steady clock; durations end in _s.
#pragma once
#include <string>
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// So many machines of one type in one zone, to be requested from the cloud.
struct ScaleOutRequest {
    Index type, zone;
    bool spot;
    int count;
    bool operator==(const ScaleOutRequest&) const = default;
};

struct AutoscalerSettings {
    // How long an idle machine is kept, in nominal boot times of its type.
    double idle_keep_boots = 0.3;
    double heartbeat_interval_s = 1;
    // For how many job shapes an index of the machines is kept up to date between jobs; 0: it is
    // rebuilt for each job. The plan is the same either way.
    size_t max_cached_shapes = 8;
    // How long it takes to clear a machine of lower work for a job that arrives now.
    double clear_s = 13;
};

// The room that recent arrivals of classes with a start objective call for.
std::vector<Headroom> planned_headroom(const ClusterState& cluster,
                                       const AutoscalerSettings& settings, double now);

// By zone index: whether most machines there that have reported before are silent. Such a zone is
// partitioned off: its machines are sound, but one requested there could not be used.
std::vector<bool> silent_zones(const ClusterState& cluster, const MachineFilter& usable);

// The machines that waiting work needs beyond those that are up or booting.
std::vector<ScaleOutRequest> plan_scale_out(const ClusterState& cluster,
                                            const MachineFilter& usable,
                                            const AutoscalerSettings& settings, double now);

// The machine whose drain saves most: all its tasks can write a checkpoint and continue where there
// is room already, and moving them costs less than the machine would until they end. kNone: there
// is none.
Index plan_drain(const ClusterState& cluster, const MachineFilter& usable, double now);

// The machines to terminate: failed, abandoned or draining ones, and idle ones past their keep
// time.
std::vector<Index> plan_scale_in(const ClusterState& cluster, const AutoscalerSettings& settings,
                                 double now);

}  // namespace weirmill
