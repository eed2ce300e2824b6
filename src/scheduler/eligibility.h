// Which machines a job's tasks may run on, aside from the room that is free there. Pure functions
// of the cluster state.
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// Whether tasks of this kind may run on the machine by type, zone and kind, and do not have to
// leave its GPUs to others.
inline bool machine_suits(const ClusterState& cluster, const JobSpec& spec, const Machine& m) {
    return cluster.machine_allowed(spec, m) && !cluster.must_leave_room_for_gpus(spec, m.type);
}

// The image is on the machine, or is being fetched there for another task.
bool image_near(const ClusterState& cluster, const Machine& m, Index image);

// The least of each resource that a task of any of the jobs takes; `jobs` is not empty. A machine
// without that much room has none for any of them.
Resources smallest_demand(const ClusterState& cluster, const std::vector<Index>& jobs);

}  // namespace weirmill
