// Where waiting tasks go: best-fit decreasing by GPU demand, or CPU without GPUs. The order of the
// jobs is that of job_order.h; gang_placement.h and array_placement.h place one job;
// placement_pass.h holds what a pass shares among them.
#pragma once
#include <functional>
#include <vector>

#include "scheduler/eligibility.h"
#include "scheduler/job_order.h"
#include "scheduler/zone_rule.h"
#include "state/cluster_state.h"

namespace weirmill {

struct Placement {
    Index job;
    uint32_t task;
    Index machine;
    uint32_t attempt;
    bool operator==(const Placement&) const = default;
};

// True: the machine may be given tasks now.
using Usable = std::function<bool(const Machine&)>;

// Room to keep for a class whose jobs should start sooner than a new machine comes up.
struct Headroom {
    const JobSpec* like;
    int64_t tasks;    // that should find room, free or soon cleared
    int64_t at_once;  // of those, on empty machines: what comes while others are cleared
};

// Places what fits, marking it in the cluster state, and returns it: about `most` tasks at the
// most, as a gang is placed whole. Work of lower priority leaves the `headroom` machines empty.
// `first`: jobs that go before their equals (start_deadline.h): of an array one task, as it has
// begun then. `now`: steady clock, seconds. The caller must own the cluster state.
std::vector<Placement> place_waiting(ClusterState& cluster, const Usable& usable, double now,
                                     size_t most = 4096, const std::vector<Headroom>& headroom = {},
                                     const std::vector<Index>& first = {});

}  // namespace weirmill
