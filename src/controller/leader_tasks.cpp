// The leader: how tasks, gangs and jobs end, and how they are stopped.
#include <spdlog/spdlog.h>

#include "controller/leader.h"

namespace weirmill {

// What this leader saw of it is its whole run. Learnt from tasks that an earlier leader had
// started, or that went on from saved progress, a class's run times came out at a quarter after
// each change of leader.
static bool ran_whole(const Task& task) {
    return task.running_at > 0 && task.start_seq > 0 && task.attempt <= 1;
}

void Leader::task_exited(Index j, uint32_t t, Index machine, const TaskStatus& r) {
    auto& job = *context_.cluster.jobs[j];
    auto& m = *context_.cluster.machines[machine];
    bool gang = job.spec.kind == JobKind::Gang;
    bool was_graceful = job.tasks[t].graceful;
    context_.scheduling_needed = true;
    if (r.cause == ExitCause::Done && job.spec.kind != JobKind::Service) {
        m.faulty_jobs.clear();
        m.faults = 0;
        if (ran_whole(job.tasks[t]))
            context_.cluster.learn_run(job.spec, context_.now - job.tasks[t].running_at);
        if (gang) {  // if one task is done, every one is
            for (uint32_t i = 0; i < job.tasks.size(); ++i)
                context_.cluster.finish(j, i, context_.now);
        } else {
            context_.cluster.finish(j, t, context_.now);
        }
        check_job(j);
        return;
    }
    if (r.cause != ExitCause::Stopped)
        spdlog::info("task: {}/{} attempt={} exited on {} cause={}", job.spec.id, t, r.attempt,
                     m.name, static_cast<int>(r.cause));
    context_.cluster.unassign(j, t, context_.now);
    if (r.cause == ExitCause::Error) task_failed(j, machine);
    if (r.cause == ExitCause::NoRoom || r.cause == ExitCause::Busy || r.cause == ExitCause::Unknown)
        job.not_before = std::max(job.not_before, context_.now + 1.0);
    if (gang) end_gang(j, was_graceful, r.cause == ExitCause::Alone);
    check_job(j);
}

// A machine that fails different jobs is sick; a job that fails on different machines is at fault
// itself.
void Leader::task_failed(Index j, Index machine) {
    auto& job = *context_.cluster.jobs[j];
    auto& m = *context_.cluster.machines[machine];
    ++job.failures;
    ++m.faults;
    job.failed_on.insert(machine);
    m.faulty_jobs.insert(j);
    bool job_works = job.done > 0 || job.running > 0;
    if (job.failed_on.size() >= 2 && !job_works && m.faulty_jobs.size() < 2) {
        job.not_before =
            context_.now +
            std::min(120.0, 2.0 * std::pow(2.0, std::min<double>(
                                                    job.failed_on.size() + job.failures / 8.0, 8)));
        for (auto i : job.failed_on) {
            auto* other = context_.cluster.machines[i].get();
            if (other && other->faulty_jobs.size() <= 1 && other->quarantined_until > context_.now)
                other->quarantined_until = 0;
        }
        spdlog::info("job: {} failed on {} machines, tried again in {:.0f}s", job.spec.id,
                     job.failed_on.size(), job.not_before - context_.now);
        return;
    }
    if (m.quarantined_until <= context_.now) {
        spdlog::info("machine: {} quarantined after failing {}", m.name, job.spec.id);
        context_.metrics.count("machines_quarantined_total");
        m.quarantined_until = context_.now + context_.properties.quarantine_s;
    }
}

// The task is proven gone without having told its outcome.
void Leader::lose_task(Index j, uint32_t t) {
    auto& job = *context_.cluster.jobs[j];
    spdlog::info("task: {}/{} attempt={} gone from {}", job.spec.id, t, job.tasks[t].attempt,
                 context_.cluster.machines[job.tasks[t].machine]->name);
    context_.metrics.count("tasks_lost_total");
    bool graceful = job.tasks[t].graceful;
    context_.cluster.unassign(j, t, context_.now);
    context_.scheduling_needed = true;
    if (job.spec.kind == JobKind::Gang) end_gang(j, graceful);
    check_job(j);
}

// The gang's current attempt is over. Its other tasks must all be gone before the next one.
// `fetch_on`: not before they have their images. Stopped, a worker gives its fetch up; a gang whose
// image takes longer than its tasks wait for each other once began anew every half minute to the
// end of the day.
void Leader::end_gang(Index j, bool graceful, bool fetch_on) {
    auto& job = *context_.cluster.jobs[j];
    job.gang_ending = job.placed > 0;
    for (uint32_t t = 0; t < job.tasks.size(); ++t) {
        auto& task = job.tasks[t];
        if (task.state != TaskState::Placed || task.stopping) continue;
        if (!fetch_on || task.phase != TaskPhase::Fetching) stop_task(j, t, graceful);
    }
}

// What follows from the counts of a job.
void Leader::check_job(Index j) {
    auto& job = *context_.cluster.jobs[j];
    if (job.ending || job.version == 0) return;
    if (job.spec.kind == JobKind::Gang && job.placed == 0) job.gang_ending = false;
    if (job.cancelled) {
        for (uint32_t t = 0; t < job.tasks.size(); ++t)
            if (job.tasks[t].state == TaskState::Placed &&
                (!job.tasks[t].stopping || job.tasks[t].graceful))
                stop_task(j, t, false);
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

// A cancelled job may end once those that need it are recorded as cancelled, or gone: one of these
// was.
void Leader::check_cancelled(const std::vector<Index>& jobs) {
    for (auto j : jobs)
        if (context_.cluster.jobs[j]->cancelled) check_job(j);
}

void Leader::stop_task(Index j, uint32_t t, bool graceful) {
    auto& job = *context_.cluster.jobs[j];
    auto& task = job.tasks[t];
    task.stopping = true;
    task.graceful = graceful && job.spec.checkpoint_interval_s > 0;
    if (job.spec.kind == JobKind::Gang) job.gang_ending = true;
    stop_sender_.queue_stop(
        task.machine, {CommandOp::Stop, job.spec.id, t, task.attempt, stop_grace_s(job, task)});
}

// The machine will be taken: what can save does so in time, what can't may still complete.
void Leader::drain(Index index, double interruption_notice_s) {
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
