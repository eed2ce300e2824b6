// Placement of arrays and services: places as many of a job's tasks as fit.
#pragma once
#include <vector>

#include "scheduler/placement_pass.h"

namespace weirmill {

struct ArrayPlacementBounds {
    Resources reserved_limit;  // part of the team's limit that the job must leave to other jobs
    // Use only machines that have the job's image or are fetching it.
    bool image_machines_only = false;
    size_t max_placements = 0;  // placement stops when `out` has this size
};

// Places the job's pending tasks in index order and appends the placements to `out`, until no
// machine has room, the team's limit is reached, or `out` has `max_placements` entries.
// `now`: steady clock, seconds.
void place_array(PlacementPass& pass, Index index, const ArrayPlacementBounds& bounds, double now,
                 std::vector<Placement>& out);

}  // namespace weirmill
