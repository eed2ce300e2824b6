// RequestRouter: calls to other controllers, and the forwarding of user requests to the leader.
#include <boost/asio.hpp>

#include "config/capacity.h"
#include "controller/request_router.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr double kForwardTimeout_s = 2.2;
// The standby service takes over a request that the leader has not answered within this time, even
// if the leader answers pings.
constexpr double kMaxLeaderWait_s = 0.7;
constexpr double kMaxSubmitWait_s = 1.0;  // the same for a submission
constexpr double kProbeDelay_s = 0.05;    // a leader that has not answered by then is pinged
}  // namespace

PeerClient* RequestRouter::peer_client(const std::string& name) {
    if (auto it = peer_clients_.find(name); it != peer_clients_.end()) return it->second.get();
    for (auto& peer : settings_.peers)
        if (peer.name == name) {
            auto& client = peer_clients_[name];
            client = std::make_unique<PeerClient>(io_, peer.addr, max_peer_queue_bytes(settings_));
            return client.get();
        }
    return nullptr;
}

PeerClient* RequestRouter::leader_client() { return peer_client(leader_tracker_->name()); }

std::optional<std::string> RequestRouter::find_relay(const PeerCall& call) const {
    if (!membership_->enabled() || call.relay) return std::nullopt;
    auto views = membership_->peer_views(steady_now());
    if (auto relay = relay_to_leader(leader_tracker_->name(), views)) return relay;
    return membership_->reaches_kv(steady_now()) ? std::nullopt : relay_to_kv(views);
}

asio::awaitable<PeerReply> RequestRouter::call_peer(std::string name, PeerCall call) {
    auto* client = peer_client(name);
    if (!client) co_return PeerReply{503, "{}", 1, 0, true};
    call.sender = settings_.name;
    auto reply = co_await client->call(std::move(call), kForwardTimeout_s);
    if (!reply) {
        membership_->record_timeout(name);
        co_return PeerReply{503, R"({"error":"no way to the leader"})", 1, 0, true};
    }
    co_return *reply;
}

asio::awaitable<bool> RequestRouter::forward_to_peer(std::string name, PeerCall call) {
    auto reply = co_await call_peer(std::move(name), std::move(call));
    co_return reply.status == 200;
}

asio::awaitable<PeerReply> RequestRouter::call_leader(PeerCall call) {
    if (auto leader = leader_) co_return co_await leader->request(std::move(call));
    auto* client = leader_client();
    if (!client || leader_tracker_->has_timed_out()) {
        if (auto relay = find_relay(call)) {
            metrics_.increment("second_hops_total");
            call.relay = true;
            auto reply = co_await call_peer(*relay, std::move(call));
            if (!reply.leadership_unconfirmed) leader_tracker_->reset_silence_timer();
            co_return reply;
        }
        // The ping loop keeps probing a silent leader; until it answers, no request waits for it.
        if (membership_->enabled()) client = nullptr;
    }
    if (!client) co_return PeerReply{503, R"({"error":"no leader"})", 1, 0, true};
    call.sender = settings_.name;
    double sent_at = steady_now();
    auto fencing_token = leader_tracker_->fencing_token();
    bool is_submission = call.op == PeerOp::Submit;
    auto reply = co_await client->call(std::move(call), kForwardTimeout_s);
    if (!reply) {
        leader_tracker_->record_timeout(fencing_token);
        co_return PeerReply{503, R"({"error":"the leader does not answer"})", 1, 0, true};
    }
    leader_tracker_->record_answer();
    if (is_submission && reply->status < 300)
        forward_timeout_.record_response_time(leader_tracker_->answered_at() - sent_at);
    co_return *reply;
}

asio::awaitable<void> RequestRouter::forward_to_leader(PeerCall call, OneShot<PeerReply> result) {
    auto reply = co_await call_leader(std::move(call));
    result.set(std::move(reply));
}

// Waits for the leader's reply for as long as the leader answers other calls or pings, and for at
// most `max_wait_s` seconds. Returns nothing if no reply came in time. A fixed timeout alone would
// make standby services take over while the leader processes a burst of submissions, and their
// writes would add to its load.
asio::awaitable<std::optional<PeerReply>> RequestRouter::await_leader_reply(
    OneShot<PeerReply> forwarded, double started, double max_wait_s) {
    bool probed = false;
    for (;;) {
        double silence_deadline =
            std::max(started, leader_tracker_->answered_at()) + forward_timeout_.timeout_s();
        double until = std::min(silence_deadline, started + max_wait_s);
        if (!probed) until = std::min(until, started + kProbeDelay_s);
        double now = steady_now();
        if (now >= until && probed) co_return std::nullopt;
        if (now < until) {
            auto reply = co_await forwarded.wait(until - now);
            if (reply) co_return reply;
        }
        if (!probed) {
            probed = true;
            if (leader_client())
                asio::co_spawn(io_, ping_peer(leader_tracker_->name()), asio::detached);
        }
    }
}

asio::awaitable<PeerReply> RequestRouter::serve_user_request(PeerCall call) {
    if (!standby_->available()) co_return co_await call_leader(std::move(call));
    PeerCall standby_call = call;
    if (auto leader = leader_) {
        auto reply = co_await leader->request(std::move(call));
        if (!reply.leadership_unconfirmed) co_return reply;
        co_return co_await standby_->serve(std::move(standby_call));
    }
    if (!leader_client() || leader_tracker_->has_timed_out())
        co_return co_await standby_->serve(std::move(standby_call));
    // The leader may still process the request while the standby service serves it. They cannot
    // accept the same job twice, because the conditions of their transactions exclude each other.
    bool is_submission = call.op == PeerOp::Submit;
    double started = steady_now();
    OneShot<PeerReply> forwarded(io_.get_executor());
    asio::co_spawn(io_, forward_to_leader(std::move(call), forwarded), asio::detached);
    auto reply = co_await await_leader_reply(forwarded, started,
                                             is_submission ? kMaxSubmitWait_s : kMaxLeaderWait_s);
    if (reply && !reply->leadership_unconfirmed) co_return *reply;
    auto standby_reply = co_await standby_->serve(std::move(standby_call));
    if (reply || standby_reply.status != 503) co_return standby_reply;
    auto late_reply =
        co_await forwarded.wait(std::max(0.01, started + kForwardTimeout_s - steady_now()));
    co_return late_reply ? *late_reply : standby_reply;
}

}  // namespace weirmill
