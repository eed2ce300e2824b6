// Where one job's tasks would run: on machines that are there or coming, or on new ones.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "autoscaler/capacity_forecast.h"
#include "autoscaler/offers.h"

namespace weirmill {

// What one job's tasks would take, and when they would start. It changes nothing by itself.
struct JobPlan {
    bool complete = false;  // every task has its place
    bool late = false;      // a task starts later than the job would like, for want of offers
    double latest_start_s = 0;
    int requested = 0;                            // new machines
    std::map<size_t, ExpectedCapacity> machines;  // as they would be, the new ones among them
    std::map<Offer, int> requests;                // how many new ones of each

    // Of several zones the least: where the job starts in time, with the fewest new machines.
    [[nodiscard]] auto rank() const {
        return std::make_tuple(late, late ? latest_start_s : 0, requested, latest_start_s);
    }
};

// What the plans of one pass have in common.
struct PlanningContext {
    const ClusterState& cluster;
    double now;
    std::vector<bool> silent_zones;
    double highest_price;        // see highest_price()
    std::vector<uint32_t> uses;  // scratch of JobPlanner: by machine, all 0 between plans
};

// The part of a job that is to be planned.
struct JobRequest {
    const Job& job;
    size_t tasks;
    Index only_zone;  // kNone: any
    double slack_s;   // how long the job could wait and still start and end as asked
};

// Greedy: each task in turn goes to the machine with room the soonest if it can wait for that, or
// else to a booting one that is soon up, or else to a new one.
class JobPlanner {
  public:
    // `index`: that of the job's shape in `machines`, up to date.
    JobPlanner(PlanningContext& context, const std::vector<ExpectedCapacity>& machines,
               const ShapeIndex& index, const JobRequest& request);

    // To be called once. Incomplete where machines run out.
    [[nodiscard]] JobPlan plan();

  private:
    // An opening of a machine that this plan has used, and how often it had when this was found.
    struct ReusedOpening {
        Opening opening;
        uint32_t uses = 0;
        bool operator>(const ReusedOpening& o) const { return opening > o.opening; }
    };
    struct SoonestOpening {
        Opening opening;
        bool reused = false;
    };

    bool place_task(size_t remaining);
    std::optional<SoonestOpening> soonest_opening();
    std::optional<Opening> booting_opening();
    std::optional<Opening> request_machine();
    void assign(const Opening& o);
    void add_reused(size_t machine, const ExpectedCapacity& c);
    void pop_reused();
    void update_offer(size_t remaining);

    [[nodiscard]] bool stale(const Opening& o, uint32_t uses) const;
    [[nodiscard]] bool skipped(const Opening& o) const;
    [[nodiscard]] Index zone_of(size_t machine) const;
    [[nodiscard]] double patience_s(size_t remaining) const;
    [[nodiscard]] double boot_share_to_wait() const;
    [[nodiscard]] double boot_s() const { return offer_ ? offer_->from_s : 0; }

    PlanningContext& context_;
    const ClusterState& cluster_;
    const std::vector<ExpectedCapacity>& machines_;
    const ShapeIndex& index_;
    const JobSpec& spec_;
    JobRequest request_;
    ZoneConstraint rule_;
    bool zones_ruled_;
    double run_s_;
    int64_t max_tasks_per_machine_;
    OpeningList::Cursor next_opening_, next_booting_;
    std::vector<ReusedOpening> reused_;          // a heap, soonest first
    std::vector<ReusedOpening> reused_booting_;  // a stack
    std::optional<ExpectedCapacity> offer_;      // the cheapest for the tasks that remain
    size_t next_machine_;                        // index of the next new one
    JobPlan plan_;
};

}  // namespace weirmill
