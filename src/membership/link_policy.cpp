#include "membership/link_policy.h"

#include <algorithm>
#include <tuple>

namespace weirmill {

namespace {

constexpr double kMaxInterval = 1.25;  // heartbeats come so much later than their interval at most
constexpr uint32_t kToleranceShare = 20;      // a twentieth of the workers is no difference
constexpr double kFewerWorkersWait_s = 0.25;  // in a campaign, behind one that reaches far more

// Far more: twice as many, and by more than some stragglers.
bool far_more(uint32_t theirs, uint32_t mine, uint32_t known) {
    return theirs > 2 * mine + std::max(known, theirs) / kToleranceShare;
}

bool can_lead(const LinkStatus& links) { return links.reports_links && links.reaches_kv; }

// Why a peer should lead in place of this controller, in rising order.
enum class Advantage : uint8_t { None, DirectWorkers, ReachableWorkers };

Advantage advantage(const LinkStatus& mine, const LinkStatus& theirs) {
    if (!can_lead(theirs)) return Advantage::None;
    if (far_more(theirs.reachable_workers, mine.reachable_workers, mine.known_workers))
        return Advantage::ReachableWorkers;
    bool lost_most = 2 * mine.direct_workers < std::max(mine.known_workers, theirs.direct_workers);
    if (lost_most && far_more(theirs.direct_workers, mine.direct_workers, mine.known_workers))
        return Advantage::DirectWorkers;
    return Advantage::None;
}

}  // namespace

LinkTimeouts LinkTimeouts::of(const Settings& s) {
    const auto controllers = 1.0 + static_cast<double>(s.peers.size());
    LinkTimeouts t{};
    t.direct_heartbeat_s = 1.2 * kMaxInterval * s.heartbeat_interval_s + s.worker_failover_delay_s;
    t.controller_cycle_s = kMaxInterval * s.heartbeat_interval_s + s.worker_response_timeout_s +
                           s.worker_failover_delay_s * controllers;
    t.preference_s = 0.3 * s.heartbeat_interval_s;
    t.transfer_pause_s = 3 * s.heartbeat_interval_s;
    t.view_expiry_s = 3 * s.ping_interval_s;
    return t;
}

std::optional<std::string> preferred_leader(const LinkStatus& mine,
                                            std::span<const PeerView> others) {
    const PeerView* best = nullptr;
    auto rank = [&](const PeerView& peer) {
        return std::tuple(advantage(mine, peer.links), peer.links.direct_workers,
                          peer.links.reachable_workers);
    };
    for (auto& peer : others) {
        if (advantage(mine, peer.links) == Advantage::None) continue;
        bool better = !best || rank(peer) > rank(*best) ||
                      (rank(peer) == rank(*best) && peer.name <= best->name);
        if (better) best = &peer;
    }
    if (!best) return std::nullopt;
    return best->name;
}

uint32_t workers_through_peers(uint32_t own, std::span<const PeerView> others) {
    for (auto& peer : others)
        if (peer.reachable && peer.links.reports_links)
            own = std::max(own, peer.links.direct_workers);
    return own;
}

std::optional<std::string> relay_to_leader(const std::string& leader,
                                           std::span<const PeerView> others) {
    for (auto& peer : others) {
        auto& reaches = peer.links.reachable_peers;
        if (peer.reachable && peer.name != leader &&
            std::ranges::find(reaches, leader) != reaches.end())
            return peer.name;
    }
    return std::nullopt;
}

std::optional<std::string> relay_to_kv(std::span<const PeerView> others) {
    for (auto& peer : others)
        if (peer.reachable && can_lead(peer.links)) return peer.name;
    return std::nullopt;
}

double campaign_wait(const std::string& self, const LinkStatus& own,
                     std::span<const PeerView> others, const TransferRecord& last,
                     double clock_off_s, double wall) {
    double wait = transfer_campaign_wait(self, last, clock_off_s, wall);
    if (wait < 0) return wait;
    for (auto& peer : others)
        if (can_lead(peer.links) &&
            far_more(peer.links.reachable_workers, own.reachable_workers, 0))
            wait = std::max(wait, kFewerWorkersWait_s);
    return wait;
}

}  // namespace weirmill
