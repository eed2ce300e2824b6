#include "state/due_times.h"

#include <algorithm>

namespace weirmill {

DueTimes due_times(const Job& job, const JobClass* job_class, double run_s) {
    DueTimes times;
    const double deadline_s = job.spec.deadline_s;
    if (deadline_s >= 0) {
        if (!job_class || job_class->deadline_factors.empty()) {
            times.push_back(job.submitted_steady + deadline_s);
        } else {
            for (double factor : job_class->deadline_factors)
                times.push_back(job.submitted_steady + deadline_s * factor);
        }
    }
    if (job.needed_by < kLatestTime) times.push_back(job.needed_by);
    if (!job_class) return times;
    for (double within_s : job_class->finish_within_s)
        times.push_back(job.schedulable_since_steady() + within_s);
    // A job that starts just in time for its start objective ends one run time later.
    if (job_class->start_within_s > 0 && job.placed + job.done == 0)
        times.push_back(job.schedulable_since_steady() + job_class->start_within_s + run_s);
    return times;
}

DueTime next_due_time(const Job& job, const DueTimes& times, double earliest_end) {
    DueTime due;
    for (double time : times) {
        if (time < earliest_end)
            ++due.missed;
        else
            due.time = std::min(due.time, time);
    }
    // A job keeps all its due times while its dependants need it by a deadline.
    uint32_t abandoned = job.needed_by < kLatestTime ? 0 : job.abandoned_deadlines;
    for (uint32_t n = 0; n < abandoned && due.time < kLatestTime; ++n) {
        double abandoned_time = due.time;
        due.time = kNever;
        for (double time : times)
            if (time > abandoned_time) due.time = std::min(due.time, time);
        ++due.missed;
    }
    return due;
}

}  // namespace weirmill
