// The machines that the cloud offers, and the cheapest offer for a job.
#pragma once
#include <compare>
#include <optional>
#include <vector>

#include "autoscaler/expected_capacity.h"
#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// A kind of machine that can be requested: its type, zone and market (spot or on-demand).
struct Offer {
    Index type, zone;
    bool spot;
    auto operator<=>(const Offer&) const = default;
};

// The most machines in one request to the cloud.
inline constexpr int kMaxMachinesPerRequest = 50;

// Returns a new machine of the offer with the lowest price per task, given that at most `tasks`
// tasks of the job run on it, or nullopt if no offer suits the job. Spot instances are considered
// only if the job allows them. `only_zone` is kNone if any zone will do.
std::optional<ExpectedCapacity> cheapest_offer(const ClusterState& cluster, const JobSpec& spec,
                                               size_t tasks, Index only_zone,
                                               const ZoneConstraint& zone_constraint,
                                               const std::vector<bool>& silent_zones, double now);

inline Offer offer_of(const ExpectedCapacity& capacity) {
    return {capacity.type, capacity.zone, capacity.spot};
}

// Returns the highest on-demand price among the offered machine types.
double highest_price(const ClusterState& cluster);

}  // namespace weirmill
