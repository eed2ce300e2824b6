// When the tasks of a gang are launched, so that none waits for the others longer than a worker
// lets it. Pure functions of the tables and a given time; they own nothing.
#pragma once
#include "state/cluster_state.h"

namespace weirmill {

// Whether the task, which is placed, may be launched now. One whose machine has the image waits
// from then on and gives up after `gang_wait_s`; those on machines that have still to fetch it go
// first, and the others follow once the slowest of them will surely be there in time. Seconds, as
// in the settings.
bool may_launch(const ClusterState& cluster, const Job& job, uint32_t task, double gang_wait_s,
                double heartbeat_interval_s, double now);

}  // namespace weirmill
