// The times by which a job should be done: its own deadline, those of the jobs that need it, and
// the objectives of its class. Pure functions; times are of the steady clock, seconds.
#pragma once
#include <boost/container/small_vector.hpp>

#include "state/job.h"
#include "state/job_class.h"

namespace weirmill {

// Few, and asked for with every pass over the queue: without allocation.
using DueTimes = boost::container::small_vector<double, 8>;

// All of them, in no order. `job_class`: null where the job has none. `run_s`: the run time to
// expect of a task.
DueTimes due_times(const Job& job, const JobClass* job_class, double run_s);

struct DueTime {
    double at = kNever;  // the next time to meet
    int missed = 0;      // how many can't be met any more, or are given up
};
// `times`: as due_times has them. The job can't be done before `earliest`.
DueTime next_due_time(const Job& job, const DueTimes& times, double earliest);

}  // namespace weirmill
