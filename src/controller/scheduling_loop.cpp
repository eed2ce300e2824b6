#include "controller/scheduling_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/planning_inputs.h"
#include "scheduler/placement.h"
#include "scheduler/start_deadline.h"

namespace weirmill {

namespace {

constexpr double kGangReservation_s = 5;  // renewed with each pass
constexpr size_t kMaxPlaced = 4096;       // in one pass

}  // namespace

void SchedulingLoop::run_if_due() {
    if (context_.scheduling_needed && context_.now >= next_pass_) run();
}

void SchedulingLoop::run() {
    next_pass_ = context_.now + context_.properties.scheduling_pause_s;
    if (!may_decide_()) return;
    context_.scheduling_needed = false;
    ++passes_;
    std::vector<Index> late;
    if (context_.properties.overload_enabled)
        late = jobs_near_start_deadline(context_.cluster, context_.properties.start_deadline_s,
                                        context_.now);
    place_waiting(context_.cluster, usable_now(context_), context_.now, kMaxPlaced,
                  planned_headroom(context_.cluster, autoscaler_settings(context_), context_.now),
                  late);
    reserve_for_late_gang(late);
}

// For one gang at a time, the one that waits the longest.
void SchedulingLoop::reserve_for_late_gang(const std::vector<Index>& late) {
    auto gang = std::ranges::find_if(late, [&](Index j) {
        auto& job = *context_.cluster.jobs[j];
        return job.spec.kind == JobKind::Gang && job.placed == 0;
    });
    if (gang == late.end()) return;
    for (auto i : machines_for_gang(context_.cluster, usable_now(context_), *gang, context_.now)) {
        context_.cluster.machines[i]->reserved_for = *gang;
        context_.cluster.machines[i]->reserved_until = context_.now + kGangReservation_s;
    }
}

void SchedulingLoop::preempt() {
    if (!may_decide_()) return;
    auto round = plan_preemption(context_.cluster, usable_now(context_), context_.now);
    if (round.clearings.empty()) return;
    ++rounds_;
    context_.metrics.increment("preemption_rounds_total");
    context_.metrics.increment("preemption_stops_total", round.stops.size());
    context_.state_log.note(kRoundKey, round_record(round, context_.cluster, rounds_));
    reserve_cleared(round);
    for (auto& ref : round.stops) {
        auto& task = context_.cluster.jobs[ref.job]->tasks[ref.task];
        if (task.state == TaskState::Placed && !task.stopping)
            task_lifecycle_.stop_task(ref.job, ref.task, true);
    }
}

// For as long as the stopped tasks may take to be gone.
void SchedulingLoop::reserve_cleared(const PreemptionRound& round) {
    double until =
        context_.now + 2 * context_.properties.preemption_round_s + context_.settings.lease_s;
    for (auto& clearing : round.clearings) {
        for (auto* machines : {&clearing.machines, &clearing.kept})
            for (auto i : *machines) {
                context_.cluster.machines[i]->reserved_for = clearing.job;
                context_.cluster.machines[i]->reserved_until = until;
            }
        spdlog::info("preemption: round={} job={} machines={} kept={} stops={}", rounds_,
                     context_.cluster.jobs[clearing.job]->spec.id, clearing.machines.size(),
                     clearing.kept.size(), round.stops.size());
    }
}

}  // namespace weirmill
