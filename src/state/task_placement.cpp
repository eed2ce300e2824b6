// State transitions of tasks (state/task.h), and the cached images of machines.
#include <algorithm>

#include "state/cluster_state.h"

namespace weirmill {

namespace {
// For each machine. Bounds the memory for image names, which users choose freely.
constexpr std::ptrdiff_t kMaxCachedImages = 64;
}  // namespace

void ClusterState::queue_task_change(Index index, uint32_t task_index) {
    jobs[index]->tasks[task_index].change_number = ++last_change_number;
    task_changes.push_back({{index, task_index}, last_change_number});
}

bool ClusterState::is_latest_change(const TaskChange& c) const {
    const auto* job = c.ref.job < jobs.size() ? jobs[c.ref.job].get() : nullptr;
    return job && c.ref.task < job->tasks.size() &&
           job->tasks[c.ref.task].change_number == c.number;
}

void ClusterState::set_phase(Job& job, Task& task, TaskPhase phase) {
    if (task.phase == TaskPhase::Running) --job.running;
    if (phase == TaskPhase::Running) ++job.running;
    task.phase = phase;
}

void ClusterState::restore_placement(Index index, uint32_t task_index, Index machine,
                                     uint32_t attempt, uint32_t agent_epoch) {
    auto& job = *jobs[index];
    auto& task = job.tasks[task_index];
    task.state = TaskState::Placed;
    task.machine = machine;
    task.attempt = attempt;
    task.agent_epoch = agent_epoch;
    --job.pending;
    ++job.placed;
    auto& m = *machines[machine];
    m.used += job.spec.demand;
    m.tasks.push_back({index, task_index});
    teams[job.spec.team].used += job.spec.demand;
}

void ClusterState::restore_task_counts(Index index) {
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

void ClusterState::place(Index index, uint32_t task_index, Index machine, uint32_t attempt,
                         double now) {
    restore_placement(index, task_index, machine, attempt,
                      static_cast<uint32_t>(machines[machine]->agent_epoch));
    auto& task = jobs[index]->tasks[task_index];
    task.start_seq = 0;
    task.placed_at = static_cast<float>(now);
    task.running_at = 0;
    task.stopping = task.graceful = false;
    task.placed_this_term = true;
    queue_task_change(index, task_index);
}

// Removes the task from its machine. The caller sets its next state.
void ClusterState::remove_from_machine(Index index, uint32_t task_index, double now) {
    auto& job = *jobs[index];
    auto& task = job.tasks[task_index];
    auto& m = *machines[task.machine];
    m.used -= job.spec.demand;
    std::erase(m.tasks, TaskRef{index, task_index});
    if (m.tasks.empty()) m.empty_since = now;
    teams[job.spec.team].used -= job.spec.demand;
    set_phase(job, task, TaskPhase::NotReported);
    task.machine = kNone;
    task.stopping = task.graceful = false;
    --job.placed;
}

void ClusterState::unassign(Index index, uint32_t task_index, double now) {
    remove_from_machine(index, task_index, now);
    auto& job = *jobs[index];
    job.tasks[task_index].state = TaskState::Pending;
    ++job.pending;
    job.first_pending = std::min(job.first_pending, task_index);
    queue_task_change(index, task_index);
}

void ClusterState::finish(Index index, uint32_t task_index, double now) {
    auto& job = *jobs[index];
    auto& task = job.tasks[task_index];
    if (task.state == TaskState::Done) return;
    if (task.state == TaskState::Placed)
        remove_from_machine(index, task_index, now);
    else
        --job.pending;
    task.state = TaskState::Done;
    ++job.done;
    queue_task_change(index, task_index);
}

void ClusterState::mark_image_used(Machine& m, const JobSpec& spec) const {
    std::erase(m.cached_images, spec.image);
    m.cached_images.push_back(spec.image);
    double cache_gb = offered(m.type) ? types[m.type].type.cache_gb : 0;
    double total_gb = 0;
    auto image = m.cached_images.rbegin();
    for (; image != m.cached_images.rend(); ++image) {
        total_gb += image_gb_[*image];
        // The newest image is in the cache, whatever its size.
        bool newest = image == m.cached_images.rbegin();
        if (!newest &&
            (total_gb > cache_gb || image - m.cached_images.rbegin() >= kMaxCachedImages))
            break;
    }
    m.cached_images.erase(m.cached_images.begin(), image.base());
}

}  // namespace weirmill
