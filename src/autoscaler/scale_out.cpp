// Plans the new machines that waiting jobs and planned headroom need.
#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "autoscaler/autoscaler.h"
#include "autoscaler/capacity_forecast.h"
#include "autoscaler/job_planner.h"
#include "autoscaler/offers.h"

namespace weirmill {

namespace {

// The most tasks of one job that a pass plans, as each task is planned separately.
constexpr size_t kMaxTasksPerJob = 400;

double slowest_fetch_s(const ClusterState& cluster, const JobSpec& spec) {
    double slowest_s = 0;
    for (Index type = 0; type < cluster.types.size(); ++type) {
        if (!cluster.type_fits(spec, type)) continue;
        slowest_s = std::max(slowest_s, cluster.image_fetch_s(spec, type));
    }
    return slowest_s;
}

// Returns how many seconds the job can wait for resources and still meet its start and end times.
// For a job without such times, returns its expected run time.
double slack_s(const ClusterState& cluster, const Job& job, double now) {
    const auto& spec = job.spec;
    const double fetch_s = slowest_fetch_s(cluster, spec);
    const double run_s = cluster.expected_run_s(spec);
    const double earliest_end = now + fetch_s + run_s;
    int missed = 0;
    double slack = cluster.due_time(job, earliest_end, missed) - earliest_end;
    if (missed > 0) slack = 0;
    if (spec.job_class < cluster.classes.size()) {
        const double start_within_s = cluster.classes[spec.job_class].start_within_s;
        if (start_within_s > 0)
            slack =
                std::min(slack, job.schedulable_since_steady() + start_within_s - now - fetch_s);
    }
    return slack > kHorizon_s ? run_s : std::max(0.0, slack);
}

// Collects the machines to request in one pass over the waiting jobs and the headroom.
class ScaleOutPlanner {
  public:
    ScaleOutPlanner(const ClusterState& cluster, const MachineFilter& usable, size_t max_shapes,
                    double now)
        : context_{cluster, now, silent_zones(cluster, usable), highest_price(cluster), {}},
          cluster_(cluster),
          forecast_(cluster, expected_capacity(cluster, usable, now), max_shapes),
          planned_(cluster.teams.size()) {}

    void add_job(const Job& job);
    void add_headroom(const Headroom& headroom);
    [[nodiscard]] std::vector<ScaleOutRequest> requests() const;

  private:
    // Returns how many of the job's pending tasks the team's limit allows.
    [[nodiscard]] size_t tasks_within_limit(const Job& job) const;
    [[nodiscard]] std::vector<Index> zones_by_capacity(const ShapeIndex& index,
                                                       const ZoneConstraint& zone_constraint) const;
    [[nodiscard]] std::optional<JobPlan> best_plan(const Job& job, size_t tasks);
    // Returns how many tasks fit into the resources that are available after the planned jobs.
    [[nodiscard]] int64_t tasks_in_available_resources(const JobSpec& spec) const;

    PlanningContext context_;
    const ClusterState& cluster_;
    CapacityForecast forecast_;
    std::vector<Resources> planned_;  // by team index: demand of the jobs added so far
    std::map<Offer, int> requests_;
};

size_t ScaleOutPlanner::tasks_within_limit(const Job& job) const {
    const auto& spec = job.spec;
    const auto& team = cluster_.teams[spec.team];
    const auto& planned = planned_[spec.team];
    size_t tasks = 0;
    while (tasks < job.pending && tasks < kMaxTasksPerJob &&
           cluster_.within_limit(team, planned + spec.demand * static_cast<int64_t>(tasks + 1)))
        ++tasks;
    return tasks;
}

// Returns the zones that the constraint allows, the one with the most available capacity first.
std::vector<Index> ScaleOutPlanner::zones_by_capacity(const ShapeIndex& index,
                                                      const ZoneConstraint& zone_constraint) const {
    std::vector<Index> zones;
    for (Index zone = 0; zone < cluster_.names.zones.size(); ++zone)
        if (zone_constraint.allows(zone)) zones.push_back(zone);
    std::ranges::stable_sort(
        zones, [&](Index a, Index b) { return index.tasks_in_zone(a) > index.tasks_in_zone(b); });
    return zones;
}

std::optional<JobPlan> ScaleOutPlanner::best_plan(const Job& job, size_t tasks) {
    const bool gang = job.spec.kind == JobKind::Gang;
    const bool one_zone = job.spec.one_zone && (gang || job.placed > 0);
    const auto& index = forecast_.index_for(job.spec);
    const double slack = slack_s(cluster_, job, context_.now);
    const auto zones = one_zone ? zones_by_capacity(index, ZoneConstraint(cluster_, job))
                                : std::vector<Index>{kNone};
    std::optional<JobPlan> best;
    for (const Index zone : zones) {
        auto plan =
            JobPlanner(context_, forecast_.machines(), index, {job, tasks, zone, slack}).plan();
        // Gangs and jobs bound to one zone are planned as a whole or not at all.
        if (!plan.complete && (one_zone || gang)) continue;
        if (!best || plan.rank() < best->rank()) best = std::move(plan);
    }
    return best;
}

void ScaleOutPlanner::add_job(const Job& job) {
    const size_t tasks = tasks_within_limit(job);
    if (job.spec.kind == JobKind::Gang && tasks < job.pending) return;
    planned_[job.spec.team] += job.spec.demand * static_cast<int64_t>(tasks);
    auto plan = best_plan(job, tasks);
    if (!plan) return;
    for (const auto& [offer, count] : plan->requests) requests_[offer] += count;
    forecast_.apply(std::move(plan->machines));
}

int64_t ScaleOutPlanner::tasks_in_available_resources(const JobSpec& spec) const {
    int64_t tasks = 0;
    for (const auto& capacity : forecast_.machines())
        if (capacity_eligible(cluster_, spec, capacity))
            tasks += spec.demand.max_copies_in(capacity.available);
    return tasks;
}

void ScaleOutPlanner::add_headroom(const Headroom& headroom) {
    const auto& spec = *headroom.spec;
    Job unplaced;
    unplaced.spec = spec;
    const ZoneConstraint any_zone(cluster_, unplaced);
    auto covered_tasks = tasks_in_available_resources(spec);
    while (covered_tasks < headroom.tasks) {
        const auto missing = static_cast<size_t>(headroom.tasks - covered_tasks);
        const auto offer = cheapest_offer(cluster_, spec, missing, kNone, any_zone,
                                          context_.silent_zones, context_.now);
        if (!offer) return;
        ++requests_[offer_of(*offer)];
        covered_tasks += std::max<int64_t>(1, spec.demand.max_copies_in(offer->available));
    }
}

std::vector<ScaleOutRequest> ScaleOutPlanner::requests() const {
    std::vector<ScaleOutRequest> requests;
    requests.reserve(requests_.size());
    for (const auto& [offer, count] : requests_)
        requests.push_back(
            {offer.type, offer.zone, offer.spot, std::min(count, kMaxMachinesPerRequest)});
    return requests;
}

}  // namespace

std::vector<ScaleOutRequest> plan_scale_out(const ClusterState& cluster,
                                            const MachineFilter& usable,
                                            const AutoscalerSettings& settings, double now) {
    ScaleOutPlanner planner(cluster, usable, settings.max_cached_shapes, now);
    for (const auto index : waiting_jobs(cluster, now)) planner.add_job(*cluster.jobs[index]);
    for (const auto& headroom : planned_headroom(cluster, settings, now))
        planner.add_headroom(headroom);
    return planner.requests();
}

}  // namespace weirmill
