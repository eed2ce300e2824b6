#include "autoscaler/capacity_forecast.h"

#include <algorithm>
#include <utility>

namespace weirmill {

namespace {

// Updating an index for one change costs about as much as rebuilding it for this many machines.
constexpr size_t kMachinesPerChange = 10;

}  // namespace

CapacityForecast::CapacityForecast(const ClusterState& cluster,
                                   std::vector<ExpectedCapacity> machines, size_t max_shapes)
    : cluster_(cluster), machines_(std::move(machines)), max_shapes_(max_shapes) {}

const ShapeIndex& CapacityForecast::index_for(const JobSpec& spec) {
    auto& cached = cached_index(spec);
    cached.last_used = ++use_counter_;
    if (!cached.built || max_shapes_ == 0 || rebuild_is_cheaper(cached)) rebuild(cached);
    for (; cached.changes_applied < changes_.size(); ++cached.changes_applied) {
        const size_t machine = changes_[cached.changes_applied];
        cached.index.update(machine, machines_[machine]);
    }
    return cached.index;
}

CapacityForecast::CachedIndex& CapacityForecast::cached_index(const JobSpec& spec) {
    const auto it = std::ranges::find_if(indexes_, [&](const CachedIndex& cached) {
        return cached.index.shape().same_shape_as(spec);
    });
    return it != indexes_.end() ? *it : add_index(spec);
}

// Replaces the least recently used index if the cache is full.
CapacityForecast::CachedIndex& CapacityForecast::add_index(const JobSpec& spec) {
    CachedIndex added{ShapeIndex(cluster_, spec)};
    if (indexes_.size() < std::max<size_t>(max_shapes_, 1)) {
        indexes_.push_back(std::move(added));
        return indexes_.back();
    }
    auto& oldest = *std::ranges::min_element(indexes_, {}, &CachedIndex::last_used);
    oldest = std::move(added);
    return oldest;
}

void CapacityForecast::rebuild(CachedIndex& cached) const {
    cached.index.rebuild(machines_, cluster_.names.zones.size());
    cached.changes_applied = changes_.size();
    cached.built = true;
}

bool CapacityForecast::rebuild_is_cheaper(const CachedIndex& cached) const {
    return (changes_.size() - cached.changes_applied) * kMachinesPerChange > machines_.size();
}

void CapacityForecast::apply(std::map<size_t, ExpectedCapacity> changed) {
    for (auto& [machine, capacity] : changed) {
        changes_.push_back(machine);
        if (machine < machines_.size())
            machines_[machine] = std::move(capacity);
        else
            machines_.push_back(std::move(capacity));
    }
}

}  // namespace weirmill
