// State transitions of tasks (state/task.h), and the images on machines.
#include <algorithm>

#include "state/cluster_state.h"

namespace weirmill {

namespace {
constexpr std::ptrdiff_t kMaxImages = 64;  // of one machine: names of images are the users' own
}

void ClusterState::record_change(Index index, uint32_t t) {
    jobs[index]->tasks[t].change = ++last_change;
    changes.push_back({{index, t}, last_change});
}

bool ClusterState::current(const TaskChange& c) const {
    const auto* job = c.ref.job < jobs.size() ? jobs[c.ref.job].get() : nullptr;
    return job && c.ref.task < job->tasks.size() && job->tasks[c.ref.task].change == c.change;
}

void ClusterState::set_phase(Job& job, Task& task, TaskPhase phase) {
    if (task.phase == TaskPhase::Running) --job.running;
    if (phase == TaskPhase::Running) ++job.running;
    task.phase = phase;
}

void ClusterState::restore_placed(Index index, uint32_t t, Index machine, uint32_t attempt,
                                  uint32_t agent_epoch) {
    auto& job = *jobs[index];
    auto& task = job.tasks[t];
    task.state = TaskState::Placed;
    task.machine = machine;
    task.attempt = attempt;
    task.agent_epoch = agent_epoch;
    --job.pending;
    ++job.placed;
    auto& m = *machines[machine];
    m.used += job.spec.demand;
    m.tasks.push_back({index, t});
    teams[job.spec.team].used += job.spec.demand;
}

void ClusterState::restore_counts(Index index) {
    auto& job = *jobs[index];
    job.pending = job.done = 0;
    for (const auto& task : job.tasks) {
        if (task.state == TaskState::Done)
            ++job.done;
        else
            ++job.pending;
        job.gang_attempt = std::max(job.gang_attempt, task.attempt);
    }
}

void ClusterState::place(Index index, uint32_t t, Index machine, uint32_t attempt, double now) {
    restore_placed(index, t, machine, attempt,
                   static_cast<uint32_t>(machines[machine]->agent_epoch));
    auto& task = jobs[index]->tasks[t];
    task.start_seq = 0;
    task.placed_at = static_cast<float>(now);
    task.running_at = 0;
    task.stopping = task.graceful = false;
    task.placed_this_term = true;
    record_change(index, t);
}

// The task is no longer placed; its next state is the caller's to set.
void ClusterState::leave_machine(Index index, uint32_t t, double now) {
    auto& job = *jobs[index];
    auto& task = job.tasks[t];
    auto& m = *machines[task.machine];
    m.used -= job.spec.demand;
    std::erase(m.tasks, TaskRef{index, t});
    if (m.tasks.empty()) m.empty_since = now;
    teams[job.spec.team].used -= job.spec.demand;
    set_phase(job, task, TaskPhase::NotReported);
    task.machine = kNone;
    task.stopping = task.graceful = false;
    --job.placed;
}

void ClusterState::unassign(Index index, uint32_t t, double now) {
    leave_machine(index, t, now);
    auto& job = *jobs[index];
    job.tasks[t].state = TaskState::Pending;
    ++job.pending;
    job.first_pending = std::min(job.first_pending, t);
    record_change(index, t);
}

void ClusterState::finish(Index index, uint32_t t, double now) {
    auto& job = *jobs[index];
    auto& task = job.tasks[t];
    if (task.state == TaskState::Done) return;
    if (task.state == TaskState::Placed)
        leave_machine(index, t, now);
    else
        --job.pending;
    task.state = TaskState::Done;
    ++job.done;
    record_change(index, t);
}

void ClusterState::saw_image(Machine& m, const JobSpec& spec) const {
    std::erase(m.images, spec.image);
    m.images.push_back(spec.image);
    double cache_gb = offered(m.type) ? types[m.type].type.cache_gb : 0;
    double held_gb = 0;
    auto kept = m.images.rbegin();
    for (; kept != m.images.rend(); ++kept) {
        held_gb += image_gb_[*kept];
        bool newest = kept == m.images.rbegin();  // it is there, whatever its size
        if (!newest && (held_gb > cache_gb || kept - m.images.rbegin() >= kMaxImages)) break;
    }
    m.images.erase(m.images.begin(), kept.base());
}

}  // namespace weirmill
