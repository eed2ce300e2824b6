// RequestRouter: calls from other controllers, and the pings that exchange who leads and which
// links work.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/request_router.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr double kPingTimeout_s = 1.0;
constexpr double kWorkerCommandTimeout_s = 1.5;  // for a command that is relayed to a worker
}  // namespace

// Returns the reply to a ping: status 200 if this node leads with a valid lease, otherwise 503 with
// the name of the leader that this node knows.
PeerReply RequestRouter::ping_reply() const {
    PeerReply reply{503, leader_tracker_->name(), 1, leader_tracker_->fencing_token()};
    if (leader_ && leader_->lease_valid(steady_now()))
        reply = {200, settings_.name, 0, leader_->fencing_token()};
    if (membership_->enabled()) reply.links = membership_->own_links(steady_now());
    return reply;
}

asio::awaitable<PeerReply> RequestRouter::handle_peer_call(PeerCall call) {
    if (call.op == PeerOp::Ping) {
        if (!call.sender.empty()) membership_->record_contact(call.sender, call.links);
        co_return ping_reply();
    }
    if (call.op == PeerOp::Command) co_return co_await relay_command(std::move(call));
    if (auto leader = leader_; leader && (leader->lease_valid(steady_now()) || !call.relay))
        co_return co_await leader->request(std::move(call));
    if (call.relay) {
        // The sender can't reach the leader, and possibly not the key-value store either. A relayed
        // call is not relayed again.
        if (call.op == PeerOp::Heartbeat) co_return co_await call_leader(std::move(call));
        co_return co_await serve_user_request(std::move(call));
    }
    co_return PeerReply{503, "{}", 1, 0, true};
}

// Relays stop commands to a worker that the leader can't reach. Every stop command names the
// fencing token, the agent epoch and the attempt, so late or duplicate copies have no effect.
asio::awaitable<PeerReply> RequestRouter::relay_command(PeerCall call) {
    metrics_.increment("stops_passed_on_total");
    std::string body = call.body;
    if (co_await send_commands(&io_, call.subject, std::move(body), kWorkerCommandTimeout_s))
        co_return PeerReply{200, "{}"};
    if (!call.relay) {
        auto original_sender = call.sender;
        call.relay = true;
        for (auto& peer : membership_->peer_views(steady_now())) {
            if (!peer.reachable || peer.name == original_sender) continue;
            PeerCall relayed = call;
            auto reply = co_await call_peer(peer.name, std::move(relayed));
            if (reply.status == 200) co_return reply;
        }
    }
    co_return PeerReply{503, "{}"};
}

asio::awaitable<bool> RequestRouter::ping_peer(std::string name) {
    PeerCall ping;
    ping.sender = settings_.name;
    if (membership_->enabled()) ping.links = membership_->own_links(steady_now());
    auto reply = co_await peer_client(name)->call(std::move(ping), kPingTimeout_s);
    if (!reply) {
        if (name == leader_tracker_->name())
            leader_tracker_->record_timeout(leader_tracker_->fencing_token());
        membership_->record_timeout(name);
        co_return false;
    }
    membership_->record_contact(name, reply->links);
    if (leader_tracker_->record_report(reply->body, reply->fencing_token))
        spdlog::info("node: {} reports that {} leads with token={}", name, reply->body,
                     reply->fencing_token);
    // A leader without a valid lease counts as answering. During an outage of the key-value store
    // no other node could serve users better, and nodes that fail their health check because of it
    // return to the load balancer late.
    if (name == leader_tracker_->name() && reply->body == name) leader_tracker_->record_answer();
    co_return reply->status == 200;
}

asio::awaitable<void> RequestRouter::ping_loop() {
    for (;;) {
        co_await sleep_s(settings_.ping_interval_s);
        if (term_ && leader_tracker_->reported_fencing_token() > term_->fencing_token) {
            // Another controller leads by now, and the key-value store refuses only this node.
            // Without this check the node would stay a leader without a valid lease and refuse its
            // users for as long as the key-value store refuses it.
            spdlog::info("node: stepping down with token={}, {} leads", term_->fencing_token,
                         leader_tracker_->reported_leader());
            term_->ended = true;
            continue;
        }
        if (membership_->enabled()) {
            if (!leader_client() && !leader_) leader_tracker_->reset_silence_timer();
            for (auto& peer : settings_.peers)
                asio::co_spawn(io_, ping_peer(peer.name), asio::detached);
            continue;
        }
        if (leader_ && leader_->lease_valid(steady_now())) continue;
        // There is no leader during an election. It ends soon, and no other node could serve users
        // better.
        if (!leader_client() && !leader_) leader_tracker_->reset_silence_timer();
        // Pings the leader first, and the others only if the leader can't be reached or does not
        // confirm that it leads.
        if (!leader_ && leader_client() && co_await ping_peer(leader_tracker_->name())) continue;
        for (auto& peer : settings_.peers)
            asio::co_spawn(io_, ping_peer(peer.name), asio::detached);
    }
}

}  // namespace weirmill
