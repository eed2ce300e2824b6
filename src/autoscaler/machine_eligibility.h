// Whether jobs may use a machine or machine type, regardless of its available resources.
#pragma once
#include "scheduler/eligibility.h"
#include "state/cluster_state.h"

namespace weirmill {

// Returns whether tasks of the job fit the machine type and the type is not reserved for jobs with
// GPUs.
inline bool type_eligible(const ClusterState& cluster, const JobSpec& spec, Index type) {
    return cluster.type_fits(spec, type) && !cluster.must_leave_room_for_gpus(spec, type);
}

// Returns whether the job may run in the zone and, if `spot`, on spot instances.
inline bool market_eligible(const JobSpec& spec, bool spot, Index zone) {
    return (!spot || spec.spot) && (spec.zone == kNone || spec.zone == zone);
}

// Returns whether the machine suits the job and its team's limit allows another task of it.
inline bool may_start_on(const ClusterState& cluster, const Job& job, const Machine& machine) {
    return machine_eligible(cluster, job.spec, machine) &&
           cluster.within_limit(cluster.teams[job.spec.team], job.spec.demand);
}

}  // namespace weirmill
