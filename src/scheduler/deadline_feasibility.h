// Which of a queue's waiting jobs can still be in time, where not all of them can: the algorithm of
// Moore and Hodgson, which keeps the number of late jobs on one machine at its minimum. What it
// decides is kept with the jobs and changes the order within a rank alone (job_order.h).
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// Due times from here on (steady clock, seconds) mean that none was asked for.
inline constexpr double kNoDueTime_s = 1e17;

struct DeadlineCandidate {
    Index job = kNone;
    double work = 0;   // that it waits with, in seconds of units (overload_forecast.h)
    double start = 0;  // in how many seconds its last task must start for the job to be in time
};

// The jobs to be given up for now, so that as many of the others as can be are in time on `units`
// that serve one job after the other, in the order of their times, after `before` seconds of units
// of other work: where one would be late, the one with the most work among it and those before it
// is given up. None where `units` is 0, as nothing is known then.
std::vector<Index> abandoned_deadlines(std::vector<DeadlineCandidate> jobs, double units,
                                       double before);

// Sets how many of its due times each waiting array job of the queue gives up
// (Job::abandoned_deadlines).
void abandon_deadlines(ClusterState& cluster, const std::vector<Index>& queue, double units,
                       double now);

}  // namespace weirmill
