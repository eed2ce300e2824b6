// Job classes: the service-level objectives of a class, and how far the run times of its finished
// tasks differ from the users' estimates.
#pragma once
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "protocol/types.h"

namespace weirmill {

struct JobClass {
    // Objectives; durations are in seconds.
    double start_within_s = 0;            // 0: none
    std::vector<double> finish_within_s;  // shortest first
    // Multiples of a job's own deadline, smallest first. Empty: the deadline itself.
    std::vector<double> deadline_factors;
    // Geometric mean of run time divided by estimate, and the weight of the evidence for it.
    double run_time_bias = 1, bias_evidence = 0;
    // The time and the number of tasks of each recent job.
    std::deque<std::pair<double, uint32_t>> recent_arrivals;
    JobSpec latest_job;  // the newest of the recent jobs
    // By team index, for teams whose waiting jobs of this class can't all meet their objectives:
    // seconds of delay for each second and resource unit of a job's work. 0: not overloaded
    // (scheduler/overload_forecast.h).
    std::vector<double> slowdown;
};

// Adds an objective from the settings to the class.
void add_objective(JobClass& job_class, const Objective& objective);
// Returns whether scheduling takes the objective into account.
bool affects_scheduling(const Objective& objective);
void sort_objectives(JobClass& job_class);

// Adds a job of the class that became ready at `now` on the steady clock.
void add_arrival(JobClass& job_class, const JobSpec& spec, double now);
// Takes into account that a task of the job ran for `run_s` seconds. The bias is the geometric mean
// over recent tasks, with a prior that trusts the users' estimates.
void update_run_time_bias(JobClass& job_class, const JobSpec& spec, double run_s);

}  // namespace weirmill
