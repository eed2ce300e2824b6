// How tasks, gangs and jobs end, and how they are stopped. One object for each leadership term,
// used on the leader's executor only.
#pragma once
#include <cstdint>
#include <vector>

#include "controller/leader_context.h"
#include "controller/stop_sender.h"
#include "protocol/types.h"
#include "state/cluster_state.h"

namespace weirmill {

// Seconds that a stop allows the task: time to save, with some to spare, or none.
inline double stop_grace_s(const Job& job, const Task& task) {
    return task.graceful ? job.spec.checkpoint_duration_s * 1.25 + 1 : 0;
}

// Changes the cluster state when tasks exit, fail or are lost, stops those that have to go, and
// ends jobs whose tasks are all done or gone. It holds no state of its own.
class TaskLifecycle {
  public:
    TaskLifecycle(LeaderContext& context, StopSender& stop_sender)
        : context_(context), stop_sender_(stop_sender) {}

    // The worker says that the current attempt of the task, which is placed there, is over.
    void task_exited(Index job, uint32_t task, Index machine, const TaskStatus& status);
    // The placed task is proven gone, and its outcome is not known.
    void lose_task(Index job, uint32_t task);
    // Stops the placed task, again with each heartbeat until it is gone. `graceful`: it may save
    // first, should it be able to.
    void stop_task(Index job, uint32_t task, bool graceful);
    // Ends the job, stops its tasks or ends its gang's attempt, as its counts and its cancellation
    // ask for. To be called after each change of these.
    void check_job(Index job);
    // check_job for those of `jobs` that are cancelled: a cancelled job may end once those that
    // need it are recorded as cancelled, or gone, and one of these was.
    void check_cancelled(const std::vector<Index>& jobs);
    // The machine is to be interrupted in so many seconds.
    void drain_machine(Index index, double interruption_notice_s);

  private:
    void task_done(Index job, uint32_t task, Index machine);
    void task_not_done(Index job, uint32_t task, Index machine, const TaskStatus& status);
    void task_failed(Index job, Index machine);
    void back_off(Job& job);
    void quarantine(Machine& machine, const Job& job);
    void end_gang(Index job, bool graceful, bool keep_fetching = false);
    void stop_cancelled_job(Index job);

    LeaderContext& context_;
    StopSender& stop_sender_;
};

}  // namespace weirmill
