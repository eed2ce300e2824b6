#include "traces/assembler.h"

#include <algorithm>
#include <charconv>

namespace weirmill::traces {

uint64_t Assembler::bitmap_key(const std::string& key) const {
    if (!numeric_keys_) return std::hash<std::string>{}(key);
    uint64_t number = 0;
    std::from_chars(key.data(), key.data() + key.size(), number);
    return number;
}

Rejection Assembler::check_time(Event& event) {
    if (std::isnan(event.time_s)) return {};
    if (std::isnan(newest_s_) || event.time_s >= newest_s_) {
        newest_s_ = event.time_s;
        consecutive_rejections_ = 0;
        return {};
    }
    double late_s = newest_s_ - event.time_s;
    if (late_s <= time_tolerance_s_) {
        ++counters_.adjusted_times;
        for (double* time_s : {&event.attributes.submitted_s, &event.attributes.started_s,
                               &event.attributes.ended_s})
            *time_s += late_s;
        event.time_s = newest_s_;
        return {};
    }
    consecutive_rejections_ = consecutive_rejections_ > 0 && event.time_s < last_rejected_s_
                                  ? 1
                                  : consecutive_rejections_ + 1;
    last_rejected_s_ = event.time_s;
    if (consecutive_rejections_ > kRejectionsBeforeResync) {
        ++counters_.time_resyncs;
        consecutive_rejections_ = 0;
        newest_s_ = event.time_s;
        return {};
    }
    return {RejectReason::TimeBackwards,
            std::to_string(late_s) + " s older than the newest record"};
}

Rejection Assembler::add(Event& event, RecordLocation location) {
    auto rejection = check_time(event);
    if (rejection.reason != RejectReason::None) return rejection;
    close_ended_jobs();
    switch (event.kind) {
        case EventKind::MachineAdd:
        case EventKind::MachineRemove:
        case EventKind::MachineUpdate:
        case EventKind::MachineSnapshot:
            return add_machine_event(event);
        case EventKind::GroupAttributes: {
            auto it = groups_.find(event.group);
            if (it == groups_.end())
                return {RejectReason::UnknownJob,
                        "no task of job " + event.group + " was declared before"};
            if (!it->second.user.empty())
                return {RejectReason::DuplicateJob,
                        "the record of job " + event.group + " is a duplicate"};
            it->second = std::move(event.attributes);
            return {};
        }
        default:
            break;
    }
    auto it = open_jobs_.find(event.job);
    bool closed = it == open_jobs_.end() && closed_jobs_.contains(bitmap_key(event.job));
    if (event.kind == EventKind::CompleteJob || event.kind == EventKind::JobDeclare) {
        if (it != open_jobs_.end() || closed)
            return {RejectReason::DuplicateJob, "job " + event.job + " was declared before"};
        OpenJob open;
        open.declaration_order = declared_jobs_++;
        open.job = {event.job, location, std::move(event.attributes), kUnknown, {}};
        if (event.kind == EventKind::CompleteJob) {
            close(std::move(open));
            return {};
        }
        if (!event.group.empty()) groups_[event.group];
        open.group = std::move(event.group);
        open_jobs_.emplace(std::move(event.job), std::move(open));
        return {};
    }
    if (closed) return {RejectReason::AfterJobEnd, "job " + event.job + " has already ended"};
    if (it == open_jobs_.end())
        return {RejectReason::UnknownJob, "job " + event.job + " was never declared"};
    auto& open = it->second;
    if (!std::isnan(open.ended_s) && event.time_s > open.ended_s)
        return {RejectReason::AfterJobEnd, "job " + event.job + " has already ended"};
    if (event.kind == EventKind::JobEnd) {
        if (!std::isnan(open.ended_s))
            return {RejectReason::AfterJobEnd, "job " + event.job + " has already ended"};
        // The job stays open until the time advances, because ends of its tasks may follow with
        // the same time.
        open.ended_s = event.time_s;
        ended_jobs_.emplace_back(event.time_s, event.job);
        return {};
    }
    return add_task_event(event, open);
}

Rejection Assembler::add_machine_event(const Event& event) {
    has_machine_events_ = true;
    auto [it, added] =
        machine_index_.emplace(event.machine, static_cast<uint32_t>(machines_.size()));
    if (added) machines_.emplace_back();
    auto& machine_state = machines_[it->second];
    switch (event.kind) {
        case EventKind::MachineSnapshot:
            if (machine_state.present && !(event.attributes.submitted_s > machine_state.snapshot_s))
                return {RejectReason::MachineAlreadyPresent,
                        "machine " + event.machine +
                            " already has a record for this time or a later one"};
            machine_state.present = true;
            machine_state.snapshot_s = event.attributes.submitted_s;
            return {};
        case EventKind::MachineAdd:
            if (machine_state.present)
                return {RejectReason::MachineAlreadyPresent,
                        "machine " + event.machine + " is already present"};
            machine_state.present = true;
            return {};
        default:
            if (!machine_state.present)
                return {RejectReason::MachineNotPresent,
                        "machine " + event.machine + " is not present"};
            if (event.kind == EventKind::MachineRemove) {
                machine_state.present = false;
                counters_.machines_removed_in_use += machine_state.running > 0;
            }
            return {};
    }
}

// Counts a use of a machine that the trace does not declare, but does not reject it: the job that
// ran there is still valid. Returns the index of the machine plus one, or 0 for an empty key.
uint32_t Assembler::start_on_machine(const std::string& machine) {
    if (machine.empty()) return 0;
    auto [it, added] = machine_index_.emplace(machine, static_cast<uint32_t>(machines_.size()));
    if (added) machines_.emplace_back();
    auto& machine_state = machines_[it->second];
    counters_.undeclared_machine_uses += has_machine_events_ && !machine_state.present;
    ++machine_state.running;
    return it->second + 1;
}

void Assembler::leave_machine(Task& task) {
    if (task.machine > 0 && machines_[task.machine - 1].running > 0)
        --machines_[task.machine - 1].running;
    task.machine = 0;
    task.running_since_s = kUnknown;
}

void Assembler::record_run(OpenJob& open, double from_s, double to_s) {
    if (std::isnan(from_s) || std::isnan(to_s)) return;
    auto& job = open.job;
    if (to_s < from_s) {
        // The job is rejected only if no other task of it has a valid run time.
        if (std::isnan(job.run_s))
            job.rejection = {RejectReason::EndBeforeStart, "a task ends before it starts"};
        return;
    }
    if (job.rejection.reason == RejectReason::EndBeforeStart) job.rejection = {};
    if (std::isnan(job.run_s) || to_s - from_s > job.run_s) job.run_s = to_s - from_s;
}

Rejection Assembler::add_task_event(const Event& event, OpenJob& open) {
    auto& attributes = open.job.attributes;
    // All tasks of a job get the demand of its largest task.
    auto keep_larger = [](double& known, double value) {
        if (!std::isnan(value) && (std::isnan(known) || value > known)) known = value;
    };
    switch (event.kind) {
        case EventKind::TaskSubmit: {
            auto [it, added] = open.tasks.emplace(event.task, Task{});
            if (!added && !it->second.ended)
                return {RejectReason::DuplicateTask,
                        "task " + std::to_string(event.task) + " was submitted before"};
            it->second.ended = false;
            keep_larger(attributes.cpu, event.attributes.cpu);
            keep_larger(attributes.mem, event.attributes.mem);
            attributes.priority = std::max(attributes.priority, event.attributes.priority);
            return {};
        }
        case EventKind::TaskStart:
        case EventKind::TaskEnd: {
            auto it = open.tasks.find(event.task);
            if (it == open.tasks.end() || it->second.ended)
                return {RejectReason::UnknownTask, "task " + std::to_string(event.task) +
                                                       " was not submitted or has already ended"};
            auto& task = it->second;
            if (event.kind == EventKind::TaskStart) {
                leave_machine(task);
                task.running_since_s = event.time_s;
                task.machine = start_on_machine(event.machine);
            } else {
                record_run(open, task.running_since_s, event.time_s);
                leave_machine(task);
                task.ended = true;
            }
            return {};
        }
        case EventKind::TaskRun:
            start_on_machine(event.machine);
            record_run(open, event.attributes.started_s, event.attributes.ended_s);
            return {};
        default:
            return {};
    }
}

void Assembler::close_first_ended_job() {
    auto it = open_jobs_.find(ended_jobs_.front().second);
    ended_jobs_.pop_front();
    if (it == open_jobs_.end()) return;
    auto open = std::move(it->second);
    open_jobs_.erase(it);
    close(std::move(open));
}

void Assembler::close_ended_jobs() {
    while (!ended_jobs_.empty() && !(ended_jobs_.front().first >= newest_s_))
        close_first_ended_job();
}

void Assembler::close(OpenJob&& open) {
    auto& job = open.job;
    auto& attributes = job.attributes;
    closed_jobs_.add(bitmap_key(job.key));
    for (auto& [index, task] : open.tasks) {
        // A task that is still running ends with its job.
        if (!std::isnan(open.ended_s)) record_run(open, task.running_since_s, open.ended_s);
        leave_machine(task);
    }
    if (auto group = groups_.find(open.group); !open.group.empty() && group != groups_.end()) {
        if (!group->second.user.empty()) attributes.user = group->second.user;
        if (!std::isnan(group->second.submitted_s))
            attributes.submitted_s = group->second.submitted_s;
    }
    if (std::isnan(attributes.tasks)) attributes.tasks = static_cast<double>(open.tasks.size());
    auto reject_job = [&](RejectReason reason, const char* message) {
        if (job.rejection.reason == RejectReason::None) job.rejection = {reason, message};
    };
    if (attributes.reservation)
        reject_job(RejectReason::Reservation, "it only reserves capacity for other jobs");
    if (attributes.tasks < 1) reject_job(RejectReason::NoTasks, "the trace has no task of the job");
    if (std::isnan(attributes.submitted_s))
        reject_job(RejectReason::NoSubmissionTime, "the trace has no submission time of the job");
    if (std::isnan(job.run_s) && attributes.ended_s < attributes.started_s)
        reject_job(RejectReason::EndBeforeStart, "the job ends before it starts");
    if (std::isnan(job.run_s)) job.run_s = attributes.ended_s - attributes.started_s;
    if (std::isnan(job.run_s) && attributes.requested_run_s > 0)
        job.run_s = attributes.requested_run_s;
    sink_(std::move(job));
}

void Assembler::finish() {
    while (!ended_jobs_.empty()) close_first_ended_job();  // in the order of their ends
    std::vector<OpenJob> rest;
    for (auto& [key, open] : open_jobs_) rest.push_back(std::move(open));
    open_jobs_.clear();
    std::sort(rest.begin(), rest.end(),
              [](auto& a, auto& b) { return a.declaration_order < b.declaration_order; });
    for (auto& open : rest) close(std::move(open));
}

}  // namespace weirmill::traces
