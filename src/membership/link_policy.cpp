#include "membership/link_policy.h"

#include <algorithm>
#include <tuple>

namespace weirmill {

namespace {

// Maximum time between two heartbeats, as a multiple of their interval.
constexpr double kMaxIntervalFactor = 1.25;
// Time from a transfer until the successor has won, read the log and accepts requests.
constexpr double kTakeover_s = 2;
// A difference of up to a twentieth of the workers is ignored.
constexpr uint32_t kToleranceDivisor = 20;
// Delay of a campaign while another candidate reaches far more workers.
constexpr double kFewerWorkersDelay_s = 0.25;

// Returns whether `theirs` is more than twice `mine`, by more than the tolerance.
bool far_more(uint32_t theirs, uint32_t mine, uint32_t known) {
    return theirs > 2 * mine + std::max(known, theirs) / kToleranceDivisor;
}

bool can_lead(const LinkStatus& links) { return links.reports_links && links.reaches_kv; }

// Reasons why a peer should lead in place of this controller, in ascending order of weight.
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

LinkTimeouts LinkTimeouts::from_settings(const Settings& s) {
    const auto controllers = 1.0 + static_cast<double>(s.peers.size());
    LinkTimeouts t{};
    t.direct_heartbeat_s =
        1.2 * kMaxIntervalFactor * s.heartbeat_interval_s + s.worker_failover_delay_s;
    t.controller_cycle_s = kMaxIntervalFactor * s.heartbeat_interval_s +
                           s.worker_response_timeout_s + s.worker_failover_delay_s * controllers;
    t.worker_round_s = kMaxIntervalFactor * s.heartbeat_interval_s +
                       (s.worker_response_timeout_s + s.worker_failover_delay_s) * controllers;
    t.min_preference_s = 0.3 * s.heartbeat_interval_s;
    t.transfer_pause_s = 3 * s.heartbeat_interval_s;
    t.failover_s = kTakeover_s + t.worker_round_s;
    t.view_expiry_s = 3 * s.ping_interval_s;
    return t;
}

std::vector<PeerView> peers_counting_for_term(std::span<const PeerView> others,
                                              const LeadingTerm& term, const LinkTimeouts& times) {
    std::vector<PeerView> out;
    for (auto& peer : others) {
        bool unknown_origin = peer.links.leader_token == 0;
        bool applies = unknown_origin ? term.led_s >= times.worker_round_s
                                      : peer.links.leader_token == term.fencing_token;
        if (applies) out.push_back(peer);
    }
    return out;
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
                     double max_clock_error_s, double wall_time) {
    double wait = transfer_campaign_wait(self, last, max_clock_error_s, wall_time);
    if (wait < 0) return wait;
    for (auto& peer : others)
        if (can_lead(peer.links) &&
            far_more(peer.links.reachable_workers, own.reachable_workers, 0))
            wait = std::max(wait, kFewerWorkersDelay_s);
    return wait;
}

}  // namespace weirmill
