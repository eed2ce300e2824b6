#include "state/due_times.h"

#include <algorithm>

namespace weirmill {

DueTimes due_times(const Job& job, const JobClass* job_class, double run_s) {
    DueTimes times;
    const double deadline_s = job.spec.deadline_s;
    if (deadline_s >= 0) {
        if (!job_class || job_class->deadline_times.empty()) {
            times.push_back(job.seen_at + deadline_s);
        } else {
            for (double factor : job_class->deadline_times)
                times.push_back(job.seen_at + deadline_s * factor);
        }
    }
    if (job.needed_by < kLatestTime) times.push_back(job.needed_by);
    if (!job_class) return times;
    for (double within : job_class->done_within_s) times.push_back(job.came_at() + within);
    // A job that may still start in time ends its run after that.
    if (job_class->start_within_s > 0 && job.placed + job.done == 0)
        times.push_back(job.came_at() + job_class->start_within_s + run_s);
    return times;
}

DueTime next_due_time(const Job& job, const DueTimes& times, double earliest) {
    DueTime due;
    for (double at : times) {
        if (at < earliest)
            ++due.missed;
        else
            due.at = std::min(due.at, at);
    }
    // What other jobs wait for keeps its times.
    uint32_t abandoned = job.needed_by < kLatestTime ? 0 : job.abandoned_deadlines;
    for (uint32_t n = 0; n < abandoned && due.at < kLatestTime; ++n) {
        double given_up = due.at;
        due.at = kNever;
        for (double at : times)
            if (at > given_up) due.at = std::min(due.at, at);
        ++due.missed;
    }
    return due;
}

}  // namespace weirmill
