// Start deadline: an upper bound on the wait until a job starts. Shorter jobs, jobs that can still
// meet their due times, and small gangs that fit into any gap can all overtake a large job. A job
// close to its start deadline is therefore placed before the other jobs of its priority, within its
// team's guarantee and limit. Pure functions of the cluster state and a given time (steady clock,
// seconds).
#pragma once
#include <vector>

#include "scheduler/placement.h"

namespace weirmill {

// Returns the waiting jobs that have neither placed nor finished tasks and whose wait exceeds 0.7
// of the bound, oldest first. `within_s`: the bound, seconds; 0: there is none.
std::vector<Index> jobs_near_start_deadline(const ClusterState& cluster, double within_s,
                                            double now);

// Returns empty machines to reserve for a gang whose tasks each take a whole machine: at most as
// many as it has pending tasks, in the zone that has most such machines. They are usually fewer
// than the gang needs, because it would have been placed otherwise.
std::vector<Index> machines_to_reserve_for_gang(const ClusterState& cluster,
                                                const MachineFilter& usable, Index job, double now);

}  // namespace weirmill
