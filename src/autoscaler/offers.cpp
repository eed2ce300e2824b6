#include "autoscaler/offers.h"

#include <algorithm>

#include "autoscaler/machine_eligibility.h"

namespace weirmill {

namespace {

// Offers whose costs differ by less than this count as equally cheap. Of these, the one considered
// first is chosen: the earlier machine type, then the earlier zone, then the spot instance.
constexpr double kCostTolerance = 1e-12;

struct BestOffer {
    double cost = 0;  // price per task
    std::optional<Offer> offer;
};

// Replaces `best` if the spot or the on-demand machine of the type in the zone is cheaper.
void consider_markets(const ClusterState& cluster, const JobSpec& spec, Index type_index,
                      Index zone, int64_t tasks_per_machine, double now, BestOffer& best) {
    const auto& type = cluster.types[type_index].type;
    for (const bool spot : {true, false}) {
        if (!market_eligible(spec, spot, zone) ||
            cluster.capacity_refused(type_index, zone, spot, now))
            continue;
        const double price = spot ? type.spot_price : type.price;
        const double cost = price / static_cast<double>(tasks_per_machine);
        const bool cheaper = !best.offer || cost < best.cost - kCostTolerance;
        if (cheaper) best = {cost, Offer{type_index, zone, spot}};
    }
}

}  // namespace

std::optional<ExpectedCapacity> cheapest_offer(const ClusterState& cluster, const JobSpec& spec,
                                               size_t tasks, Index only_zone,
                                               const ZoneConstraint& zone_constraint,
                                               const std::vector<bool>& silent_zones, double now) {
    const auto zone_allowed = [&](Index zone) {
        if (zone == kNone || (only_zone != kNone && zone != only_zone)) return false;
        const bool silent = zone < silent_zones.size() && silent_zones[zone];
        return !silent && zone_constraint.allows(zone);
    };
    BestOffer best;
    for (Index type_index = 0; type_index < cluster.types.size(); ++type_index) {
        if (!type_eligible(cluster, spec, type_index)) continue;
        const auto& type = cluster.types[type_index].type;
        const auto tasks_per_machine =
            std::min<int64_t>(spec.demand.max_copies_in(type.size), static_cast<int64_t>(tasks));
        for (const auto& zone_name : type.zones) {
            const auto zone = cluster.names.zones.find(zone_name);
            if (zone_allowed(zone))
                consider_markets(cluster, spec, type_index, zone, tasks_per_machine, now, best);
        }
    }
    if (!best.offer) return std::nullopt;
    const auto& offer = *best.offer;
    const auto& type = cluster.types[offer.type].type;
    const double boot_s = cluster.boot_factor * type.boot_s;
    return ExpectedCapacity{offer.type, offer.zone, offer.spot, boot_s, type.size, {}, true};
}

double highest_price(const ClusterState& cluster) {
    double highest = 0;
    for (const auto& type_state : cluster.types)
        if (type_state.offered) highest = std::max(highest, type_state.type.price);
    return highest;
}

}  // namespace weirmill
