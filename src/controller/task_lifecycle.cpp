#include "controller/task_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace weirmill {

namespace {

// Delay of a job after a worker did not accept one of its tasks: the worker lacked resources, was
// busy or did not know the task.
constexpr double kNotAcceptedDelay_s = 1;
// A job that fails on several machines is delayed by min(kMaxBackOff_s, kBackOff_s * 2^n), where n
// grows with its failures and is at most kMaxBackOffExponent.
constexpr double kBackOff_s = 2;
constexpr double kMaxBackOff_s = 120;
constexpr double kMaxBackOffExponent = 8;

// Returns whether this leader observed the whole run of the task. Runs that an earlier leader had
// started, or that resumed from a checkpoint, are excluded: with them, the estimated run times of a
// job class fell to a quarter after each change of leader.
bool observed_whole_run(const Task& task) {
    return task.running_at > 0 && task.start_seq > 0 && task.attempt <= 1;
}

}  // namespace

void TaskLifecycle::handle_exit(Index job_index, uint32_t task_index, Index machine_index,
                                const TaskStatus& status) {
    auto& job = *context_.cluster.jobs[job_index];
    context_.scheduling_needed = true;
    if (status.cause == ExitCause::Done && job.spec.kind != JobKind::Service)
        handle_success(job_index, task_index, machine_index);
    else
        handle_unsuccessful_exit(job_index, task_index, machine_index, status);
    reconcile_job(job_index);
}

void TaskLifecycle::handle_success(Index job_index, uint32_t task_index, Index machine_index) {
    auto& job = *context_.cluster.jobs[job_index];
    auto& machine = *context_.cluster.machines[machine_index];
    machine.faulty_jobs.clear();
    machine.fault_count = 0;
    if (observed_whole_run(job.tasks[task_index]))
        context_.cluster.observe_run_time(job.spec,
                                          context_.now - job.tasks[task_index].running_at);
    if (job.spec.kind != JobKind::Gang)
        return context_.cluster.finish(job_index, task_index, context_.now);
    // All tasks of a gang complete together.
    for (uint32_t i = 0; i < job.tasks.size(); ++i)
        context_.cluster.finish(job_index, i, context_.now);
}

void TaskLifecycle::handle_unsuccessful_exit(Index job_index, uint32_t task_index,
                                             Index machine_index, const TaskStatus& status) {
    auto& job = *context_.cluster.jobs[job_index];
    auto& machine = *context_.cluster.machines[machine_index];
    bool graceful = job.tasks[task_index].graceful;
    if (status.cause != ExitCause::Stopped)
        spdlog::info("task: {}/{} attempt={} exited on {} cause={}", job.spec.id, task_index,
                     status.attempt, machine.name, static_cast<int>(status.cause));
    context_.cluster.unassign(job_index, task_index, context_.now);
    if (status.cause == ExitCause::Error) handle_failure(job_index, machine_index);
    bool not_accepted = status.cause == ExitCause::NoCapacity || status.cause == ExitCause::Busy ||
                        status.cause == ExitCause::Unknown;
    if (not_accepted) job.not_before = std::max(job.not_before, context_.now + kNotAcceptedDelay_s);
    if (job.spec.kind == JobKind::Gang)
        end_gang_attempt(job_index, graceful, status.cause == ExitCause::GangWaitTimeout);
}

// A machine on which different jobs fail is faulty and is quarantined. A job that fails on
// different machines is faulty itself and is retried with a back-off.
void TaskLifecycle::handle_failure(Index job_index, Index machine_index) {
    auto& job = *context_.cluster.jobs[job_index];
    auto& machine = *context_.cluster.machines[machine_index];
    ++job.failures;
    ++machine.fault_count;
    job.failed_machines.insert(machine_index);
    machine.faulty_jobs.insert(job_index);
    bool has_working_tasks = job.done > 0 || job.running > 0;
    if (job.failed_machines.size() >= 2 && !has_working_tasks && machine.faulty_jobs.size() < 2)
        return back_off(job);
    quarantine(machine, job);
}

// Delays the job, and ends the quarantine of machines on which no other job has failed.
void TaskLifecycle::back_off(Job& job) {
    double weighted_failures = static_cast<double>(job.failed_machines.size()) + job.failures / 8.0;
    double exponent = std::min(weighted_failures, static_cast<double>(kMaxBackOffExponent));
    job.not_before = context_.now + std::min(kMaxBackOff_s, kBackOff_s * std::pow(2.0, exponent));
    for (auto i : job.failed_machines) {
        auto* other_machine = context_.cluster.machines[i].get();
        if (other_machine && other_machine->faulty_jobs.size() <= 1 &&
            other_machine->quarantined_until > context_.now)
            other_machine->quarantined_until = 0;
    }
    spdlog::info("job: {} failed on {} machines, retry in {:.0f}s", job.spec.id,
                 job.failed_machines.size(), job.not_before - context_.now);
}

void TaskLifecycle::quarantine(Machine& machine, const Job& job) {
    if (machine.quarantined_until > context_.now) return;
    spdlog::info("machine: {} quarantined after job {} failed on it", machine.name, job.spec.id);
    context_.metrics.increment("machines_quarantined_total");
    machine.quarantined_until = context_.now + context_.properties.quarantine_s;
}

void TaskLifecycle::mark_lost(Index job_index, uint32_t task_index) {
    auto& job = *context_.cluster.jobs[job_index];
    spdlog::info("task: {}/{} attempt={} lost on {}", job.spec.id, task_index,
                 job.tasks[task_index].attempt,
                 context_.cluster.machines[job.tasks[task_index].machine]->name);
    context_.metrics.increment("tasks_lost_total");
    bool graceful = job.tasks[task_index].graceful;
    context_.cluster.unassign(job_index, task_index, context_.now);
    context_.scheduling_needed = true;
    if (job.spec.kind == JobKind::Gang) end_gang_attempt(job_index, graceful);
    reconcile_job(job_index);
}

// Ends the gang's current attempt. All of its tasks must be gone before the next attempt starts.
// With `keep_fetching`, tasks that are fetching their image are not stopped until they have it, as
// a stop makes the worker abort the fetch. Without this, a gang whose image takes longer to fetch
// than its tasks wait for each other restarted every half minute and never ran.
void TaskLifecycle::end_gang_attempt(Index job_index, bool graceful, bool keep_fetching) {
    auto& job = *context_.cluster.jobs[job_index];
    job.gang_attempt_ending = job.placed > 0;
    for (uint32_t task_index = 0; task_index < job.tasks.size(); ++task_index) {
        auto& task = job.tasks[task_index];
        if (task.state != TaskState::Placed || task.stopping) continue;
        if (!keep_fetching || task.phase != TaskPhase::Fetching)
            stop_task(job_index, task_index, graceful);
    }
}

void TaskLifecycle::reconcile_job(Index job_index) {
    auto& job = *context_.cluster.jobs[job_index];
    if (job.ending || job.record_revision == 0) return;
    if (job.spec.kind == JobKind::Gang && job.placed == 0) job.gang_attempt_ending = false;
    if (job.cancelled) {
        stop_cancelled_job(job_index);
        if (job.placed > 0) return;
        spdlog::debug("job: {} cancelled, none of its tasks is left", job.spec.id);
        if (!context_.cluster.cancellation_fully_logged(job_index)) return;
    } else if (job.done < job.tasks.size()) {
        // After a change of leader or the loss of a task, only a part of the gang is placed.
        if (job.spec.kind == JobKind::Gang && job.placed > 0 && job.pending > 0 &&
            !job.gang_attempt_ending)
            end_gang_attempt(job_index, false);
        return;
    }
    job.ending = true;
    job.ended_wall = wall_now();
    context_.state_log.queue_job_end(job_index);
}

// The results of a cancelled job are not needed, so its tasks get no time to write a checkpoint.
void TaskLifecycle::stop_cancelled_job(Index job_index) {
    auto& job = *context_.cluster.jobs[job_index];
    for (uint32_t task_index = 0; task_index < job.tasks.size(); ++task_index) {
        auto& task = job.tasks[task_index];
        if (task.state == TaskState::Placed && (!task.stopping || task.graceful))
            stop_task(job_index, task_index, false);
    }
}

void TaskLifecycle::reconcile_cancelled_jobs(const std::vector<Index>& job_indexes) {
    for (auto job_index : job_indexes)
        if (context_.cluster.jobs[job_index]->cancelled) reconcile_job(job_index);
}

void TaskLifecycle::stop_task(Index job_index, uint32_t task_index, bool graceful) {
    auto& job = *context_.cluster.jobs[job_index];
    auto& task = job.tasks[task_index];
    task.stopping = true;
    task.graceful = graceful && job.spec.checkpoint_interval_s > 0;
    if (job.spec.kind == JobKind::Gang) job.gang_attempt_ending = true;
    stop_sender_.queue_stop(task.machine, {CommandOp::Stop, job.spec.id, task_index, task.attempt,
                                           stop_grace_s(job, task)});
}

// Ends the attempts of gangs, stops tasks that are not running yet, and gracefully stops tasks that
// can write a checkpoint within the notice. Other tasks continue, as they may still complete before
// the interruption.
void TaskLifecycle::prepare_for_interruption(Index machine_index, double notice_s) {
    auto tasks = context_.cluster.machines[machine_index]->tasks;
    for (auto& ref : tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.state != TaskState::Placed || task.machine != machine_index || task.stopping)
            continue;
        if (job.spec.kind == JobKind::Gang) {
            end_gang_attempt(ref.job, notice_s >= job.spec.checkpoint_duration_s);
        } else if (task.phase != TaskPhase::Running && task.phase != TaskPhase::Saving) {
            stop_task(ref.job, ref.task, false);
        } else if (job.spec.checkpoint_interval_s > 0 &&
                   notice_s >= job.spec.checkpoint_duration_s) {
            stop_task(ref.job, ref.task, true);
        }
    }
}

}  // namespace weirmill
