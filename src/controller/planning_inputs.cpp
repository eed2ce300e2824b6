#include "controller/planning_inputs.h"

namespace weirmill {

namespace {

constexpr double kStopDuration_s = 3;  // from the stop of a task until its resources are free

}  // namespace

bool is_usable(const LeaderContext& context, const Machine& machine) {
    const auto& types = context.cluster.types;
    bool is_leaving = machine.terminating || machine.abandoned || machine.draining ||
                      machine.interruption_at >= 0;
    return machine.up && !is_leaving && machine.quarantined_until <= context.now &&
           context.now - machine.last_heartbeat < silence_threshold_s(context.settings) &&
           !machine.downlink.downlink_lost() && machine.type < types.size() &&
           types[machine.type].offered;
}

AutoscalerSettings autoscaler_settings(const LeaderContext& context) {
    AutoscalerSettings settings;
    settings.idle_keep_boots = context.properties.idle_keep_boots;
    settings.heartbeat_interval_s = context.settings.heartbeat_interval_s;
    // In the worst case a job arrives just after a preemption round. The next round then stops
    // tasks, which write their checkpoints, and their workers report the exits.
    settings.preemption_duration_s = context.properties.preemption_round_s + kStopDuration_s;
    return settings;
}

}  // namespace weirmill
