// The order of the queue: which waiting jobs are placed before which others. Guaranteed jobs go
// first, then by priority, work within its team's guarantee, GPUs per task, and due time. Pure
// functions of the cluster state and a given time (steady clock, seconds).
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// Jobs with pending tasks that may be placed now, highest rank first; those of one rank together,
// in the order of their due times.
std::vector<std::vector<Index>> waiting_ranks(const ClusterState& cluster, double now);
// The jobs of all ranks in one list, in the same order.
std::vector<Index> jobs_of(const std::vector<std::vector<Index>>& ranks);
std::vector<Index> waiting_jobs(const ClusterState& cluster, double now);

}  // namespace weirmill
