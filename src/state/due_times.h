// The due times of a job: its own deadline, the deadline that it inherits from its dependants, and
// the objectives of its class. Pure functions; all times are of the steady clock in seconds.
#pragma once
#include <boost/container/small_vector.hpp>

#include "state/job.h"
#include "state/job_class.h"

namespace weirmill {

// Computed in each scheduling pass; a job has few due times, so that this usually does not
// allocate.
using DueTimes = boost::container::small_vector<double, 8>;

// Returns all due times of the job, unordered. `job_class`: null if the job has none. `run_s`: the
// expected run time of a task.
DueTimes due_times(const Job& job, const JobClass* job_class, double run_s);

struct DueTime {
    double time = kNever;  // the earliest due time that can still be met
    int missed = 0;        // due times that can't be met any more or are abandoned
};
// Selects from `times`, the result of due_times, for a job that ends at `earliest_end` or later.
DueTime next_due_time(const Job& job, const DueTimes& times, double earliest_end);

}  // namespace weirmill
