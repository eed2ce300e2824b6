#include "membership/membership.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "membership/link_records.h"
#include "transport/one_shot.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

// Rounds of membership_loop() in each interval between pings.
constexpr double kRoundsPerPing = 2;
constexpr double kRequestTimeout_s = 0.8;
// A campaign waits at most this long to read the last transfer, as the record is only a hint.
constexpr double kCampaignReadTimeout_s = 0.15;
// Duration of the lease of a link record, in ping intervals.
constexpr double kRecordLeasePingIntervals = 4;
constexpr double kMinRecordLease_s = 0.1;  // protocol, "POST /leases"
constexpr int kMaxLinkRecords = 100;
constexpr double kDelayLogInterval_s = 10;  // between log lines about a transfer that must wait
// A link record is updated when a count has changed by more than a tenth.
constexpr uint32_t kChangeDivisor = 10;

bool differs(uint32_t a, uint32_t b) {
    return a > b ? (a - b) * kChangeDivisor > a : (b - a) * kChangeDivisor > b;
}

bool differs(const LinkStatus& a, const LinkStatus& b) {
    return a.reaches_kv != b.reaches_kv || a.reachable_peers != b.reachable_peers ||
           a.leader_token != b.leader_token || differs(a.direct_workers, b.direct_workers) ||
           differs(a.reachable_workers, b.reachable_workers);
}

}  // namespace

LinkStatus leader_links(const ClusterState& cluster, const LinkTimeouts& times, double lease_s,
                        double now) {
    LinkStatus links;
    for (auto& m : cluster.machines) {
        if (!m || m->last_heartbeat <= 0) continue;
        bool served = !m->downlink.leaves_after_answers();
        bool direct = served && m->last_direct_heartbeat > 0 &&
                      now - m->last_direct_heartbeat < times.direct_heartbeat_s;
        bool reached = served && now - m->last_heartbeat < times.direct_heartbeat_s;
        bool known = now - m->last_heartbeat < lease_s;
        links.direct_workers += direct;
        links.reachable_workers += reached;
        links.known_workers += known;
    }
    return links;
}

LeasesAtStake leases_at_stake(const ClusterState& cluster, const LinkTimeouts& times,
                              double lease_s, double now) {
    LeasesAtStake leases;
    double first_expiry_s = lease_s;
    for (auto& machine : cluster.machines) {
        if (!machine || machine->last_heartbeat <= 0) continue;
        double silent_s = now - machine->last_heartbeat;
        if (silent_s >= lease_s) continue;
        ++leases.known_workers;
        bool served = !machine->downlink.leaves_after_answers();
        if (served && silent_s < times.direct_heartbeat_s) continue;
        ++leases.unreached_workers;
        double renewed_at = served ? machine->last_heartbeat : machine->downlink.served_at;
        first_expiry_s = std::min(first_expiry_s, std::max(0.0, renewed_at + lease_s - now));
    }
    // Workers that this leader has not heard may hold leases of an earlier term.
    leases.first_expiry_s = leases.known_workers > 0 ? first_expiry_s : 0;
    return leases;
}

Membership::Membership(asio::io_context& io, const Settings& settings, const Properties& properties,
                       KvClient& kv, Metrics& metrics, Hooks hooks)
    : io_(io),
      settings_(settings),
      properties_(properties),
      kv_(kv),
      metrics_(metrics),
      hooks_(std::move(hooks)) {
    if (enabled()) asio::co_spawn(io_, membership_loop(), asio::detached);
}

std::vector<std::string> Membership::reachable_peers(double now) const {
    std::vector<std::string> out;
    for (auto& [name, peer] : peers_)
        if (is_recent(peer.contact_at, now)) out.push_back(name);
    return out;
}

LinkStatus Membership::own_links(double now) const {
    LinkStatus links = hooks_.worker_counts();
    links.reports_links = enabled();
    links.reaches_kv = reaches_kv(now);
    links.reachable_peers = reachable_peers(now);
    if (!hooks_.leading_term())
        links.reachable_workers = workers_through_peers(links.direct_workers, peer_views(now));
    return links;
}

std::optional<LinkStatus> Membership::peer_links(const std::string& peer, double now) const {
    auto it = peers_.find(peer);
    if (it == peers_.end()) return std::nullopt;
    if (is_recent(it->second.contact_at, now)) return it->second.reported;
    if (is_recent(it->second.recorded_at, now)) return it->second.recorded;
    return std::nullopt;
}

std::vector<PeerView> Membership::peer_views(double now) const {
    std::vector<PeerView> out;
    for (auto& [name, peer] : peers_)
        if (auto links = peer_links(name, now))
            out.push_back({name, *links, is_recent(peer.contact_at, now)});
    return out;
}

Membership::Peer* Membership::configured_peer(const std::string& name) {
    bool named = std::ranges::any_of(settings_.peers, [&](auto& p) { return p.name == name; });
    return named ? &peers_[name] : nullptr;
}

void Membership::record_contact(const std::string& name, const LinkStatus& links) {
    auto* peer = configured_peer(name);
    if (!peer) return;
    double now = steady_now();
    if (enabled() && !is_recent(peer->contact_at, now))
        spdlog::info("links: peer {} is reachable", name);
    peer->contact_at = now;
    peer->reported = links;
}

void Membership::record_timeout(const std::string& name) {
    if (auto* peer = configured_peer(name)) ++peer->timeouts;
}

asio::awaitable<void> Membership::read_transfer_record(double timeout_s) {
    auto item = co_await kv_.get(kTransferKey, timeout_s);
    try {
        if (item)
            last_transfer_ =
                later_transfer(parse_transfer_record(item.value.value), requested_transfer_);
        if (item.outcome == KvOutcome::Missing)
            last_transfer_ = later_transfer({}, requested_transfer_);
    } catch (const BadMessage& e) {
        spdlog::error("links: malformed record {}: {}", kTransferKey, e.what());
    }
}

asio::awaitable<void> Membership::read_link_records() {
    auto page = co_await kv_.list(kLinkRecordPrefix, "", kMaxLinkRecords, kRequestTimeout_s);
    if (!page) co_return;
    double now = steady_now();
    for (auto& item : page.value.items) {
        auto* peer = configured_peer(item.key.substr(kLinkRecordPrefix.size()));
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
    auto renewed = co_await kv_.renew_lease(record_lease_, kRequestTimeout_s);
    if (renewed.outcome == KvOutcome::Missing) record_lease_ = 0;
    co_return static_cast<bool>(renewed);
}

asio::awaitable<void> Membership::publish_links(LinkStatus links) {
    if (record_lease_ != 0) {
        bool renewed = co_await renew_record_lease();
        if (renewed && !differs(links, published_)) co_return;
    }
    if (record_lease_ == 0) {
        double lease_s =
            std::max(kMinRecordLease_s, kRecordLeasePingIntervals * settings_.ping_interval_s);
        auto granted = co_await kv_.grant_lease(lease_s, kRequestTimeout_s);
        if (!granted) co_return;
        record_lease_ = granted.value;
        // The previous record was deleted with its lease. If it were assumed to exist still, the
        // record would not be written again after a failed write.
        published_ = {};
    }
    auto txn = link_record_transaction(settings_.name, links, record_lease_);
    auto result = co_await kv_.txn(txn, kRequestTimeout_s);
    if (result) published_ = std::move(links);
    if (result.outcome == KvOutcome::Invalid) record_lease_ = 0;  // the lease had expired
}

asio::awaitable<void> Membership::membership_loop() {
    double next_publish = 0;
    for (;;) {
        co_await sleep_s(settings_.ping_interval_s / kRoundsPerPing);
        double now = steady_now();
        // This read also shows whether the key-value store answers this controller.
        if (now - kv_.answered_at() > settings_.ping_interval_s)
            co_await read_transfer_record(kRequestTimeout_s);
        now = steady_now();
        bool peer_missing = reachable_peers(now).size() < settings_.peers.size();
        if (peer_missing && now >= next_publish && reaches_kv(now)) {
            next_publish = now + settings_.ping_interval_s;
            co_await read_link_records();
            auto links = own_links(steady_now());
            // A controller that reaches no workers stores no record: a missing record has the same
            // meaning.
            if (!hooks_.leading_term() && links.reachable_workers > 0)
                co_await publish_links(std::move(links));
        }
        co_await consider_transfer(steady_now());
    }
}

bool Membership::candidate_is_stable(double now) {
    auto term = hooks_.leading_term();
    std::optional<std::string> preferred;
    // A term that is to end with a transfer continues until the leader's open work is complete. A
    // new leader's own counts are too low until each worker has had time to report to it.
    if (term && term->fencing_token != transferred_term_ &&
        term->led_s >= times().controller_cycle_s)
        preferred = preferred_leader(own_links(now),
                                     peers_counting_for_term(peer_views(now), *term, times()));
    if (!preferred) {
        candidate_.clear();
        return false;
    }
    if (candidate_ != *preferred) {
        candidate_ = *preferred;
        candidate_since_ = now;
    }
    return now - candidate_since_ >= times().min_preference_s;
}

double Membership::hold_back_transfer(double wall_time) {
    const auto limits = TransferLimits{times().transfer_pause_s, times().controller_cycle_s,
                                       times().failover_s, settings_.clock_off_ms / 1000};
    const auto leases = hooks_.leases_at_stake();
    const double delay_s = transfer_delay(last_transfer_, limits, leases, wall_time);
    double now = steady_now();
    if (delay_s > 0 && now >= next_delay_log_at_) {
        next_delay_log_at_ = now + kDelayLogInterval_s;
        spdlog::info(
            "links: transfer to {} is held back for {:.1f}s, {} transfers in short succession: "
            "{} of {} workers not reached, the first lease expires in {:.1f}s",
            candidate_, delay_s, last_transfer_.count, leases.unreached_workers,
            leases.known_workers, leases.first_expiry_s);
    }
    return delay_s;
}

asio::awaitable<void> Membership::consider_transfer(double now) {
    auto term = hooks_.leading_term();
    if (!term || !candidate_is_stable(now)) co_return;
    auto own = own_links(now);
    co_await read_transfer_record(kRequestTimeout_s);
    if (!reaches_kv(steady_now())) co_return;
    double wall_time = wall_now();
    if (hold_back_transfer(wall_time) > 0) co_return;
    auto current = hooks_.leading_term();
    if (!current || current->fencing_token != term->fencing_token || candidate_.empty()) co_return;
    auto theirs = peer_links(candidate_, now);
    if (!theirs) co_return;
    spdlog::info(
        "links: transferring leadership to {}: own workers direct={} reachable={} known={}, "
        "peer workers direct={} reachable={}",
        candidate_, own.direct_workers, own.reachable_workers, own.known_workers,
        theirs->direct_workers, theirs->reachable_workers);
    metrics_.increment("hand_overs_total");
    requested_transfer_ = next_transfer(last_transfer_, times().transfer_pause_s, settings_.name,
                                        candidate_, wall_time);
    last_transfer_ = requested_transfer_;
    transferred_term_ = term->fencing_token;
    candidate_.clear();
    hooks_.transfer_leadership(requested_transfer_);
}

asio::awaitable<double> Membership::campaign_wait() {
    if (!enabled()) co_return 0;
    co_await read_transfer_record(kCampaignReadTimeout_s);
    double now = steady_now();
    auto own = own_links(now);
    double wall_time = wall_now();
    double wait_s = weirmill::campaign_wait(settings_.name, own, peer_views(now), last_transfer_,
                                            settings_.clock_off_ms / 1000, wall_time);
    bool as_successor = wait_s < 0;
    metrics_.increment("campaigns_total");
    if (as_successor) metrics_.increment("campaigns_as_successor_total");
    spdlog::info(
        "links: {} campaigns {} after {:.2f}s: own workers direct={} reachable={}, last transfer "
        "from={} to={} {:.1f}s ago",
        settings_.name, as_successor ? "as successor" : "in an open election",
        std::max(0.0, wait_s), own.direct_workers, own.reachable_workers, last_transfer_.from,
        last_transfer_.to, last_transfer_.count > 0 ? wall_time - last_transfer_.time_wall : 0);
    co_return wait_s;
}

void Membership::add_gauges(std::map<std::string, double>& out) const {
    double now = steady_now();
    auto own = own_links(now);
    out["link_state"] = own.reaches_kv;
    out["workers_direct"] = own.direct_workers;
    out["workers_reached"] = own.reachable_workers;
    out["workers_known"] = own.known_workers;
    if (hooks_.leading_term()) {
        auto leases = hooks_.leases_at_stake();
        out["workers_unreached"] = leases.unreached_workers;
        if (leases.unreached_workers > 0) out["first_lease_expiry_seconds"] = leases.first_expiry_s;
    }
    for (auto& [name, peer] : peers_) {
        out[fmt::format("peer_heard{{peer=\"{}\"}}", name)] = is_recent(peer.contact_at, now);
        out[fmt::format("peer_answers_lost{{peer=\"{}\"}}", name)] =
            static_cast<double>(peer.timeouts);
    }
}

}  // namespace weirmill
