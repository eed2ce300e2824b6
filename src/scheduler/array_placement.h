// Placement of arrays and services: as many tasks as find room.
#pragma once
#include <vector>

#include "scheduler/placement_pass.h"

namespace weirmill {

struct ArrayPlacement {
    Resources held;          // of the team's limit, to be left to others
    bool near_only = false;  // only machines where the image is, or is being fetched
    size_t max_placed = 0;   // no more once `out` has so many
};

// Places pending tasks of the job in their order, appending them to `out`, until room, the team's
// limit or `max_placed` ends it. `now`: steady clock, seconds.
void place_array(PlacementPass& pass, Index index, const ArrayPlacement& bounds, double now,
                 std::vector<Placement>& out);

}  // namespace weirmill
