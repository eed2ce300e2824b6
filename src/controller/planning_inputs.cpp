#include "controller/planning_inputs.h"

namespace weirmill {

namespace {

constexpr double kStopDuration_s = 3;  // from the stop of a task until its room is free

}  // namespace

bool usable(const LeaderContext& context, const Machine& machine) {
    const auto& types = context.cluster.types;
    bool leaves = machine.terminating || machine.abandoned || machine.draining ||
                  machine.interruption_at >= 0;
    return machine.up && !leaves && machine.quarantined_until <= context.now &&
           context.now - machine.last_heartbeat < silence_s(context.settings) &&
           !machine.downlink.downlink_lost() && machine.type < types.size() &&
           types[machine.type].offered;
}

AutoscalerSettings autoscaler_settings(const LeaderContext& context) {
    AutoscalerSettings s;
    s.idle_keep_boots = context.properties.idle_keep_boots;
    s.heartbeat_interval_s = context.settings.heartbeat_interval_s;
    // A preemption round may just be over; then tasks save, and their workers say that they are
    // gone.
    s.preemption_duration_s = context.properties.preemption_round_s + kStopDuration_s;
    return s;
}

}  // namespace weirmill
