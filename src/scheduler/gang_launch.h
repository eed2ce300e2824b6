// When the tasks of a gang are launched, so that none waits for the others longer than a worker
// lets it. A pure function of the cluster state and a given time (steady clock, seconds).
#pragma once
#include "state/cluster_state.h"

namespace weirmill {

// Whether the task, which is placed, may be launched now. One whose machine has the image waits for
// the others from its launch on and gives up after `gang_wait_s`; so those on machines that have
// still to fetch it go first, and the others follow once the slowest fetch is certain to end in
// time. `gang_wait_s` and `heartbeat_interval_s`: as in the settings.
bool may_launch(const ClusterState& cluster, const Job& job, uint32_t task, double gang_wait_s,
                double heartbeat_interval_s, double now);

}  // namespace weirmill
