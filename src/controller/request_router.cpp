#include "controller/request_router.h"

#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "config/capacity.h"

namespace weirmill {

namespace asio = boost::asio;

// RequestRouter passes named variables as arguments of awaited calls, because GCC 12 destroys an
// aggregate that is initialized inside a co_await expression twice.

RequestRouter::RequestRouter(asio::io_context& io, const Settings& settings,
                             const Properties& properties)
    : io_(io), settings_(settings), properties_(properties), kv_(io, settings), roster_(settings) {
    Election::Events events;
    events.on_elected = [this](const std::shared_ptr<LeadershipTerm>& term) {
        term_ = term;
        leader_ = std::make_shared<Leader>(io_, settings_, properties_, kv_, metrics_, term);
        leader_->set_relay([this](std::string name, PeerCall call) {
            return forward_to_peer(std::move(name), std::move(call));
        });
        leader_->start();
    };
    events.on_term_ended = [this] {
        if (leader_) leader_->stop();
        leader_.reset();
        term_.reset();
        leader_tracker_->reset_silence_timer();
    };
    events.campaign_wait = [this] { return membership_->campaign_wait(); };
    events.on_transfer_sent = [this](bool confirmed) {
        metrics_.increment(confirmed ? "hand_overs_confirmed_total"
                                     : "hand_overs_unconfirmed_total");
    };
    set_up_membership();
    election_ = std::make_unique<Election>(io, settings_, properties_, kv_, std::move(events));
    leader_tracker_ = std::make_unique<LeaderTracker>(*election_);
    standby_ = std::make_unique<StandbyService>(io, settings_, properties_, kv_, metrics_,
                                                [this] { return leader_ && leader_->ready(); });
    peer_server_ = std::make_unique<PeerServer>(
        io, settings.peer, [this](PeerCall call) { return handle_peer_call(std::move(call)); },
        max_peer_queue_bytes(settings));
    http_ = std::make_unique<HttpServer>(
        io, settings.api, max_connections(settings),
        [this](HttpRequest request) { return handle(std::move(request)); });
    asio::co_spawn(io, ping_loop(), asio::detached);
    spdlog::info("node: {} in {} serving {} peers={}", settings.name, settings.zone,
                 settings.api.text(), settings.peers.size());
}

void RequestRouter::set_up_membership() {
    Membership::Hooks hooks;
    hooks.worker_counts = [this] {
        double now = steady_now();
        LinkStatus links;
        if (leader_ && leader_->ready()) {
            links = leader_links(leader_->cluster(), membership_->times(), settings_.lease_s, now);
            links.leader_token = leader_->fencing_token();
            return links;
        }
        links.leader_token = leader_tracker_->fencing_token();
        links.direct_workers = roster_.workers_without_leader(
            links.leader_token, membership_->times().controller_cycle_s, now);
        return links;
    };
    hooks.leading_term = [this]() -> std::optional<LeadingTerm> {
        double now = steady_now();
        if (!leader_ || !leader_->ready() || !leader_->lease_valid(now)) return std::nullopt;
        return LeadingTerm{term_->fencing_token, now - term_->won_at};
    };
    hooks.leases_at_stake = [this] {
        if (!leader_) return LeasesAtStake{};
        return leases_at_stake(leader_->cluster(), membership_->times(), settings_.lease_s,
                               steady_now());
    };
    hooks.transfer_leadership = [this](const TransferRecord& to) {
        leader_->transfer_leadership([this, to, term = std::weak_ptr(term_)] {
            if (auto held = term.lock(); held && held == term_) election_->step_down(to);
        });
    };
    membership_ =
        std::make_unique<Membership>(io_, settings_, properties_, kv_, metrics_, std::move(hooks));
}

}  // namespace weirmill
