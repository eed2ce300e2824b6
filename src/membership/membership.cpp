#include "membership/membership.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "membership/link_records.h"
#include "transport/one_shot.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {

constexpr double kTicks = 2;  // in the time between pings
constexpr double kRead_s = 0.8;
constexpr double kHint_s = 0.15;  // a campaign does not wait longer for what the last hand-over was
constexpr double kRecordPings = 4;   // lease of a record of links, in times between pings
constexpr double kMinLease_s = 0.1;  // protocol, "POST /leases"
// A record is written anew where a count moved by this share.
constexpr uint32_t kMovedShare = 10;

bool moved(uint32_t a, uint32_t b) {
    return a > b ? (a - b) * kMovedShare > a : (b - a) * kMovedShare > b;
}

bool moved(const LinkStatus& a, const LinkStatus& b) {
    return a.state != b.state || a.hears != b.hears || moved(a.direct, b.direct) ||
           moved(a.reach, b.reach);
}

}  // namespace

LinkStatus leader_links(const ClusterState& cluster, const LinkTimeouts& times, double lease_s,
                        double now) {
    LinkStatus r;
    for (auto& m : cluster.machines) {
        if (!m || m->last_heartbeat <= 0) continue;
        r.direct += m->direct_at > 0 && now - m->direct_at < times.heard_s;
        r.reach += now - m->last_heartbeat < times.heard_s;
        r.known += now - m->last_heartbeat < lease_s;
    }
    return r;
}

Membership::Membership(asio::io_context& io, const Settings& settings, const Properties& properties,
                       KvClient& state, Metrics& metrics, Hooks hooks)
    : io_(io),
      settings_(settings),
      properties_(properties),
      times_(LinkTimeouts::of(settings)),
      kv_(state),
      metrics_(metrics),
      hooks_(std::move(hooks)) {
    if (enabled()) asio::co_spawn(io_, run(), asio::detached);
}

std::vector<std::string> Membership::hears(double now) const {
    std::vector<std::string> out;
    for (auto& [name, p] : peers_)
        if (fresh(p.heard_at, now)) out.push_back(name);
    return out;
}

LinkStatus Membership::own(double now) const {
    LinkStatus r = hooks_.workers();
    r.adoption_recorded = enabled();
    r.state = reaches_kv(now);
    r.hears = hears(now);
    if (!hooks_.leads_since()) r.reach = reach_through(r.direct, views(now));
    return r;
}

std::optional<LinkStatus> Membership::view(const std::string& peer, double now) const {
    auto it = peers_.find(peer);
    if (it == peers_.end()) return std::nullopt;
    auto& p = it->second;
    if (fresh(p.heard_at, now)) return p.links;
    if (fresh(p.recorded_at, now)) return p.recorded;
    return std::nullopt;
}

std::vector<PeerView> Membership::views(double now) const {
    std::vector<PeerView> out;
    for (auto& [name, p] : peers_)
        if (auto links = view(name, now)) out.push_back({name, *links, fresh(p.heard_at, now)});
    return out;
}

Membership::Peer* Membership::peer(const std::string& name) {
    bool named = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                             [&](auto& p) { return p.name == name; });
    return named ? &peers_[name] : nullptr;
}

void Membership::heard(const std::string& name, const LinkStatus& links) {
    auto* known = peer(name);
    if (!known) return;
    auto& p = *known;
    double now = steady_now();
    if (enabled() && !fresh(p.heard_at, now)) spdlog::info("links: {} is heard", name);
    p.heard_at = now;
    p.links = links;
}

void Membership::silent(const std::string& name) {
    if (auto* p = peer(name)) ++p->lost;
}

asio::awaitable<void> Membership::read_transfers(double timeout_s) {
    auto item = co_await kv_.get(kTransferKey, timeout_s);
    try {
        if (item) last_ = parse_transfer_record(item.value.value);
        if (item.outcome == KvOutcome::Missing) last_ = {};
    } catch (const BadMessage& e) {
        spdlog::error("links: malformed record {}: {}", kTransferKey, e.what());
    }
}

asio::awaitable<void> Membership::read_records() {
    auto page = co_await kv_.list(kLinkKeys, "", 100, kRead_s);
    if (!page) co_return;
    double now = steady_now();
    for (auto& item : page.value.items) {
        auto* p = peer(item.key.substr(kLinkKeys.size()));
        if (!p) continue;
        try {
            p->recorded = parse_link_record(item.value);
            p->recorded_at = now;
        } catch (const BadMessage& e) {
            spdlog::error("links: malformed record {}: {}", item.key, e.what());
        }
    }
}

asio::awaitable<void> Membership::publish(LinkStatus links) {
    if (lease_ != 0) {
        auto renewed = co_await kv_.renew(lease_, kRead_s);
        if (renewed.outcome == KvOutcome::Missing) lease_ = 0;
        if (renewed && !moved(links, published_)) co_return;
    }
    if (lease_ == 0) {
        auto lease =
            co_await kv_.grant(std::max(kMinLease_s, kRecordPings * settings_.ping_s), kRead_s);
        if (!lease) co_return;
        lease_ = lease.value;
        // The record ended with its lease. Taken for standing, one whose writing then failed stayed
        // away.
        published_ = {};
    }
    auto txn = link_record(settings_.name, links, lease_);
    auto result = co_await kv_.txn(std::move(txn), kRead_s);
    if (result) published_ = std::move(links);
    if (result.outcome == KvOutcome::Invalid) lease_ = 0;  // it ended before
}

asio::awaitable<void> Membership::run() {
    double next = 0;
    for (;;) {
        co_await sleep_s(settings_.ping_s / kTicks);
        double now = steady_now();
        if (now - kv_.answered_at() > settings_.ping_s) co_await read_transfers(kRead_s);
        now = steady_now();
        bool apart = hears(now).size() < settings_.peers.size();
        if (apart && now >= next && reaches_kv(now)) {
            next = now + settings_.ping_s;
            co_await read_records();
            auto links = own(steady_now());
            // One that no worker needs has nothing to say that its silence does not.
            if (!hooks_.leads_since() && links.reach > 0) co_await publish(std::move(links));
        }
        co_await consider(steady_now());
    }
}

asio::awaitable<void> Membership::consider(double now) {
    auto since = hooks_.leads_since();
    if (!since || now - *since < times_.cycle_s) {
        better_.clear();
        co_return;
    }
    auto mine = own(now);
    auto others = views(now);
    auto better = preferred_leader(mine, others);
    if (!better) {
        better_.clear();
        co_return;
    }
    if (better_ != *better) {
        better_ = *better;
        better_since_ = now;
    }
    if (now - better_since_ < times_.firm_s) co_return;
    co_await read_transfers(kRead_s);
    if (!reaches_kv(steady_now())) co_return;
    double wall = wall_now();
    if (!may_transfer(last_, times_, settings_.clock_off_ms / 1000, wall)) co_return;
    if (hooks_.leads_since() != since || better_.empty()) co_return;
    auto theirs = *view(better_, now);
    spdlog::info(
        "links: hands over to {}: workers direct={} reach={} of {}, there direct={} reach={}",
        better_, mine.direct, mine.reach, mine.known, theirs.direct, theirs.reach);
    metrics_.count("hand_overs_total");
    hooks_.transfer_leadership(next_transfer(last_, times_, settings_.name, better_, wall));
    better_.clear();
}

asio::awaitable<double> Membership::campaign_wait() {
    if (!enabled()) co_return 0;
    co_await read_transfers(kHint_s);
    double now = steady_now();
    co_return weirmill::campaign_wait(settings_.name, own(now), views(now), last_,
                                      settings_.clock_off_ms / 1000, wall_now());
}

void Membership::gauges(std::map<std::string, double>& out) const {
    double now = steady_now();
    auto mine = own(now);
    out["link_state"] = mine.state;
    out["workers_direct"] = mine.direct;
    out["workers_reached"] = mine.reach;
    out["workers_known"] = mine.known;
    for (auto& [name, p] : peers_) {
        out[fmt::format("peer_heard{{peer=\"{}\"}}", name)] = fresh(p.heard_at, now);
        out[fmt::format("peer_answers_lost{{peer=\"{}\"}}", name)] = static_cast<double>(p.lost);
    }
}

}  // namespace weirmill
