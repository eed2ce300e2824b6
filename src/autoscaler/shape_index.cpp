#include "autoscaler/shape_index.h"

#include <utility>

#include "autoscaler/machine_eligibility.h"

namespace weirmill {

namespace {

bool is_booting_slot(const ExpectedCapacity& capacity, const StartSlot& slot) {
    return capacity.booting && slot.start.tasks_ended == 0;
}

}  // namespace

ShapeIndex::ShapeIndex(const ClusterState& cluster, const JobSpec& shape) : shape_(shape) {
    for (Index type = 0; type < cluster.types.size(); ++type)
        eligible_types_.push_back(type_eligible(cluster, shape, type));
}

bool ShapeIndex::is_eligible(const ExpectedCapacity& capacity) const {
    return eligible_types_[capacity.type] && market_eligible(shape_, capacity.spot, capacity.zone);
}

void ShapeIndex::count_tasks(size_t machine, const ExpectedCapacity& capacity) {
    if (capacity.zone >= zone_tasks_.size()) zone_tasks_.resize(capacity.zone + 1, 0);
    auto& tasks = machine_tasks_[machine];
    zone_tasks_[capacity.zone] -= tasks;
    tasks = is_eligible(capacity) ? shape_.demand.max_copies_in(capacity.available) : 0;
    zone_tasks_[capacity.zone] += tasks;
}

// Advances the machine's version, which makes its earlier slots stale, and updates its task count.
std::optional<StartSlot> ShapeIndex::compute_slot(size_t machine,
                                                  const ExpectedCapacity& capacity) {
    ++versions_[machine];
    count_tasks(machine, capacity);
    if (!is_eligible(capacity)) return std::nullopt;
    const StartSlot slot{capacity.earliest_start(shape_.demand), machine, versions_[machine]};
    if (slot.start.in_s > kHorizon_s) return std::nullopt;
    return slot;
}

void ShapeIndex::rebuild(const std::vector<ExpectedCapacity>& machines, size_t zone_count) {
    versions_.assign(machines.size(), 0);
    machine_tasks_.assign(machines.size(), 0);
    zone_tasks_.assign(zone_count, 0);
    std::vector<StartSlot> slots, booting_slots;
    for (size_t i = 0; i < machines.size(); ++i) {
        const auto slot = compute_slot(i, machines[i]);
        if (!slot) continue;
        slots.push_back(*slot);
        if (is_booting_slot(machines[i], *slot)) booting_slots.push_back(*slot);
    }
    slots_.assign(std::move(slots));
    booting_slots_.assign(std::move(booting_slots));
}

void ShapeIndex::update(size_t machine, const ExpectedCapacity& capacity) {
    if (machine >= versions_.size()) {
        versions_.resize(machine + 1, 0);
        machine_tasks_.resize(machine + 1, 0);
    }
    if (const auto slot = compute_slot(machine, capacity)) {
        slots_.insert(*slot);
        if (is_booting_slot(capacity, *slot)) booting_slots_.insert(*slot);
    }
    const auto stale = [this](const StartSlot& slot) { return is_stale(slot); };
    slots_.compact(stale);
    booting_slots_.compact(stale);
}

}  // namespace weirmill
