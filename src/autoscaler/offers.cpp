#include "autoscaler/offers.h"

#include <algorithm>

#include "autoscaler/suitability.h"

namespace weirmill {

namespace {

// Costs closer than this are equal: the earlier type and zone, and the spot instance, go first.
constexpr double kEqualCost = 1e-12;

struct BestOffer {
    double cost = 0;
    std::optional<Offer> offer;
};

// The spot instance and the regular one of a type in a zone; `fits`: tasks on one machine.
void consider_markets(const ClusterState& cluster, const JobSpec& spec, Index t, Index z,
                      int64_t fits, double now, BestOffer& best) {
    const auto& type = cluster.types[t].type;
    for (const bool spot : {true, false}) {
        if (!market_suits(spec, spot, z) || cluster.refused(t, z, spot, now)) continue;
        const double cost = (spot ? type.spot_price : type.price) / static_cast<double>(fits);
        const bool cheaper = !best.offer || cost < best.cost - kEqualCost;
        if (cheaper) best = {cost, Offer{t, z, spot}};
    }
}

}  // namespace

std::optional<ExpectedCapacity> cheapest_offer(const ClusterState& cluster, const JobSpec& spec,
                                               size_t tasks, Index only_zone, const ZoneRule& rule,
                                               const std::vector<bool>& silent_zones, double now) {
    const auto zone_allowed = [&](Index z) {
        if (z == kNone || (only_zone != kNone && z != only_zone)) return false;
        const bool silent = z < silent_zones.size() && silent_zones[z];
        return !silent && rule.allows(z);
    };
    BestOffer best;
    for (Index t = 0; t < cluster.types.size(); ++t) {
        if (!type_suits(cluster, spec, t)) continue;
        const auto& type = cluster.types[t].type;
        const auto fits =
            std::min<int64_t>(spec.demand.max_copies_in(type.size), static_cast<int64_t>(tasks));
        for (const auto& zone_name : type.zones) {
            const auto z = cluster.names.zones.find(zone_name);
            if (zone_allowed(z)) consider_markets(cluster, spec, t, z, fits, now, best);
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
    for (const auto& t : cluster.types)
        if (t.offered) highest = std::max(highest, t.type.price);
    return highest;
}

}  // namespace weirmill
