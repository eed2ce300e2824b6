// The order in which waiting jobs are placed: guaranteed jobs first, then by priority, work within
// the team's guarantee, GPUs per task, and due time. Pure functions of the cluster state and a
// given time (steady clock, seconds).
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// Returns the jobs with pending tasks that may be placed now, grouped by rank with the highest rank
// first. The jobs of one rank are ordered by due time.
std::vector<std::vector<Index>> waiting_ranks(const ClusterState& cluster, double now);
// Returns the jobs of all ranks in one list, in the same order.
std::vector<Index> flatten_ranks(const std::vector<std::vector<Index>>& ranks);
// Returns the jobs of waiting_ranks in one list.
std::vector<Index> waiting_jobs(const ClusterState& cluster, double now);

}  // namespace weirmill
