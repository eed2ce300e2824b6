// A bound on the wait until a job begins. Shorter work, jobs whose due times can still be met and
// small gangs that fit into any gap all overtake large jobs; near the bound a job that has not
// begun goes first within its priority and its team's guarantee and limit. Pure functions of the
// cluster state and a given time (steady clock, seconds).
#pragma once
#include <vector>

#include "scheduler/placement.h"

namespace weirmill {

// Waiting jobs of which no task has run or is placed, and that came 0.7 of the bound ago or more;
// the oldest first. `within_s`: the bound, seconds; 0: there is none.
std::vector<Index> jobs_near_start_deadline(const ClusterState& cluster, double within_s,
                                            double now);

// Machines to be kept empty for the gang until there are enough in one zone, if each of its tasks
// takes one whole: those in the zone where most are. Fewer than it needs, as it would have been
// placed otherwise.
std::vector<Index> machines_for_gang(const ClusterState& cluster, const Usable& usable, Index job,
                                     double now);

}  // namespace weirmill
