#include "controller/scheduling_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/planning_inputs.h"
#include "scheduler/placement.h"
#include "scheduler/start_deadline.h"

namespace weirmill {

namespace {

constexpr double kGangReservation_s = 5;  // each scheduling pass renews the reservation
constexpr size_t kMaxPlacementsPerPass = 4096;

}  // namespace

void SchedulingLoop::run_if_due() {
    if (context_.scheduling_needed && context_.now >= next_pass_at_) run_pass();
}

void SchedulingLoop::run_pass() {
    next_pass_at_ = context_.now + context_.properties.scheduling_pause_s;
    if (!may_decide_()) return;
    context_.scheduling_needed = false;
    ++passes_;
    std::vector<Index> late_jobs;
    if (context_.properties.overload_enabled)
        late_jobs = jobs_near_start_deadline(context_.cluster, context_.properties.start_deadline_s,
                                             context_.now);
    place_waiting_jobs(
        context_.cluster, usable_predicate(context_), context_.now, kMaxPlacementsPerPass,
        planned_headroom(context_.cluster, autoscaler_settings(context_), context_.now), late_jobs);
    reserve_for_late_gang(late_jobs);
}

// Reserves machines for the gang that has waited longest. Only one gang has a reservation at a
// time.
void SchedulingLoop::reserve_for_late_gang(const std::vector<Index>& late_jobs) {
    auto gang = std::ranges::find_if(late_jobs, [&](Index job_index) {
        auto& job = *context_.cluster.jobs[job_index];
        return job.spec.kind == JobKind::Gang && job.placed == 0;
    });
    if (gang == late_jobs.end()) return;
    for (auto i : machines_to_reserve_for_gang(context_.cluster, usable_predicate(context_), *gang,
                                               context_.now)) {
        context_.cluster.machines[i]->reserved_for = *gang;
        context_.cluster.machines[i]->reserved_until = context_.now + kGangReservation_s;
    }
}

void SchedulingLoop::run_preemption_round() {
    if (!may_decide_()) return;
    auto round = plan_preemption(context_.cluster, usable_predicate(context_), context_.now);
    if (round.evictions.empty()) return;
    ++preemption_rounds_;
    context_.metrics.increment("preemption_rounds_total");
    context_.metrics.increment("preemption_stops_total", round.victims.size());
    context_.state_log.queue_single_record(
        kRoundKey, preemption_round_json(round, context_.cluster, preemption_rounds_));
    reserve_for_preemptors(round);
    for (auto& ref : round.victims) {
        auto& task = context_.cluster.jobs[ref.job]->tasks[ref.task];
        if (task.state == TaskState::Placed && !task.stopping)
            task_lifecycle_.stop_task(ref.job, ref.task, true);
    }
}

// Reserves the evicted and the empty machines of a round for its preempting jobs, until the stopped
// tasks have certainly ended.
void SchedulingLoop::reserve_for_preemptors(const PreemptionRound& round) {
    double until =
        context_.now + 2 * context_.properties.preemption_round_s + context_.settings.lease_s;
    for (auto& eviction : round.evictions) {
        for (auto* machines : {&eviction.machines, &eviction.empty_machines})
            for (auto i : *machines) {
                context_.cluster.machines[i]->reserved_for = eviction.job;
                context_.cluster.machines[i]->reserved_until = until;
            }
        spdlog::info("preemption: round={} job={} machines={} empty_machines={} stops={}",
                     preemption_rounds_, context_.cluster.jobs[eviction.job]->spec.id,
                     eviction.machines.size(), eviction.empty_machines.size(),
                     round.victims.size());
    }
}

}  // namespace weirmill
