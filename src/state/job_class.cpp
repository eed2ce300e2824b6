#include "state/job_class.h"

#include <algorithm>
#include <cmath>

namespace weirmill {

namespace {
constexpr size_t kMaxArrivals = 64;
constexpr double kMinRatio = 0.2, kMaxRatio = 5.0;  // of run time to estimate, as evidence
constexpr double kMaxEvidence = 20.0;
constexpr double kPriorEvidence = 3;  // of the owners' own figures
constexpr double kMaxTasksCounted = 8;

bool is_deadline(const Objective& objective) {
    return objective.kind == "deadline" && objective.times > 0;
}
}  // namespace

bool schedulable(const Objective& objective) {
    return !objective.job_class.empty() && (objective.within_s > 0 || is_deadline(objective));
}

void add_objective(JobClass& c, const Objective& objective) {
    if (objective.kind == "wait") {
        bool first = c.start_within_s <= 0;
        c.start_within_s =
            first ? objective.within_s : std::min(c.start_within_s, objective.within_s);
    }
    if (objective.kind == "finished") c.done_within_s.push_back(objective.within_s);
    if (is_deadline(objective)) c.deadline_times.push_back(objective.times);
}

void sort_objectives(JobClass& c) {
    std::ranges::sort(c.done_within_s);
    std::ranges::sort(c.deadline_times);
}

void add_arrival(JobClass& c, const JobSpec& spec, double now) {
    c.arrivals.emplace_back(now, spec.tasks);
    if (c.arrivals.size() > kMaxArrivals) c.arrivals.pop_front();
    c.last = spec;
}

void learn_run_time(JobClass& c, const JobSpec& spec, double run_s) {
    if (spec.estimate_s <= 0 || run_s <= 0) return;
    double ratio = std::clamp(run_s / spec.estimate_s, kMinRatio, kMaxRatio);
    // Tasks of one job share its error: a task of a large job says less.
    double weight = 1.0 / std::min<double>(spec.tasks, kMaxTasksCounted);
    c.learnt = std::min(c.learnt + weight, kMaxEvidence);
    c.bias *= std::pow(ratio / c.bias, weight / (c.learnt + kPriorEvidence));
}

}  // namespace weirmill
