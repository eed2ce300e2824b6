#include "autoscaler/job_planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace weirmill {

namespace {

// A new machine is requested only if the wait for an existing one would be longer than the boot of
// the new one by at least this factor.
constexpr double kMinSpeedup = 1.3;
// At least this share of kMinSpeedup applies, however cheap the new machine is.
constexpr double kMinSpeedupShare = 0.3;
// The share of its slack that a job may wait for an existing machine.
constexpr double kMaxWaitShare = 0.15;
// The additional share of its slack that a job may wait, in proportion to the part of a new machine
// that would stay empty.
constexpr double kEmptyMachineWaitShare = 0.85;

// Returns how many of the job's tasks fit on the largest suitable machine type.
int64_t max_tasks_per_machine(const ClusterState& cluster, const JobSpec& spec) {
    int64_t most = 0;
    for (Index type = 0; type < cluster.types.size(); ++type) {
        if (!cluster.type_fits(spec, type)) continue;
        most = std::max(most, spec.demand.max_copies_in(cluster.types[type].type.size));
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
      zone_constraint_(context.cluster, request.job),
      zone_constrained_(spec_.one_zone || spec_.spread),
      run_s_(cluster_.expected_run_s(spec_)),
      max_tasks_per_machine_(max_tasks_per_machine(cluster_, spec_)),
      next_slot_(index.slots().first()),
      next_booting_(index.booting_slots().first()),
      next_machine_(machines.size()) {}

JobPlan JobPlanner::plan() {
    auto& use_counts = context_.use_counts;
    const size_t max_machines = machines_.size() + request_.tasks;
    if (use_counts.size() < max_machines) use_counts.resize(max_machines, 0);
    size_t remaining = request_.tasks;
    while (remaining > 0 && place_task(remaining)) --remaining;
    plan_.complete = remaining == 0;
    for (const auto& [machine, capacity] : plan_.machines) use_counts[machine] = 0;
    return std::move(plan_);
}

// Returns false if no machine and no offer can take the task.
bool JobPlanner::place_task(size_t remaining) {
    const auto earliest = earliest_slot();
    // The cheapest offer can change when the remaining tasks no longer fill a machine, and when a
    // placement changes which zones are allowed.
    if (remaining == request_.tasks || zone_constrained_ ||
        static_cast<int64_t>(remaining) < max_tasks_per_machine_)
        update_offer(remaining);
    // Waiting for an existing machine that is available no later than a new one would be costs
    // nothing. Longer waits are accepted as far as the job's slack allows.
    const double slack_wait_s = max_wait_s(remaining);
    if (earliest && (!offer_ || earliest->slot.start.in_s <=
                                    std::max(max_wait_boots() * boot_s(), slack_wait_s))) {
        if (earliest->reused) pop_reused();
        plan_.late = plan_.late ||
                     earliest->slot.start.in_s > std::max(kMinSpeedup * boot_s(), slack_wait_s);
        assign(earliest->slot);
        return true;
    }
    auto slot = booting_slot();
    if (!slot) slot = request_machine();
    if (!slot) return false;
    assign(*slot);
    return true;
}

// Returns the earlier of the first index slot on a machine that this plan has not used and the
// first slot on a machine that it has.
std::optional<JobPlanner::EarliestSlot> JobPlanner::earliest_slot() {
    while (!reused_.empty() && is_stale(reused_.front().slot, reused_.front().use_count))
        pop_reused();
    const auto* indexed =
        index_.slots().next(next_slot_, [this](const StartSlot& slot) { return is_skipped(slot); });
    if (indexed && (reused_.empty() || *indexed < reused_.front().slot))
        return EarliestSlot{*indexed, false};
    if (reused_.empty()) return std::nullopt;
    return EarliestSlot{reused_.front().slot, true};
}

// Returns a slot on a booting machine, as it was probably requested for jobs like this one, unless
// the machine comes up much later than a new one would.
std::optional<StartSlot> JobPlanner::booting_slot() {
    while (!reused_booting_.empty() &&
           is_stale(reused_booting_.back().slot, reused_booting_.back().use_count))
        reused_booting_.pop_back();
    const auto* earliest =
        !reused_booting_.empty()
            ? &reused_booting_.back().slot
            : index_.booting_slots().next(
                  next_booting_, [this](const StartSlot& slot) { return is_skipped(slot); });
    if (!earliest || earliest->start.in_s > kMinSpeedup * boot_s()) return std::nullopt;
    const StartSlot slot = *earliest;
    // A slot from the index needs no removal: it is skipped once its machine is used.
    if (!reused_booting_.empty()) reused_booting_.pop_back();
    return slot;
}

std::optional<StartSlot> JobPlanner::request_machine() {
    if (!offer_) return std::nullopt;
    auto& count = plan_.requests[offer_of(*offer_)];
    if (count >= kMaxMachinesPerRequest) return std::nullopt;
    ++count;
    ++plan_.new_machines;
    const size_t machine = next_machine_++;
    plan_.machines.emplace(machine, *offer_);
    return StartSlot{{offer_->available_in_s, 0}, machine};
}

void JobPlanner::assign(const StartSlot& slot) {
    plan_.latest_start_s = std::max(plan_.latest_start_s, slot.start.in_s);
    auto it = plan_.machines.find(slot.machine);
    if (it == plan_.machines.end())
        it = plan_.machines.emplace(slot.machine, machines_[slot.machine]).first;
    auto& capacity = it->second;
    capacity.assign(spec_.demand, slot.start,
                    run_s_ + cluster_.image_fetch_s(spec_, capacity.type));
    ++context_.use_counts[slot.machine];
    zone_constraint_.add(capacity.zone);
    add_reused(slot.machine, capacity);
}

void JobPlanner::add_reused(size_t machine, const ExpectedCapacity& capacity) {
    const StartSlot slot{capacity.earliest_start(spec_.demand), machine};
    if (slot.start.in_s > kHorizon_s) return;
    const ReusedSlot reused{slot, context_.use_counts[machine]};
    reused_.push_back(reused);
    std::ranges::push_heap(reused_, std::greater<>());
    if (capacity.booting && slot.start.tasks_ended == 0) reused_booting_.push_back(reused);
}

void JobPlanner::pop_reused() {
    std::ranges::pop_heap(reused_, std::greater<>());
    reused_.pop_back();
}

void JobPlanner::update_offer(size_t remaining) {
    offer_ = cheapest_offer(cluster_, spec_, remaining, request_.only_zone, zone_constraint_,
                            context_.silent_zones, context_.now);
}

// Returns whether the machine has been used since the slot was computed, or its zone is no longer
// allowed.
bool JobPlanner::is_stale(const StartSlot& slot, uint32_t use_count) const {
    return use_count != context_.use_counts[slot.machine] ||
           (zone_constrained_ && !zone_constraint_.allows(zone_of(slot.machine)));
}

// Returns whether the plan can't use this slot of the index.
bool JobPlanner::is_skipped(const StartSlot& slot) const {
    if (index_.is_stale(slot)) return true;
    if (request_.only_zone != kNone && machines_[slot.machine].zone != request_.only_zone)
        return true;
    return is_stale(slot, 0);
}

Index JobPlanner::zone_of(size_t machine) const {
    return machine < machines_.size() ? machines_[machine].zone : plan_.machines.at(machine).zone;
}

// Returns how many seconds of its slack the job may wait for an existing machine rather than
// request a new one.
double JobPlanner::max_wait_s(size_t remaining) const {
    double filled_share = 1;
    if (offer_)
        filled_share =
            std::min(1.0, static_cast<double>(remaining) /
                              static_cast<double>(spec_.demand.max_copies_in(offer_->available)));
    return (kMaxWaitShare + kEmptyMachineWaitShare * (1 - filled_share)) * request_.slack_s;
}

// Returns the longest wait for an existing machine, in boot times of the offered one, before a new
// one is requested. It is shorter for a cheap machine: on a fleet that is always busy, tasks would
// otherwise wait as long as a boot for each other's resources, even if another machine costs
// little.
double JobPlanner::max_wait_boots() const {
    if (!offer_ || context_.highest_price <= 0) return kMinSpeedup;
    const double price = cluster_.types[offer_->type].type.price;
    return kMinSpeedup * std::max(kMinSpeedupShare, std::sqrt(price / context_.highest_price));
}

}  // namespace weirmill
