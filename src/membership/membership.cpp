#include "membership/membership.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "membership/link_records.h"
#include "transport/one_shot.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr double kTicksPerPing = 2;
constexpr double kRead_s = 0.8;
// A campaign does not wait longer to read what the last transfer was: it is a hint.
constexpr double kHint_s = 0.15;
constexpr double kRecordLeasePings = 4;    // lease of a link record, in intervals between pings
constexpr double kMinRecordLease_s = 0.1;  // protocol, "POST /leases"
constexpr int kMaxLinkRecords = 100;
// A link record is written anew where a count changed by more than a tenth.
constexpr uint32_t kChangedShare = 10;

bool differs(uint32_t a, uint32_t b) {
    return a > b ? (a - b) * kChangedShare > a : (b - a) * kChangedShare > b;
}

bool differs(const LinkStatus& a, const LinkStatus& b) {
    return a.reaches_kv != b.reaches_kv || a.reachable_peers != b.reachable_peers ||
           differs(a.direct_workers, b.direct_workers) ||
           differs(a.reachable_workers, b.reachable_workers);
}

}  // namespace

LinkStatus leader_links(const ClusterState& cluster, const LinkTimeouts& times, double lease_s,
                        double now) {
    LinkStatus links;
    for (auto& m : cluster.machines) {
        if (!m || m->last_heartbeat <= 0) continue;
        bool direct = m->direct_at > 0 && now - m->direct_at < times.direct_heartbeat_s;
        bool reached = now - m->last_heartbeat < times.direct_heartbeat_s;
        bool known = now - m->last_heartbeat < lease_s;
        links.direct_workers += direct;
        links.reachable_workers += reached;
        links.known_workers += known;
    }
    return links;
}

Membership::Membership(asio::io_context& io, const Settings& settings, const Properties& properties,
                       KvClient& kv, Metrics& metrics, Hooks hooks)
    : io_(io),
      settings_(settings),
      properties_(properties),
      times_(LinkTimeouts::of(settings)),
      kv_(kv),
      metrics_(metrics),
      hooks_(std::move(hooks)) {
    if (enabled()) asio::co_spawn(io_, membership_loop(), asio::detached);
}

std::vector<std::string> Membership::reachable_peers(double now) const {
    std::vector<std::string> out;
    for (auto& [name, peer] : peers_)
        if (is_fresh(peer.contact_at, now)) out.push_back(name);
    return out;
}

LinkStatus Membership::own_links(double now) const {
    LinkStatus links = hooks_.workers();
    links.reports_links = enabled();
    links.reaches_kv = reaches_kv(now);
    links.reachable_peers = reachable_peers(now);
    if (!hooks_.leads_since())
        links.reachable_workers = workers_through_peers(links.direct_workers, peer_views(now));
    return links;
}

std::optional<LinkStatus> Membership::peer_links(const std::string& peer, double now) const {
    auto it = peers_.find(peer);
    if (it == peers_.end()) return std::nullopt;
    if (is_fresh(it->second.contact_at, now)) return it->second.reported;
    if (is_fresh(it->second.recorded_at, now)) return it->second.recorded;
    return std::nullopt;
}

std::vector<PeerView> Membership::peer_views(double now) const {
    std::vector<PeerView> out;
    for (auto& [name, peer] : peers_)
        if (auto links = peer_links(name, now))
            out.push_back({name, *links, is_fresh(peer.contact_at, now)});
    return out;
}

Membership::Peer* Membership::find_peer(const std::string& name) {
    bool named = std::ranges::any_of(settings_.peers, [&](auto& p) { return p.name == name; });
    return named ? &peers_[name] : nullptr;
}

void Membership::record_contact(const std::string& name, const LinkStatus& links) {
    auto* peer = find_peer(name);
    if (!peer) return;
    double now = steady_now();
    if (enabled() && !is_fresh(peer->contact_at, now)) spdlog::info("links: {} is heard", name);
    peer->contact_at = now;
    peer->reported = links;
}

void Membership::record_timeout(const std::string& name) {
    if (auto* peer = find_peer(name)) ++peer->timeouts;
}

asio::awaitable<void> Membership::read_transfer_record(double timeout_s) {
    auto item = co_await kv_.get(kTransferKey, timeout_s);
    try {
        if (item) last_transfer_ = parse_transfer_record(item.value.value);
        if (item.outcome == KvOutcome::Missing) last_transfer_ = {};
    } catch (const BadMessage& e) {
        spdlog::error("links: malformed record {}: {}", kTransferKey, e.what());
    }
}

asio::awaitable<void> Membership::read_link_records() {
    auto page = co_await kv_.list(kLinkKeys, "", kMaxLinkRecords, kRead_s);
    if (!page) co_return;
    double now = steady_now();
    for (auto& item : page.value.items) {
        auto* peer = find_peer(item.key.substr(kLinkKeys.size()));
        if (!peer) continue;
        try {
            peer->recorded = parse_link_record(item.value);
            peer->recorded_at = now;
        } catch (const BadMessage& e) {
            spdlog::error("links: malformed record {}: {}", item.key, e.what());
        }
    }
}

asio::awaitable<bool> Membership::renew_record_lease() {
    auto renewed = co_await kv_.renew(record_lease_, kRead_s);
    if (renewed.outcome == KvOutcome::Missing) record_lease_ = 0;
    co_return static_cast<bool>(renewed);
}

asio::awaitable<void> Membership::publish_links(LinkStatus links) {
    if (record_lease_ != 0) {
        bool renewed = co_await renew_record_lease();
        if (renewed && !differs(links, published_)) co_return;
    }
    if (record_lease_ == 0) {
        double lease_s = std::max(kMinRecordLease_s, kRecordLeasePings * settings_.ping_interval_s);
        auto granted = co_await kv_.grant(lease_s, kRead_s);
        if (!granted) co_return;
        record_lease_ = granted.value;
        // The record ended with its lease. If it were taken for still there, one whose next write
        // fails would stay away.
        published_ = {};
    }
    auto txn = link_record(settings_.name, links, record_lease_);
    auto result = co_await kv_.txn(txn, kRead_s);
    if (result) published_ = std::move(links);
    if (result.outcome == KvOutcome::Invalid) record_lease_ = 0;  // it ran out before
}

asio::awaitable<void> Membership::membership_loop() {
    double next_publish = 0;
    for (;;) {
        co_await sleep_s(settings_.ping_interval_s / kTicksPerPing);
        double now = steady_now();
        // Also a probe: whether the state service answers this controller.
        if (now - kv_.answered_at() > settings_.ping_interval_s)
            co_await read_transfer_record(kRead_s);
        now = steady_now();
        bool peer_missing = reachable_peers(now).size() < settings_.peers.size();
        if (peer_missing && now >= next_publish && reaches_kv(now)) {
            next_publish = now + settings_.ping_interval_s;
            co_await read_link_records();
            auto links = own_links(steady_now());
            // One that no worker needs has nothing to report that its silence does not say.
            if (!hooks_.leads_since() && links.reachable_workers > 0)
                co_await publish_links(std::move(links));
        }
        co_await consider_transfer(steady_now());
    }
}

bool Membership::candidate_is_stable(double now) {
    auto since = hooks_.leads_since();
    std::optional<std::string> preferred;
    // Before each worker has had time to come, the leader's own counts are too low.
    if (since && now - *since >= times_.controller_cycle_s)
        preferred = preferred_leader(own_links(now), peer_views(now));
    if (!preferred) {
        candidate_.clear();
        return false;
    }
    if (candidate_ != *preferred) {
        candidate_ = *preferred;
        candidate_since_ = now;
    }
    return now - candidate_since_ >= times_.preference_s;
}

asio::awaitable<void> Membership::consider_transfer(double now) {
    auto since = hooks_.leads_since();
    if (!candidate_is_stable(now)) co_return;
    auto own = own_links(now);
    co_await read_transfer_record(kRead_s);
    if (!reaches_kv(steady_now())) co_return;
    double wall = wall_now();
    if (!may_transfer(last_transfer_, times_.transfer_pause_s, settings_.clock_off_ms / 1000, wall))
        co_return;
    if (hooks_.leads_since() != since || candidate_.empty()) co_return;
    auto theirs = peer_links(candidate_, now);
    if (!theirs) co_return;
    spdlog::info(
        "links: hands over to {}: workers direct={} reach={} of {}, there direct={} reach={}",
        candidate_, own.direct_workers, own.reachable_workers, own.known_workers,
        theirs->direct_workers, theirs->reachable_workers);
    metrics_.increment("hand_overs_total");
    hooks_.transfer_leadership(
        next_transfer(last_transfer_, times_.transfer_pause_s, settings_.name, candidate_, wall));
    candidate_.clear();
}

asio::awaitable<double> Membership::campaign_wait() {
    if (!enabled()) co_return 0;
    co_await read_transfer_record(kHint_s);
    double now = steady_now();
    co_return weirmill::campaign_wait(settings_.name, own_links(now), peer_views(now),
                                      last_transfer_, settings_.clock_off_ms / 1000, wall_now());
}

void Membership::gauges(std::map<std::string, double>& out) const {
    double now = steady_now();
    auto own = own_links(now);
    out["link_state"] = own.reaches_kv;
    out["workers_direct"] = own.direct_workers;
    out["workers_reached"] = own.reachable_workers;
    out["workers_known"] = own.known_workers;
    for (auto& [name, peer] : peers_) {
        out[fmt::format("peer_heard{{peer=\"{}\"}}", name)] = is_fresh(peer.contact_at, now);
        out[fmt::format("peer_answers_lost{{peer=\"{}\"}}", name)] =
            static_cast<double>(peer.timeouts);
    }
}

}  // namespace weirmill
