// The autoscaler decides how many machines of which types the fleet needs. Its functions only
// compute plans from the cluster state and the present time and keep no state between calls; the
// controller carries the plans out.
//
// Points in time (`now`) are seconds on the leader's steady clock; durations in seconds have the
// suffix _s.
#pragma once
#include <string>
#include <vector>

#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// A request to the cloud for `count` machines of one type in one zone.
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
    // The number of job shapes for which an index of the machines is kept up to date between jobs.
    // With 0 the index is rebuilt for each job. The plan does not depend on this value.
    size_t max_cached_shapes = 8;
    // Seconds from the arrival of a job until the tasks of lower priority on a machine have been
    // preempted for it.
    double preemption_duration_s = 13;
};

// Returns the free capacity that should be kept for job classes with a start objective, estimated
// from their recent arrivals.
std::vector<Headroom> planned_headroom(const ClusterState& cluster,
                                       const AutoscalerSettings& settings, double now);

// Returns, by zone index, whether most of the zone's machines that have reported before are silent.
// Such a zone is taken to be partitioned from this controller: its machines still run, but a new
// machine there could not be used.
std::vector<bool> silent_zones(const ClusterState& cluster, const MachineFilter& usable);

// Returns the machines that waiting jobs and planned headroom need beyond those that are up or
// booting.
std::vector<ScaleOutRequest> plan_scale_out(const ClusterState& cluster,
                                            const MachineFilter& usable,
                                            const AutoscalerSettings& settings, double now);

// Returns the machine whose drain saves the most, or kNone. A machine qualifies if all its tasks
// can write a checkpoint and restart in capacity that is free on other machines, and if moving them
// costs less than keeping the machine until they end.
Index plan_drain(const ClusterState& cluster, const MachineFilter& usable, double now);

// Returns the machines to terminate: failed and abandoned machines, empty ones that are draining or
// quarantined, and idle ones whose keep time has passed.
std::vector<Index> plan_scale_in(const ClusterState& cluster, const AutoscalerSettings& settings,
                                 double now);

}  // namespace weirmill
