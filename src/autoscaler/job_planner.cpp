#include "autoscaler/job_planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace weirmill {

namespace {

// A new machine has to be sooner than present ones by this factor to be worth its price.
constexpr double kMinSpeedup = 1.3;
// And however cheap it is, by no less than this share of the factor.
constexpr double kMinSpeedupShare = 0.3;
// The share of its slack that a job may wait for room.
constexpr double kPatience = 0.15;
// As much more of it, in proportion to the part of a new machine that would stay empty.
constexpr double kEmptyMachinePatience = 0.85;

// Of the largest machine that the job fits.
int64_t max_tasks_per_machine(const ClusterState& cluster, const JobSpec& spec) {
    int64_t most = 0;
    for (Index t = 0; t < cluster.types.size(); ++t) {
        if (!cluster.type_fits(spec, t)) continue;
        most = std::max(most, spec.demand.max_copies_in(cluster.types[t].type.size));
    }
    return most;
}

}  // namespace

JobPlanner::JobPlanner(PlanningContext& context, const std::vector<ExpectedCapacity>& machines,
                       const ShapeIndex& index, const JobRequest& request)
    : context_(context),
      cluster_(context.cluster),
      machines_(machines),
      index_(index),
      spec_(request.job.spec),
      request_(request),
      rule_(context.cluster, request.job),
      zones_ruled_(spec_.one_zone || spec_.spread),
      run_s_(cluster_.expected_run_s(spec_)),
      max_tasks_per_machine_(max_tasks_per_machine(cluster_, spec_)),
      next_opening_(index.openings().first()),
      next_booting_(index.booting().first()),
      next_machine_(machines.size()) {}

JobPlan JobPlanner::plan() {
    auto& uses = context_.uses;
    const size_t max_machines = machines_.size() + request_.tasks;
    if (uses.size() < max_machines) uses.resize(max_machines, 0);
    size_t remaining = request_.tasks;
    while (remaining > 0 && place_task(remaining)) --remaining;
    plan_.complete = remaining == 0;
    for (const auto& [machine, c] : plan_.machines) uses[machine] = 0;
    return std::move(plan_);
}

// False: nothing can take it.
bool JobPlanner::place_task(size_t remaining) {
    const auto soonest = soonest_opening();
    // With fewer tasks left than a machine holds the offers' order may change, as it may with the
    // zones that are allowed.
    if (remaining == request_.tasks || zones_ruled_ ||
        static_cast<int64_t>(remaining) < max_tasks_per_machine_)
        update_offer(remaining);
    // Waiting for room that will be there no later than a new machine costs nothing; longer waits
    // are taken as far as the job can afford them.
    const double patience = patience_s(remaining);
    if (soonest && (!offer_ || soonest->opening.start.in_s <=
                                   std::max(boot_share_to_wait() * boot_s(), patience))) {
        if (soonest->reused) pop_reused();
        plan_.late =
            plan_.late || soonest->opening.start.in_s > std::max(kMinSpeedup * boot_s(), patience);
        assign(soonest->opening);
        return true;
    }
    auto opening = booting_opening();
    if (!opening) opening = request_machine();
    if (!opening) return false;
    assign(*opening);
    return true;
}

// From the index as far as this plan has not used the machines, and from those that it has.
std::optional<JobPlanner::SoonestOpening> JobPlanner::soonest_opening() {
    while (!reused_.empty() && stale(reused_.front().opening, reused_.front().uses)) pop_reused();
    const auto* indexed =
        index_.openings().next(next_opening_, [this](const Opening& o) { return skipped(o); });
    if (indexed && (reused_.empty() || *indexed < reused_.front().opening))
        return SoonestOpening{*indexed, false};
    if (reused_.empty()) return std::nullopt;
    return SoonestOpening{reused_.front().opening, true};
}

// What is booting was requested for such work already: worth waiting for if it is up hardly later
// than a new machine.
std::optional<Opening> JobPlanner::booting_opening() {
    while (!reused_booting_.empty() &&
           stale(reused_booting_.back().opening, reused_booting_.back().uses))
        reused_booting_.pop_back();
    const auto* soonest =
        !reused_booting_.empty()
            ? &reused_booting_.back().opening
            : index_.booting().next(next_booting_, [this](const Opening& o) { return skipped(o); });
    if (!soonest || soonest->start.in_s > kMinSpeedup * boot_s()) return std::nullopt;
    const Opening opening = *soonest;
    // One of the index is skipped from now on, as its machine is used.
    if (!reused_booting_.empty()) reused_booting_.pop_back();
    return opening;
}

std::optional<Opening> JobPlanner::request_machine() {
    if (!offer_) return std::nullopt;
    auto& count = plan_.requests[offer_of(*offer_)];
    if (count >= kMaxMachinesPerRequest) return std::nullopt;
    ++count;
    ++plan_.requested;
    const size_t machine = next_machine_++;
    plan_.machines.emplace(machine, *offer_);
    return Opening{{offer_->from_s, 0}, machine};
}

void JobPlanner::assign(const Opening& o) {
    plan_.latest_start_s = std::max(plan_.latest_start_s, o.start.in_s);
    auto it = plan_.machines.find(o.machine);
    if (it == plan_.machines.end())
        it = plan_.machines.emplace(o.machine, machines_[o.machine]).first;
    auto& c = it->second;
    c.assign(spec_.demand, o.start, run_s_ + cluster_.fetch_s(spec_, c.type));
    ++context_.uses[o.machine];
    rule_.add(c.zone);
    add_reused(o.machine, c);
}

void JobPlanner::add_reused(size_t machine, const ExpectedCapacity& c) {
    const Opening o{c.earliest_start(spec_.demand), machine};
    if (o.start.in_s > kHorizon_s) return;
    const ReusedOpening reused{o, context_.uses[machine]};
    reused_.push_back(reused);
    std::ranges::push_heap(reused_, std::greater<>());
    if (c.booting && o.start.ends == 0) reused_booting_.push_back(reused);
}

void JobPlanner::pop_reused() {
    std::ranges::pop_heap(reused_, std::greater<>());
    reused_.pop_back();
}

void JobPlanner::update_offer(size_t remaining) {
    offer_ = cheapest_offer(cluster_, spec_, remaining, request_.only_zone, rule_,
                            context_.silent_zones, context_.now);
}

bool JobPlanner::stale(const Opening& o, uint32_t uses) const {
    return uses != context_.uses[o.machine] || (zones_ruled_ && !rule_.allows(zone_of(o.machine)));
}

bool JobPlanner::skipped(const Opening& o) const {
    if (index_.stale(o)) return true;
    if (request_.only_zone != kNone && machines_[o.machine].zone != request_.only_zone) return true;
    return stale(o, 0);
}

Index JobPlanner::zone_of(size_t machine) const {
    return machine < machines_.size() ? machines_[machine].zone : plan_.machines.at(machine).zone;
}

double JobPlanner::patience_s(size_t remaining) const {
    double filled = 1;
    if (offer_)
        filled = std::min(1.0, static_cast<double>(remaining) /
                                   static_cast<double>(spec_.demand.max_copies_in(offer_->room)));
    return (kPatience + kEmptyMachinePatience * (1 - filled)) * request_.slack_s;
}

// A machine is requested where room comes later than this share of its boot. A cheap one is
// requested sooner: where work never stops, tasks used to wait as long as a boot for each other's
// room, whatever more machines cost.
double JobPlanner::boot_share_to_wait() const {
    if (!offer_ || context_.highest_price <= 0) return kMinSpeedup;
    const double price = cluster_.types[offer_->type].type.price;
    return kMinSpeedup * std::max(kMinSpeedupShare, std::sqrt(price / context_.highest_price));
}

}  // namespace weirmill
