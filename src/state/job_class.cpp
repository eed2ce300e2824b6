#include "state/job_class.h"

#include <algorithm>
#include <cmath>

namespace weirmill {

namespace {
constexpr size_t kMaxArrivals = 64;  // recent jobs kept for each class
// Ratios of run time to estimate are clamped to this range.
constexpr double kMinRatio = 0.2, kMaxRatio = 5.0;
constexpr double kMaxEvidence = 20.0;
constexpr double kPriorEvidence = 3;  // weight of the users' estimates
// Limits how far the weight of a task decreases with the number of tasks of its job.
constexpr double kMaxTasksCounted = 8;

bool is_deadline(const Objective& objective) {
    return objective.kind == "deadline" && objective.times > 0;
}
}  // namespace

bool affects_scheduling(const Objective& objective) {
    return !objective.job_class.empty() && (objective.within_s > 0 || is_deadline(objective));
}

void add_objective(JobClass& job_class, const Objective& objective) {
    if (objective.kind == "wait") {
        bool is_first = job_class.start_within_s <= 0;
        job_class.start_within_s =
            is_first ? objective.within_s : std::min(job_class.start_within_s, objective.within_s);
    }
    if (objective.kind == "finished") job_class.finish_within_s.push_back(objective.within_s);
    if (is_deadline(objective)) job_class.deadline_factors.push_back(objective.times);
}

void sort_objectives(JobClass& job_class) {
    std::ranges::sort(job_class.finish_within_s);
    std::ranges::sort(job_class.deadline_factors);
}

void add_arrival(JobClass& job_class, const JobSpec& spec, double now) {
    job_class.recent_arrivals.emplace_back(now, spec.tasks);
    if (job_class.recent_arrivals.size() > kMaxArrivals) job_class.recent_arrivals.pop_front();
    job_class.latest_job = spec;
}

void update_run_time_bias(JobClass& job_class, const JobSpec& spec, double run_s) {
    if (spec.estimate_s <= 0 || run_s <= 0) return;
    double ratio = std::clamp(run_s / spec.estimate_s, kMinRatio, kMaxRatio);
    // The tasks of a job share the error of its estimate, so each task of a large job weighs less.
    double weight = 1.0 / std::min<double>(spec.tasks, kMaxTasksCounted);
    job_class.bias_evidence = std::min(job_class.bias_evidence + weight, kMaxEvidence);
    job_class.run_time_bias *= std::pow(ratio / job_class.run_time_bias,
                                        weight / (job_class.bias_evidence + kPriorEvidence));
}

}  // namespace weirmill
