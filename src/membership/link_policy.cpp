#include "membership/link_policy.h"

#include <algorithm>
#include <cmath>

namespace weirmill {

namespace {

constexpr double kUneven = 1.25;      // reports come this much later than usual at most
constexpr uint32_t kSlackShare = 20;  // a twentieth of the workers is no difference
constexpr uint32_t kMaxDoublings = 5;
constexpr double kYieldFresh_s = 10;  // by then the one who was to follow would lead
constexpr double kLetGo_s = 0.6;      // to the one to whom was yielded
constexpr double kDeafer_s = 0.25;    // to one that hears far more workers

// Far more: twice as many, and by more than some stragglers.
bool far_more(uint32_t theirs, uint32_t mine, uint32_t known) {
    return theirs > 2 * mine + std::max(known, theirs) / kSlackShare;
}

double hold_after(const TransferRecord& last, const LinkTimeouts& times) {
    if (last.count == 0) return 0;
    return times.hold_s * std::pow(2.0, std::min(last.count - 1, kMaxDoublings));
}

}  // namespace

LinkTimeouts LinkTimeouts::of(const Settings& s) {
    LinkTimeouts t;
    t.heard_s = 1.2 * kUneven * s.heartbeat_interval_s + s.worker_next_s;
    t.cycle_s = kUneven * s.heartbeat_interval_s + s.worker_patience_s +
                s.worker_next_s * (1.0 + static_cast<double>(s.peers.size()));
    t.firm_s = 0.3 * s.heartbeat_interval_s;
    t.hold_s = 3 * s.heartbeat_interval_s;
    t.fresh_s = 3 * s.ping_s;
    return t;
}

std::optional<std::string> preferred_leader(const LinkStatus& mine,
                                            std::span<const PeerView> others) {
    const PeerView* best = nullptr;
    bool best_reaches = false;
    for (auto& p : others) {
        if (!p.links.adoption_recorded || !p.links.state) continue;
        bool reaches = far_more(p.links.reach, mine.reach, mine.known);
        bool hears = far_more(p.links.direct, mine.direct, mine.known) &&
                     2 * mine.direct < std::max(mine.known, p.links.direct);
        if (!reaches && !hears) continue;
        if (best) {
            auto rank = [](const PeerView& v, bool r) {
                return std::tuple(r, v.links.direct, v.links.reach);
            };
            auto a = rank(p, reaches), b = rank(*best, best_reaches);
            if (a < b || (a == b && p.name > best->name)) continue;
        }
        best = &p;
        best_reaches = reaches;
    }
    if (!best) return std::nullopt;
    return best->name;
}

uint32_t reach_through(uint32_t own, std::span<const PeerView> others) {
    for (auto& p : others)
        if (p.heard && p.links.adoption_recorded) own = std::max(own, p.links.direct);
    return own;
}

std::optional<std::string> relay_to_leader(const std::string& leader,
                                           std::span<const PeerView> others) {
    for (auto& p : others) {
        auto& h = p.links.hears;
        if (p.heard && p.name != leader && std::find(h.begin(), h.end(), leader) != h.end())
            return p.name;
    }
    return std::nullopt;
}

std::optional<std::string> relay_to_kv(std::span<const PeerView> others) {
    for (auto& p : others)
        if (p.heard && p.links.adoption_recorded && p.links.state) return p.name;
    return std::nullopt;
}

bool may_transfer(const TransferRecord& last, const LinkTimeouts& times, double clock_off_s,
                  double wall) {
    return last.count == 0 || wall - last.at > hold_after(last, times) + 2 * clock_off_s;
}

TransferRecord next_transfer(const TransferRecord& last, const LinkTimeouts& times,
                             std::string from, std::string to, double wall) {
    // As long again without one as was waited for several times over: the links have come to rest.
    bool quiet = wall - last.at > 8 * hold_after(last, times);
    return {std::move(from), std::move(to), quiet ? 1 : last.count + 1, wall};
}

double campaign_wait(const std::string& self, const LinkStatus& own,
                     std::span<const PeerView> others, const TransferRecord& last,
                     double clock_off_s, double wall) {
    bool fresh = last.count > 0 && std::abs(wall - last.at) < kYieldFresh_s + 2 * clock_off_s;
    if (fresh && last.to == self) return -1;
    double wait = fresh ? (last.from == self ? 2 * kLetGo_s : kLetGo_s) : 0;
    for (auto& p : others)
        if (p.links.adoption_recorded && p.links.state && far_more(p.links.reach, own.reach, 0))
            wait = std::max(wait, kDeafer_s);
    return wait;
}

}  // namespace weirmill
