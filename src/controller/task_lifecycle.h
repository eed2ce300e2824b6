// State changes of tasks, gangs and jobs when tasks exit, are lost or are stopped. One object
// exists for each leadership term, and it is used on the leader's executor only.
#pragma once
#include <cstdint>
#include <vector>

#include "controller/leader_context.h"
#include "controller/stop_sender.h"
#include "protocol/types.h"
#include "state/cluster_state.h"

namespace weirmill {

// Returns the grace period of a stop in seconds: a graceful stop leaves the task time to write a
// checkpoint, with a margin; any other stop is immediate.
inline double stop_grace_s(const Job& job, const Task& task) {
    return task.graceful ? job.spec.checkpoint_duration_s * 1.25 + 1 : 0;
}

// Updates the cluster state when tasks exit, fail or are lost, stops tasks, and ends jobs whose
// tasks are all done, or gone after a cancellation. Has no state of its own.
class TaskLifecycle {
  public:
    TaskLifecycle(LeaderContext& context, StopSender& stop_sender)
        : context_(context), stop_sender_(stop_sender) {}

    // Handles the exit of the task's current attempt, as its worker reported it. The task must be
    // placed on this machine.
    void handle_exit(Index job_index, uint32_t task_index, Index machine_index,
                     const TaskStatus& status);
    // Handles a placed task that is proven gone without a known outcome.
    void mark_lost(Index job_index, uint32_t task_index);
    // Stops the placed task. Heartbeat responses repeat the stop until the task is gone. If
    // `graceful`, a task that supports checkpoints may write one first.
    void stop_task(Index job_index, uint32_t task_index, bool graceful);
    // Ends the job, stops its tasks or ends its gang's attempt if its task counts or its
    // cancellation require that. Must be called after each change of these.
    void reconcile_job(Index job_index);
    // Calls reconcile_job for those of `job_indexes` that are cancelled. A cancelled job can't end
    // until each of its dependants has ended or its cancellation is recorded. Called when that
    // happened to one of them.
    void reconcile_cancelled_jobs(const std::vector<Index>& job_indexes);
    // Stops tasks on a machine that the cloud will interrupt in `notice_s` seconds.
    void prepare_for_interruption(Index machine_index, double notice_s);

  private:
    void handle_success(Index job_index, uint32_t task_index, Index machine_index);
    void handle_unsuccessful_exit(Index job_index, uint32_t task_index, Index machine_index,
                                  const TaskStatus& status);
    void handle_failure(Index job_index, Index machine_index);
    void back_off(Job& job);
    void quarantine(Machine& machine, const Job& job);
    void end_gang_attempt(Index job_index, bool graceful, bool keep_fetching = false);
    void stop_cancelled_job(Index job_index);

    LeaderContext& context_;
    StopSender& stop_sender_;
};

}  // namespace weirmill
