// Decides when the tasks of a gang are launched, so that no task waits for the others longer than
// its worker allows. A pure function of the cluster state and a given time (steady clock, seconds).
#pragma once
#include "state/cluster_state.h"

namespace weirmill {

// Returns whether the task, which must be placed, may be launched now. A task whose machine has the
// image waits for its gang from its launch on and exits after `gang_wait_s`. Tasks on machines
// that still have to fetch the image are therefore launched first, and the others once the slowest
// fetch is certain to end in time. `gang_wait_s` and `heartbeat_interval_s`: as in the settings.
bool may_launch(const ClusterState& cluster, const Job& job, uint32_t task, double gang_wait_s,
                double heartbeat_interval_s, double now);

}  // namespace weirmill
