// Scheduling passes and preemption rounds. One object for each leadership term, used on the
// leader's executor only.
#pragma once
#include <cstdint>
#include <functional>
#include <vector>

#include "controller/leader_context.h"
#include "controller/task_lifecycle.h"
#include "scheduler/preemption.h"

namespace weirmill {

// Runs the scheduler on the cluster state, at most once each `scheduling_pause_s`, and carries out
// the preemption rounds it plans.
class SchedulingLoop {
  public:
    // `may_decide`: the lease is valid, and the leadership is not about to be transferred.
    SchedulingLoop(LeaderContext& context, TaskLifecycle& task_lifecycle,
                   std::function<bool()> may_decide)
        : context_(context), task_lifecycle_(task_lifecycle), may_decide_(std::move(may_decide)) {}

    // A scheduling pass, if one is needed and the pause since the last one is over.
    void run_if_due();
    // A preemption round: a job of higher priority, or a team within its guarantee, gets room.
    void preempt();

    // Scheduling passes of this leadership term, so far.
    [[nodiscard]] uint64_t passes() const { return passes_; }
    // The number of the last preemption round, as recorded by an earlier leader.
    void resume_rounds(uint64_t last_round) { rounds_ = last_round; }

  private:
    void run();
    void reserve_for_late_gang(const std::vector<Index>& late);
    void reserve_cleared(const PreemptionRound& round);

    LeaderContext& context_;
    TaskLifecycle& task_lifecycle_;
    std::function<bool()> may_decide_;
    double next_pass_ = 0;  // steady clock, seconds
    uint64_t passes_ = 0;
    uint64_t rounds_ = 0;  // goes on over changes of leader
};

}  // namespace weirmill
