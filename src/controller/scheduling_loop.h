// Runs scheduling passes and preemption rounds. One object exists for each leadership term, and it
// is used on the leader's executor only.
#pragma once
#include <cstdint>
#include <functional>
#include <vector>

#include "controller/leader_context.h"
#include "controller/task_lifecycle.h"
#include "scheduler/preemption.h"

namespace weirmill {

// Runs the scheduler on the cluster state, with at least `scheduling_pause_s` between two passes,
// and carries out the preemption rounds that the scheduler plans.
class SchedulingLoop {
  public:
    // `may_decide` returns whether the lease is valid and no leadership transfer is in progress.
    SchedulingLoop(LeaderContext& context, TaskLifecycle& task_lifecycle,
                   std::function<bool()> may_decide)
        : context_(context), task_lifecycle_(task_lifecycle), may_decide_(std::move(may_decide)) {}

    // Runs a scheduling pass if one is needed and the pause since the last one is over.
    void run_if_due();
    // Runs a preemption round, which stops tasks to free machines for jobs that have a higher
    // priority or whose team is within its guarantee.
    void run_preemption_round();

    // Returns the number of scheduling passes in this leadership term.
    [[nodiscard]] uint64_t passes() const { return passes_; }
    // Sets the number of the last preemption round that an earlier leader recorded.
    void set_last_preemption_round(uint64_t number) { preemption_rounds_ = number; }

  private:
    void run_pass();
    void reserve_for_late_gang(const std::vector<Index>& late_jobs);
    void reserve_for_preemptors(const PreemptionRound& round);

    LeaderContext& context_;
    TaskLifecycle& task_lifecycle_;
    std::function<bool()> may_decide_;
    double next_pass_at_ = 0;  // steady clock, seconds
    uint64_t passes_ = 0;
    uint64_t preemption_rounds_ = 0;  // number of the last round; continues across leadership terms
};

}  // namespace weirmill
