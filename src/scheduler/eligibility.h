// Which machines a job's tasks may run on, regardless of free capacity. Pure functions of the
// cluster state.
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// Returns whether tasks of this spec may run on the machine: its type, zone and market (spot or on
// demand) are allowed, and its capacity is not reserved for tasks with GPUs.
inline bool machine_eligible(const ClusterState& cluster, const JobSpec& spec, const Machine& m) {
    return cluster.machine_allowed(spec, m) && !cluster.must_leave_room_for_gpus(spec, m.type);
}

// Returns whether the machine has the image or is fetching it for another task.
bool has_or_fetches_image(const ClusterState& cluster, const Machine& m, Index image);

// Returns, for each resource, the smallest demand of any of the jobs. A machine with less free
// capacity than that fits none of their tasks. `jobs` must not be empty.
Resources smallest_demand(const ClusterState& cluster, const std::vector<Index>& jobs);

}  // namespace weirmill
