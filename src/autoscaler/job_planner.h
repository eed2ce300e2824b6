// Plans where the tasks of one job would run: on machines that are up or booting, or on new ones.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "autoscaler/capacity_forecast.h"
#include "autoscaler/offers.h"

namespace weirmill {

// The machines that the tasks of one job would use, and when the tasks would start. A plan takes
// effect only when its owner applies it.
struct JobPlan {
    bool complete = false;      // every task has a machine
    bool late = false;          // a task starts too late for the job, as no offer is available
    double latest_start_s = 0;  // seconds from now
    int new_machines = 0;       // number of machines to request
    std::map<size_t, ExpectedCapacity> machines;  // used machines after the plan, new ones included
    std::map<Offer, int> requests;                // number of machines to request of each offer

    // The plan with the lowest rank is preferred when a job is planned in several zones: one that
    // is not late, with the fewest new machines.
    [[nodiscard]] auto rank() const {
        return std::make_tuple(late, late ? latest_start_s : 0, new_machines, latest_start_s);
    }
};

// State that is shared by the plans of one scale-out pass.
struct PlanningContext {
    const ClusterState& cluster;
    double now;
    std::vector<bool> silent_zones;
    double highest_price;  // see highest_price()
    // Scratch space of JobPlanner: how often the current plan has used each machine, by machine
    // index. All entries are 0 between plans.
    std::vector<uint32_t> use_counts;
};

// The part of a job that is to be planned.
struct JobRequest {
    const Job& job;
    size_t tasks;     // number of tasks to plan
    Index only_zone;  // kNone: any zone
    double slack_s;   // how long the job can wait and still meet its start and end times
};

// Greedy planner for one job. It assigns each task in turn to the machine where it can start
// earliest if the job can wait that long, else to a booting machine that is up soon, else to a new
// machine.
class JobPlanner {
  public:
    // `index` is the up-to-date index of `machines` for the job's shape. All arguments must outlive
    // the planner.
    JobPlanner(PlanningContext& context, const std::vector<ExpectedCapacity>& machines,
               const ShapeIndex& index, const JobRequest& request);

    // Returns the plan; may be called only once. The plan is incomplete if there are not enough
    // machines and offers.
    [[nodiscard]] JobPlan plan();

  private:
    // A start slot on a machine that this plan has used already.
    struct ReusedSlot {
        StartSlot slot;
        uint32_t use_count = 0;  // of the machine when the slot was computed
        bool operator>(const ReusedSlot& other) const { return slot > other.slot; }
    };
    struct EarliestSlot {
        StartSlot slot;
        bool reused = false;
    };

    bool place_task(size_t remaining);
    std::optional<EarliestSlot> earliest_slot();
    std::optional<StartSlot> booting_slot();
    std::optional<StartSlot> request_machine();
    void assign(const StartSlot& slot);
    void add_reused(size_t machine, const ExpectedCapacity& capacity);
    void pop_reused();
    void update_offer(size_t remaining);

    [[nodiscard]] bool is_stale(const StartSlot& slot, uint32_t use_count) const;
    [[nodiscard]] bool is_skipped(const StartSlot& slot) const;
    [[nodiscard]] Index zone_of(size_t machine) const;
    [[nodiscard]] double max_wait_s(size_t remaining) const;
    [[nodiscard]] double max_wait_boots() const;
    [[nodiscard]] double boot_s() const { return offer_ ? offer_->available_in_s : 0; }

    PlanningContext& context_;
    const ClusterState& cluster_;
    const std::vector<ExpectedCapacity>& machines_;
    const ShapeIndex& index_;
    const JobSpec& spec_;
    JobRequest request_;
    ZoneConstraint zone_constraint_;
    bool zone_constrained_;
    double run_s_;
    int64_t max_tasks_per_machine_;
    StartSlotList::Cursor next_slot_, next_booting_;
    std::vector<ReusedSlot> reused_;          // a heap, earliest slot first
    std::vector<ReusedSlot> reused_booting_;  // a stack
    std::optional<ExpectedCapacity> offer_;   // the cheapest offer for the remaining tasks
    size_t next_machine_;                     // index of the next new machine
    JobPlan plan_;
};

}  // namespace weirmill
