// Placement of gangs: places all tasks at once or none.
#pragma once
#include <vector>

#include "scheduler/placement_pass.h"

namespace weirmill {

// Places all pending tasks of the gang and appends the placements to `out`. A gang that must stay
// in one zone tries one zone after the other. Returns false, with nothing changed, if the gang does
// not fit or exceeds its team's limit less `reserved_limit`. `now`: steady clock, seconds.
bool place_gang(PlacementPass& pass, Index index, const Resources& reserved_limit, double now,
                std::vector<Placement>& out);

}  // namespace weirmill
