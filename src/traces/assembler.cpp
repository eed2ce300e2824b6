#include "traces/assembler.h"

#include <algorithm>
#include <charconv>

namespace weirmill::traces {

uint64_t Assembler::mark(const std::string& key) const {
    if (!numeric_) return std::hash<std::string>{}(key);
    uint64_t v = 0;
    std::from_chars(key.data(), key.data() + key.size(), v);
    return v;
}

Refusal Assembler::in_time(Event& e) {
    if (std::isnan(e.at_s)) return {};
    if (std::isnan(newest_) || e.at_s >= newest_) {
        newest_ = e.at_s;
        refused_in_row_ = 0;
        return {};
    }
    double late = newest_ - e.at_s;
    if (late <= back_s_) {
        ++notes_.times_put_right;
        for (double* t : {&e.facts.submitted_s, &e.facts.started_s, &e.facts.ended_s}) *t += late;
        e.at_s = newest_;
        return {};
    }
    refused_in_row_ = refused_in_row_ > 0 && e.at_s < refused_s_ ? 1 : refused_in_row_ + 1;
    refused_s_ = e.at_s;
    if (refused_in_row_ > kResync) {
        ++notes_.time_resyncs;
        refused_in_row_ = 0;
        newest_ = e.at_s;
        return {};
    }
    return {Reason::TimeBackwards, std::to_string(late) + " s older than the newest record"};
}

Refusal Assembler::take(Event& e, Where where) {
    auto refusal = in_time(e);
    if (refusal.reason != Reason::None) return refusal;
    close_over();
    switch (e.kind) {
        case EventKind::MachineAdd:
        case EventKind::MachineRemove:
        case EventKind::MachineUpdate:
        case EventKind::MachineState:
            return machine_event(e);
        case EventKind::GroupFacts: {
            auto it = groups_.find(e.group);
            if (it == groups_.end())
                return {Reason::UnknownJob, "no task of job " + e.group + " was declared"};
            if (!it->second.user.empty())
                return {Reason::DuplicateJob, "job " + e.group + " was told before"};
            it->second = std::move(e.facts);
            return {};
        }
        default:
            break;
    }
    auto it = open_.find(e.job);
    bool closed = it == open_.end() && closed_.contains(mark(e.job));
    if (e.kind == EventKind::Job || e.kind == EventKind::Declare) {
        if (it != open_.end() || closed)
            return {Reason::DuplicateJob, "job " + e.job + " was declared before"};
        Open open;
        open.order = order_++;
        open.job = {e.job, where, std::move(e.facts), kNoTime, {}};
        if (e.kind == EventKind::Job) {
            close(std::move(open));
            return {};
        }
        if (!e.group.empty()) groups_[e.group];
        open.group = std::move(e.group);
        open_.emplace(std::move(e.job), std::move(open));
        return {};
    }
    if (closed) return {Reason::AfterEnd, "job " + e.job + " had ended"};
    if (it == open_.end()) return {Reason::UnknownJob, "job " + e.job + " was never declared"};
    auto& open = it->second;
    if (!std::isnan(open.over_s) && e.at_s > open.over_s)
        return {Reason::AfterEnd, "job " + e.job + " had ended"};
    if (e.kind == EventKind::JobEnd) {
        if (!std::isnan(open.over_s)) return {Reason::AfterEnd, "job " + e.job + " had ended"};
        // Ends of its tasks may follow with the same time.
        open.over_s = e.at_s;
        over_.emplace_back(e.at_s, e.job);
        return {};
    }
    return task_event(e, open);
}

Refusal Assembler::machine_event(const Event& e) {
    machines_told_ = true;
    auto [it, added] = machine_index_.emplace(e.machine, static_cast<uint32_t>(machines_.size()));
    if (added) machines_.emplace_back();
    auto& m = machines_[it->second];
    switch (e.kind) {
        case EventKind::MachineState:
            if (m.there && !(e.facts.submitted_s > m.told_s))
                return {Reason::MachineTwice,
                        "machine " + e.machine + " was told of for this time"};
            m.there = true;
            m.told_s = e.facts.submitted_s;
            return {};
        case EventKind::MachineAdd:
            if (m.there)
                return {Reason::MachineTwice, "machine " + e.machine + " is there already"};
            m.there = true;
            return {};
        default:
            if (!m.there) return {Reason::MachineUnknown, "machine " + e.machine + " is not there"};
            if (e.kind == EventKind::MachineRemove) {
                m.there = false;
                notes_.machines_removed_in_use += m.running > 0;
            }
            return {};
    }
}

// A machine that the trace does not declare is no reason to lose the job that ran there.
uint32_t Assembler::use(const std::string& machine) {
    if (machine.empty()) return 0;
    auto [it, added] = machine_index_.emplace(machine, static_cast<uint32_t>(machines_.size()));
    if (added) machines_.emplace_back();
    auto& m = machines_[it->second];
    notes_.machines_undeclared += machines_told_ && !m.there;
    ++m.running;
    return it->second + 1;
}

void Assembler::leave(Task& task) {
    if (task.machine > 0 && machines_[task.machine - 1].running > 0)
        --machines_[task.machine - 1].running;
    task.machine = 0;
    task.since = kNoTime;
}

void Assembler::ran(Open& open, double from, double to) {
    if (std::isnan(from) || std::isnan(to)) return;
    auto& job = open.job;
    if (to < from) {
        // One bad task does not end its job: the others tell how long it ran.
        if (std::isnan(job.run_s))
            job.refusal = {Reason::EndBeforeStart, "a task ends before it starts"};
        return;
    }
    if (job.refusal.reason == Reason::EndBeforeStart) job.refusal = {};
    if (std::isnan(job.run_s) || to - from > job.run_s) job.run_s = to - from;
}

Refusal Assembler::task_event(const Event& e, Open& open) {
    auto& facts = open.job.facts;
    // The largest of its tasks says what each takes.
    auto widen = [](double& have, double told) {
        if (!std::isnan(told) && (std::isnan(have) || told > have)) have = told;
    };
    switch (e.kind) {
        case EventKind::TaskSubmit: {
            auto [it, added] = open.tasks.emplace(e.task, Task{});
            if (!added && !it->second.ended)
                return {Reason::DuplicateTask,
                        "task " + std::to_string(e.task) + " was submitted before"};
            it->second.ended = false;
            widen(facts.cpu, e.facts.cpu);
            widen(facts.mem, e.facts.mem);
            facts.priority = std::max(facts.priority, e.facts.priority);
            return {};
        }
        case EventKind::TaskStart:
        case EventKind::TaskEnd: {
            auto it = open.tasks.find(e.task);
            if (it == open.tasks.end() || it->second.ended)
                return {Reason::UnknownTask,
                        "task " + std::to_string(e.task) + " was not submitted, or has ended"};
            auto& task = it->second;
            if (e.kind == EventKind::TaskStart) {
                leave(task);
                task.since = e.at_s;
                task.machine = use(e.machine);
            } else {
                ran(open, task.since, e.at_s);
                leave(task);
                task.ended = true;
            }
            return {};
        }
        case EventKind::TaskRan:
            use(e.machine);
            ran(open, e.facts.started_s, e.facts.ended_s);
            return {};
        default:
            return {};
    }
}

void Assembler::close_first() {
    auto it = open_.find(over_.front().second);
    over_.pop_front();
    if (it == open_.end()) return;
    auto open = std::move(it->second);
    open_.erase(it);
    close(std::move(open));
}

void Assembler::close_over() {
    while (!over_.empty() && !(over_.front().first >= newest_)) close_first();
}

void Assembler::close(Open&& open) {
    auto& job = open.job;
    auto& facts = job.facts;
    closed_.add(mark(job.key));
    for (auto& [index, task] : open.tasks) {
        // Still running when its job ended.
        if (!std::isnan(open.over_s)) ran(open, task.since, open.over_s);
        leave(task);
    }
    if (auto group = groups_.find(open.group); !open.group.empty() && group != groups_.end()) {
        if (!group->second.user.empty()) facts.user = group->second.user;
        if (!std::isnan(group->second.submitted_s)) facts.submitted_s = group->second.submitted_s;
    }
    if (std::isnan(facts.tasks)) facts.tasks = static_cast<double>(open.tasks.size());
    auto refuse = [&](Reason reason, const char* why) {
        if (job.refusal.reason == Reason::None) job.refusal = {reason, why};
    };
    if (facts.reservation)
        refuse(Reason::Reservation, "it holds room for jobs that come by themselves");
    if (facts.tasks < 1) refuse(Reason::NoTask, "no task of it was told");
    if (std::isnan(facts.submitted_s)) refuse(Reason::NoTime, "its submission was not told");
    if (std::isnan(job.run_s) && facts.ended_s < facts.started_s)
        refuse(Reason::EndBeforeStart, "it ends before it starts");
    if (std::isnan(job.run_s)) job.run_s = facts.ended_s - facts.started_s;
    if (std::isnan(job.run_s) && facts.wanted_s > 0) job.run_s = facts.wanted_s;
    sink_(std::move(job));
}

void Assembler::finish() {
    while (!over_.empty()) close_first();  // in the order in which they ended
    std::vector<Open> rest;
    for (auto& [key, open] : open_) rest.push_back(std::move(open));
    open_.clear();
    std::sort(rest.begin(), rest.end(), [](auto& a, auto& b) { return a.order < b.order; });
    for (auto& open : rest) close(std::move(open));
}

}  // namespace weirmill::traces
