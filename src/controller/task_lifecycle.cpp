#include "controller/task_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace weirmill {

namespace {

constexpr double kNotTakenPause_s = 1;  // after a worker without room, busy, or without the task
// A job that fails on several machines waits for min(kMaxBackOff_s, kBackOff_s * 2^n).
constexpr double kBackOff_s = 2;
constexpr double kMaxBackOff_s = 120;
constexpr double kMaxBackOffExponent = 8;

// This leader saw the whole run of the task. Learnt from tasks that an earlier leader had started,
// or that resumed from a checkpoint, a class's run times came out at a quarter after each change of
// leader.
bool ran_whole(const Task& task) {
    return task.running_at > 0 && task.start_seq > 0 && task.attempt <= 1;
}

}  // namespace

void TaskLifecycle::task_exited(Index j, uint32_t t, Index machine, const TaskStatus& status) {
    auto& job = *context_.cluster.jobs[j];
    context_.scheduling_needed = true;
    if (status.cause == ExitCause::Done && job.spec.kind != JobKind::Service)
        task_done(j, t, machine);
    else
        task_not_done(j, t, machine, status);
    check_job(j);
}

void TaskLifecycle::task_done(Index j, uint32_t t, Index machine) {
    auto& job = *context_.cluster.jobs[j];
    auto& m = *context_.cluster.machines[machine];
    m.faulty_jobs.clear();
    m.faults = 0;
    if (ran_whole(job.tasks[t]))
        context_.cluster.learn_run(job.spec, context_.now - job.tasks[t].running_at);
    if (job.spec.kind != JobKind::Gang) return context_.cluster.finish(j, t, context_.now);
    // If one task of a gang is done, every one is.
    for (uint32_t i = 0; i < job.tasks.size(); ++i) context_.cluster.finish(j, i, context_.now);
}

void TaskLifecycle::task_not_done(Index j, uint32_t t, Index machine, const TaskStatus& status) {
    auto& job = *context_.cluster.jobs[j];
    auto& m = *context_.cluster.machines[machine];
    bool was_graceful = job.tasks[t].graceful;
    if (status.cause != ExitCause::Stopped)
        spdlog::info("task: {}/{} attempt={} exited on {} cause={}", job.spec.id, t, status.attempt,
                     m.name, static_cast<int>(status.cause));
    context_.cluster.unassign(j, t, context_.now);
    if (status.cause == ExitCause::Error) task_failed(j, machine);
    bool not_taken = status.cause == ExitCause::NoCapacity || status.cause == ExitCause::Busy ||
                     status.cause == ExitCause::Unknown;
    if (not_taken) job.not_before = std::max(job.not_before, context_.now + kNotTakenPause_s);
    if (job.spec.kind == JobKind::Gang)
        end_gang(j, was_graceful, status.cause == ExitCause::GangWaitTimeout);
}

// A machine that fails different jobs is faulty; a job that fails on different machines is faulty
// itself.
void TaskLifecycle::task_failed(Index j, Index machine) {
    auto& job = *context_.cluster.jobs[j];
    auto& m = *context_.cluster.machines[machine];
    ++job.failures;
    ++m.faults;
    job.failed_on.insert(machine);
    m.faulty_jobs.insert(j);
    bool job_works = job.done > 0 || job.running > 0;
    if (job.failed_on.size() >= 2 && !job_works && m.faulty_jobs.size() < 2) return back_off(job);
    quarantine(m, job);
}

// Machines that failed this job alone are not to blame.
void TaskLifecycle::back_off(Job& job) {
    double failures = static_cast<double>(job.failed_on.size()) + job.failures / 8.0;
    double exponent = std::min(failures, static_cast<double>(kMaxBackOffExponent));
    job.not_before = context_.now + std::min(kMaxBackOff_s, kBackOff_s * std::pow(2.0, exponent));
    for (auto i : job.failed_on) {
        auto* other = context_.cluster.machines[i].get();
        if (other && other->faulty_jobs.size() <= 1 && other->quarantined_until > context_.now)
            other->quarantined_until = 0;
    }
    spdlog::info("job: {} failed on {} machines, tried again in {:.0f}s", job.spec.id,
                 job.failed_on.size(), job.not_before - context_.now);
}

void TaskLifecycle::quarantine(Machine& m, const Job& job) {
    if (m.quarantined_until > context_.now) return;
    spdlog::info("machine: {} quarantined after failing {}", m.name, job.spec.id);
    context_.metrics.increment("machines_quarantined_total");
    m.quarantined_until = context_.now + context_.properties.quarantine_s;
}

// The task is proven gone, and its outcome is not known.
void TaskLifecycle::lose_task(Index j, uint32_t t) {
    auto& job = *context_.cluster.jobs[j];
    spdlog::info("task: {}/{} attempt={} gone from {}", job.spec.id, t, job.tasks[t].attempt,
                 context_.cluster.machines[job.tasks[t].machine]->name);
    context_.metrics.increment("tasks_lost_total");
    bool graceful = job.tasks[t].graceful;
    context_.cluster.unassign(j, t, context_.now);
    context_.scheduling_needed = true;
    if (job.spec.kind == JobKind::Gang) end_gang(j, graceful);
    check_job(j);
}

// The gang's current attempt is over. Its other tasks must all be gone before the next one.
// `keep_fetching`: tasks that fetch their image are not stopped before they have it. Stopped, a
// worker gives its fetch up; a gang whose image takes longer than its tasks wait for each other
// once started anew every half minute without an end.
void TaskLifecycle::end_gang(Index j, bool graceful, bool keep_fetching) {
    auto& job = *context_.cluster.jobs[j];
    job.gang_ending = job.placed > 0;
    for (uint32_t t = 0; t < job.tasks.size(); ++t) {
        auto& task = job.tasks[t];
        if (task.state != TaskState::Placed || task.stopping) continue;
        if (!keep_fetching || task.phase != TaskPhase::Fetching) stop_task(j, t, graceful);
    }
}

// What follows from the counts of a job.
void TaskLifecycle::check_job(Index j) {
    auto& job = *context_.cluster.jobs[j];
    if (job.ending || job.version == 0) return;
    if (job.spec.kind == JobKind::Gang && job.placed == 0) job.gang_ending = false;
    if (job.cancelled) {
        stop_cancelled_job(j);
        if (job.placed > 0) return;
        spdlog::debug("job: {} cancelled, none of its tasks is left", job.spec.id);
        if (!context_.cluster.cancellation_logged(j)) return;
    } else if (job.done < job.tasks.size()) {
        // A gang found half placed after a change of leader, or half gone.
        if (job.spec.kind == JobKind::Gang && job.placed > 0 && job.pending > 0 && !job.gang_ending)
            end_gang(j, false);
        return;
    }
    job.ending = true;
    job.ended = wall_now();
    context_.state_log.finish(j);
}

// Its tasks are of use to nobody: they get no time to save.
void TaskLifecycle::stop_cancelled_job(Index j) {
    auto& job = *context_.cluster.jobs[j];
    for (uint32_t t = 0; t < job.tasks.size(); ++t) {
        auto& task = job.tasks[t];
        if (task.state == TaskState::Placed && (!task.stopping || task.graceful))
            stop_task(j, t, false);
    }
}

// A cancelled job may end once those that need it are recorded as cancelled, or gone: one of these
// was.
void TaskLifecycle::check_cancelled(const std::vector<Index>& jobs) {
    for (auto j : jobs)
        if (context_.cluster.jobs[j]->cancelled) check_job(j);
}

void TaskLifecycle::stop_task(Index j, uint32_t t, bool graceful) {
    auto& job = *context_.cluster.jobs[j];
    auto& task = job.tasks[t];
    task.stopping = true;
    task.graceful = graceful && job.spec.checkpoint_interval_s > 0;
    if (job.spec.kind == JobKind::Gang) job.gang_ending = true;
    stop_sender_.queue_stop(
        task.machine, {CommandOp::Stop, job.spec.id, t, task.attempt, stop_grace_s(job, task)});
}

// The cloud will interrupt the machine: tasks that can save do so in time, the others may still
// complete.
void TaskLifecycle::drain_machine(Index index, double interruption_notice_s) {
    auto tasks = context_.cluster.machines[index]->tasks;
    for (auto& ref : tasks) {
        auto& job = *context_.cluster.jobs[ref.job];
        auto& task = job.tasks[ref.task];
        if (task.state != TaskState::Placed || task.machine != index || task.stopping) continue;
        if (job.spec.kind == JobKind::Gang) {
            end_gang(ref.job, interruption_notice_s >= job.spec.checkpoint_duration_s);
        } else if (task.phase != TaskPhase::Running && task.phase != TaskPhase::Saving) {
            stop_task(ref.job, ref.task, false);
        } else if (job.spec.checkpoint_interval_s > 0 &&
                   interruption_notice_s >= job.spec.checkpoint_duration_s) {
            stop_task(ref.job, ref.task, true);
        }
    }
}

}  // namespace weirmill
