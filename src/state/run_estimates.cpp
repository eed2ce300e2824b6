// Run times, boot times and due times, derived from estimates and observations.
#include <algorithm>

#include "state/cluster_state.h"
#include "state/due_times.h"

namespace weirmill {

namespace {
// Ratios of an observed boot time to that of its type are clamped to this range.
constexpr double kMinBootRatio = 0.5, kMaxBootRatio = 4.0;
constexpr double kBootWeight = 0.2;  // weight of the newest observation
}  // namespace

double ClusterState::due_time(const Job& job, double earliest_end, int& missed) const {
    auto times = due_times(job, class_of(job.spec), expected_run_s(job.spec));
    auto next = next_due_time(job, times, earliest_end);
    missed = next.missed;
    return next.time;
}

size_t ClusterState::due_time_count(const Job& job) const {
    return due_times(job, class_of(job.spec), expected_run_s(job.spec)).size();
}

double ClusterState::slowdown(const JobSpec& spec) const {
    const auto* job_class = class_of(spec);
    return job_class && spec.team < job_class->slowdown.size() ? job_class->slowdown[spec.team] : 0;
}

double ClusterState::expected_run_s(const JobSpec& spec) const {
    const auto* job_class = class_of(spec);
    return spec.estimate_s * (job_class ? job_class->run_time_bias : 1);
}

void ClusterState::observe_run_time(const JobSpec& spec, double run_s) {
    if (spec.job_class < classes.size()) update_run_time_bias(classes[spec.job_class], spec, run_s);
}

void ClusterState::observe_boot_time(Index type, double boot_s) {
    if (!offered(type) || types[type].type.boot_s <= 0) return;
    double ratio = std::clamp(boot_s / types[type].type.boot_s, kMinBootRatio, kMaxBootRatio);
    boot_factor += (ratio - boot_factor) * kBootWeight;
}

double ClusterState::image_fetch_s(const JobSpec& spec, Index type) const {
    double rate_gb_per_s = types[type].type.fetch_gb_per_s;
    return rate_gb_per_s > 0 ? spec.image_gb / rate_gb_per_s : 0;
}

// The duration of a pipeline stage: its start command waits for a heartbeat, then its image is
// fetched, then its tasks run.
double ClusterState::pipeline_stage_s(const JobSpec& spec) const {
    double fetch_s = kNever;
    for (Index t = 0; t < types.size(); ++t)
        if (type_fits(spec, t)) fetch_s = std::min(fetch_s, image_fetch_s(spec, t));
    if (fetch_s >= kLatestTime) fetch_s = 0;  // no machine type is known yet
    return expected_run_s(spec) + heartbeat_interval_s_ + fetch_s;
}

}  // namespace weirmill
