// Inputs of the scheduler and the autoscaler besides the cluster state: which machines are usable,
// and the autoscaler's settings. Pure functions of the leader's context.
#pragma once
#include "autoscaler/autoscaler.h"
#include "controller/leader_context.h"
#include "scheduler/placement.h"

namespace weirmill {

// Seconds without a heartbeat after which a machine counts as silent and gets no new tasks.
inline double silence_threshold_s(const Settings& settings) {
    return 2.2 * settings.heartbeat_interval_s + 1;
}

// Returns whether tasks may be placed on the machine now.
[[nodiscard]] bool is_usable(const LeaderContext& context, const Machine& machine);

// Returns is_usable as a predicate. It refers to `context`, which must outlive it.
[[nodiscard]] inline MachineFilter usable_predicate(const LeaderContext& context) {
    return [&context](const Machine& machine) { return is_usable(context, machine); };
}

[[nodiscard]] AutoscalerSettings autoscaler_settings(const LeaderContext& context);

}  // namespace weirmill
