// Classes of jobs: the service-level objectives that are set for them, and what their finished
// tasks showed of their owners' estimates of run times.
#pragma once
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "protocol/types.h"

namespace weirmill {

struct JobClass {
    // Objectives; spans in seconds.
    double start_within_s = 0;           // 0: none
    std::vector<double> done_within_s;   // shortest first
    std::vector<double> deadline_times;  // of a job's own deadline; shortest first, or none: once
    // Run time over estimate, and the weight of the evidence for it.
    double bias = 1, learnt = 0;
    std::deque<std::pair<double, uint32_t>> arrivals;  // of recent jobs: when, how many tasks
    JobSpec last;                                      // the newest of them
    // Of a team's jobs of this class, where more waits than its users can be served with in time:
    // the seconds that a job waits for each second and unit of its work. 0: not overloaded
    // (scheduler/overload_forecast.h). By team index.
    std::vector<double> slowdown;
};

// Adds what the settings ask for the class.
void add_objective(JobClass& c, const Objective& objective);
// The objective is one that scheduling can follow.
bool schedulable(const Objective& objective);
void sort_objectives(JobClass& c);

// A job of the class became ready at `now`, steady clock.
void add_arrival(JobClass& c, const JobSpec& spec, double now);
// A task of the job ran for `run_s` seconds. Estimates are corrected by the geometric mean over
// recent tasks, starting from the owners' figures.
void learn_run_time(JobClass& c, const JobSpec& spec, double run_s);

}  // namespace weirmill
