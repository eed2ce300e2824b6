#include "autoscaler/shape_index.h"

#include <utility>

#include "autoscaler/suitability.h"

namespace weirmill {

namespace {

bool booting_with_room(const ExpectedCapacity& c, const Opening& o) {
    return c.booting && o.start.ends == 0;
}

}  // namespace

ShapeIndex::ShapeIndex(const ClusterState& cluster, const JobSpec& shape) : shape_(shape) {
    for (Index t = 0; t < cluster.types.size(); ++t)
        suitable_types_.push_back(type_suits(cluster, shape, t));
}

bool ShapeIndex::suits(const ExpectedCapacity& c) const {
    return suitable_types_[c.type] && market_suits(shape_, c.spot, c.zone);
}

void ShapeIndex::count_tasks(size_t machine, const ExpectedCapacity& c) {
    if (c.zone >= zone_tasks_.size()) zone_tasks_.resize(c.zone + 1, 0);
    auto& tasks = machine_tasks_[machine];
    zone_tasks_[c.zone] -= tasks;
    tasks = suits(c) ? shape_.demand.max_copies_in(c.room) : 0;
    zone_tasks_[c.zone] += tasks;
}

std::optional<Opening> ShapeIndex::opening(size_t machine, const ExpectedCapacity& c) {
    ++versions_[machine];
    count_tasks(machine, c);
    if (!suits(c)) return std::nullopt;
    const Opening o{c.earliest_start(shape_.demand), machine, versions_[machine]};
    if (o.start.in_s > kHorizon_s) return std::nullopt;
    return o;
}

void ShapeIndex::rebuild(const std::vector<ExpectedCapacity>& machines, size_t zones) {
    versions_.assign(machines.size(), 0);
    machine_tasks_.assign(machines.size(), 0);
    zone_tasks_.assign(zones, 0);
    std::vector<Opening> all, booting;
    for (size_t i = 0; i < machines.size(); ++i) {
        const auto o = opening(i, machines[i]);
        if (!o) continue;
        all.push_back(*o);
        if (booting_with_room(machines[i], *o)) booting.push_back(*o);
    }
    openings_.assign(std::move(all));
    booting_.assign(std::move(booting));
}

void ShapeIndex::update(size_t machine, const ExpectedCapacity& c) {
    if (machine >= versions_.size()) {
        versions_.resize(machine + 1, 0);
        machine_tasks_.resize(machine + 1, 0);
    }
    if (const auto o = opening(machine, c)) {
        openings_.insert(*o);
        if (booting_with_room(c, *o)) booting_.insert(*o);
    }
    const auto is_stale = [this](const Opening& o) { return stale(o); };
    openings_.compact(is_stale);
    booting_.compact(is_stale);
}

}  // namespace weirmill
