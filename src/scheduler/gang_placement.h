// Placement of gangs: all tasks at once or none.
#pragma once
#include <vector>

#include "scheduler/placement_pass.h"

namespace weirmill {

// Places all pending tasks of the gang, appending them to `out`; with one zone, the zones are tried
// in turn. False: there is no room for the whole of it, or its team's limit less `held` does not
// allow it, and nothing changed. `now`: steady clock, seconds.
bool place_gang(PlacementPass& pass, Index index, const Resources& held, double now,
                std::vector<Placement>& out);

}  // namespace weirmill
