// Which of a queue's waiting jobs can still be in time, where not all of them can. A pure function
// of the tables and a given time; what it decides is kept with the jobs and changes the order
// within a rank alone.
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

struct DeadlineCandidate {
    Index job = kNone;
    double work = 0;   // seconds of units that it waits with
    double start = 0;  // in how many seconds its last task must start for the job to be in time
};

// The jobs to be given up for now, so that as many of the others as can be are in time on `units`
// that serve one job after the other, in the order of their times, after `before` seconds of units
// of other work (Moore and Hodgson: where one would be late, the one with the most work among it
// and those before it is given up).
std::vector<Index> abandoned_deadlines(std::vector<DeadlineCandidate> jobs, double units,
                                       double before);

// Sets how many of its times each waiting array job of the queue gives up
// (Job::abandoned_deadlines).
void abandon_deadlines(ClusterState& cluster, const std::vector<Index>& queue, double units,
                       double now);

}  // namespace weirmill
