// What the scheduler and the autoscaler are given beside the cluster state: which machines are
// usable, and the autoscaler's settings. Pure functions of the leader's context.
#pragma once
#include "autoscaler/autoscaler.h"
#include "controller/leader_context.h"
#include "scheduler/placement.h"

namespace weirmill {

// Seconds without a heartbeat after which a machine counts as silent: nothing new is placed there.
inline double silence_s(const Settings& settings) {
    return 2.2 * settings.heartbeat_interval_s + 1;
}

// The machine may be given tasks now.
[[nodiscard]] bool usable(const LeaderContext& context, const Machine& machine);

// The same as a predicate. It refers to `context`, which must outlive it.
[[nodiscard]] inline MachineFilter usable_now(const LeaderContext& context) {
    return [&context](const Machine& machine) { return usable(context, machine); };
}

[[nodiscard]] AutoscalerSettings autoscaler_settings(const LeaderContext& context);

}  // namespace weirmill
