// What the cloud offers, and the cheapest of it for a job.
#pragma once
#include <compare>
#include <optional>
#include <vector>

#include "autoscaler/expected_capacity.h"
#include "scheduler/placement.h"
#include "state/cluster_state.h"

namespace weirmill {

// What machines are requested by: type, zone and market.
struct Offer {
    Index type, zone;
    bool spot;
    auto operator<=>(const Offer&) const = default;
};

// Machines in one request to the cloud.
inline constexpr int kMaxMachinesPerRequest = 50;

// The new machine that costs least for each of at most `tasks` tasks of the job, a spot instance
// where it may use one; nothing: no offer suits. `only_zone`: kNone for any.
std::optional<ExpectedCapacity> cheapest_offer(const ClusterState& cluster, const JobSpec& spec,
                                               size_t tasks, Index only_zone,
                                               const ZoneConstraint& rule,
                                               const std::vector<bool>& silent_zones, double now);

inline Offer offer_of(const ExpectedCapacity& c) { return {c.type, c.zone, c.spot}; }

// The highest price among the types offered.
double highest_price(const ClusterState& cluster);

}  // namespace weirmill
