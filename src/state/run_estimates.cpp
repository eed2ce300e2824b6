// Run times, boot times and due times of jobs, from estimates and what was observed.
#include <algorithm>

#include "state/cluster_state.h"
#include "state/due_times.h"

namespace weirmill {

namespace {
// Of an observed boot time to that of its type, as evidence.
constexpr double kMinBootRatio = 0.5, kMaxBootRatio = 4.0;
constexpr double kBootWeight = 0.2;  // of the newest boot
}  // namespace

double ClusterState::due(const Job& job, double earliest, int& missed) const {
    auto times = due_times(job, class_of(job.spec), expected_run_s(job.spec));
    auto next = next_due_time(job, times, earliest);
    missed = next.missed;
    return next.at;
}

size_t ClusterState::times_asked(const Job& job) const {
    return due_times(job, class_of(job.spec), expected_run_s(job.spec)).size();
}

double ClusterState::slowdown(const JobSpec& spec) const {
    const auto* c = class_of(spec);
    return c && spec.team < c->slowdown.size() ? c->slowdown[spec.team] : 0;
}

double ClusterState::expected_run_s(const JobSpec& spec) const {
    const auto* c = class_of(spec);
    return spec.estimate_s * (c ? c->bias : 1);
}

void ClusterState::learn_run(const JobSpec& spec, double run_s) {
    if (spec.job_class < classes.size()) learn_run_time(classes[spec.job_class], spec, run_s);
}

void ClusterState::learn_boot(Index type, double boot_s) {
    if (!offered(type) || types[type].type.boot_s <= 0) return;
    double ratio = std::clamp(boot_s / types[type].type.boot_s, kMinBootRatio, kMaxBootRatio);
    boot_factor += (ratio - boot_factor) * kBootWeight;
}

double ClusterState::fetch_s(const JobSpec& spec, Index type) const {
    double rate = types[type].type.fetch_gb_per_s;
    return rate > 0 ? spec.image_gb / rate : 0;
}

// A stage of a pipeline: its start waits for a heartbeat and for its image, then its tasks run.
double ClusterState::stage_s(const JobSpec& spec) const {
    double fetch = kNever;
    for (Index t = 0; t < types.size(); ++t)
        if (type_fits(spec, t)) fetch = std::min(fetch, fetch_s(spec, t));
    if (fetch >= kLatestTime) fetch = 0;  // no type is known yet
    return expected_run_s(spec) + heartbeat_interval_s_ + fetch;
}

}  // namespace weirmill
