// Whether jobs may use a machine or machine type, its present room aside.
#pragma once
#include "scheduler/eligibility.h"
#include "state/cluster_state.h"

namespace weirmill {

// Tasks fit the type, and do not take the resources that it reserves for jobs with GPUs.
inline bool type_suits(const ClusterState& cluster, const JobSpec& spec, Index type) {
    return cluster.type_fits(spec, type) && !cluster.must_leave_room_for_gpus(spec, type);
}

// The job may run in the zone, and on spot instances if it is one.
inline bool market_suits(const JobSpec& spec, bool spot, Index zone) {
    return (!spot || spec.spot) && (spec.zone == kNone || spec.zone == zone);
}

// The machine suits the job, and its team's limit leaves room for a task.
inline bool could_use(const ClusterState& cluster, const Job& job, const Machine& m) {
    return machine_suits(cluster, job.spec, m) &&
           cluster.within_limit(cluster.teams[job.spec.team], job.spec.demand);
}

}  // namespace weirmill
