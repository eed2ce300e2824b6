// Selects which waiting jobs of an overloaded queue can still meet their deadlines. Uses the
// Moore-Hodgson algorithm, which minimizes the number of late jobs on one machine. The result is
// stored with the jobs and affects only the order of jobs within a rank (job_order.h).
#pragma once
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

struct DeadlineCandidate {
    Index job = kNone;
    double work = 0;            // pending work in unit-seconds (overload_forecast.h)
    double start_within_s = 0;  // seconds from now by which the last task must start
};

// Returns the jobs whose deadlines should be abandoned for now, so that as many of the others as
// possible finish in time. The model: `units` serve the jobs one after the other, in the order of
// their latest start, after `earlier_work` unit-seconds of other work. Whenever a job would be
// late, the largest job among it and its predecessors is abandoned. Returns none if `units` is 0,
// because the capacity is not known then.
std::vector<Index> select_late_jobs(std::vector<DeadlineCandidate> jobs, double units,
                                    double earlier_work);

// Sets Job::abandoned_deadlines, the number of due times that the job abandons, for each
// waiting array job of the queue.
void update_abandoned_deadlines(ClusterState& cluster, const std::vector<Index>& queue,
                                double units, double now);

}  // namespace weirmill
