// Placement of waiting tasks on machines: best-fit decreasing by GPU demand, or by CPU demand for
// tasks without GPUs. job_order.h defines the order of the jobs, gang_placement.h and
// array_placement.h place a single job, and placement_pass.h holds the state that they share.
#pragma once
#include <functional>
#include <vector>

#include "scheduler/eligibility.h"
#include "scheduler/job_order.h"
#include "scheduler/zone_constraint.h"
#include "state/cluster_state.h"

namespace weirmill {

struct Placement {
    Index job;
    uint32_t task;
    Index machine;
    uint32_t attempt;
    bool operator==(const Placement&) const = default;
};

// Returns whether the machine may be given tasks now.
using MachineFilter = std::function<bool(const Machine&)>;

// Capacity to keep available for a job class whose jobs should start sooner than a new machine
// boots.
struct Headroom {
    const JobSpec* spec;  // of a typical job of the class; not owned
    int64_t tasks;        // tasks that should find capacity, free or soon freed by preemption
    // Tasks out of these for which empty machines are kept: the arrivals that are expected while
    // others wait for an eviction.
    int64_t tasks_on_empty_machines;
};

// Places the waiting tasks that fit, in the cluster state, and returns their placements. Stops
// after `max_placements`, which a gang may exceed as it is placed as a whole. Jobs of lower
// priority do not use the machines that `headroom` keeps empty. `near_start_deadline`: jobs that
// are placed before the others of their precedence (start_deadline.h); an array among them gets
// only one task early, because it counts as started then. `now`: steady clock, seconds. The caller
// must own the cluster state.
std::vector<Placement> place_waiting_jobs(ClusterState& cluster, const MachineFilter& usable,
                                          double now, size_t max_placements = 4096,
                                          const std::vector<Headroom>& headroom = {},
                                          const std::vector<Index>& near_start_deadline = {});

}  // namespace weirmill
