// Calls from other controllers, and pings: who leads, and which links stand.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/request_router.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr double kPing_s = 1.0;
constexpr double kWorkerCommand_s = 1.5;  // for commands that are passed on to a worker
}  // namespace

// The answer to a ping: 200 from the leader itself, else whom this node takes for it.
PeerReply RequestRouter::ping_reply() const {
    PeerReply reply{503, leader_knowledge_->name(), 1, leader_knowledge_->fencing_token()};
    if (leader_ && leader_->lease_valid(steady_now()))
        reply = {200, settings_.name, 0, leader_->fencing_token()};
    if (membership_->enabled()) reply.links = membership_->own_links(steady_now());
    return reply;
}

asio::awaitable<PeerReply> RequestRouter::from_peer(PeerCall call) {
    if (call.op == PeerOp::Ping) {
        if (!call.sender.empty()) membership_->record_contact(call.sender, call.links);
        co_return ping_reply();
    }
    if (call.op == PeerOp::Command) co_return co_await pass_command(std::move(call));
    if (auto leader = leader_; leader && (leader->lease_valid(steady_now()) || !call.relay))
        co_return co_await leader->ask(std::move(call));
    if (call.relay) {
        // The sender can't reach the leader, and may not reach the state service: this is the last
        // hop, nobody relays it again.
        if (call.op == PeerOp::Heartbeat) co_return co_await call_leader(std::move(call));
        co_return co_await serve(std::move(call));
    }
    co_return PeerReply{503, "{}", 1, 0, true};
}

// Stop commands for a worker that the leader can't reach. Like any that it sends itself they name
// the fencing token, agent epoch and attempt, so a late or second copy does no harm.
asio::awaitable<PeerReply> RequestRouter::pass_command(PeerCall call) {
    metrics_.increment("stops_passed_on_total");
    std::string body = call.body;
    if (co_await send_commands(&io_, call.subject, std::move(body), kWorkerCommand_s))
        co_return PeerReply{200, "{}"};
    if (!call.relay) {
        auto from = call.sender;
        call.relay = true;
        for (auto& p : membership_->peer_views(steady_now())) {
            if (!p.reachable || p.name == from) continue;
            PeerCall again = call;
            auto reply = co_await call_peer(p.name, std::move(again));
            if (reply.status == 200) co_return reply;
        }
    }
    co_return PeerReply{503, "{}"};
}

asio::awaitable<bool> RequestRouter::ping_peer(std::string name) {
    PeerCall ping;
    ping.sender = settings_.name;
    if (membership_->enabled()) ping.links = membership_->own_links(steady_now());
    auto reply = co_await peer_client(name)->call(std::move(ping), kPing_s);
    if (!reply) {
        if (name == leader_knowledge_->name())
            leader_knowledge_->record_timeout(leader_knowledge_->fencing_token());
        membership_->record_timeout(name);
        co_return false;
    }
    membership_->record_contact(name, reply->links);
    if (leader_knowledge_->record_report(reply->body, reply->fencing_token))
        spdlog::info("node: {} says that {} leads with token={}", name, reply->body,
                     reply->fencing_token);
    // A leader without a valid lease counts as one that answers: in an outage of the state service
    // no other node would serve better, and nodes that leave the load balancer for it come back
    // late.
    if (name == leader_knowledge_->name() && reply->body == name)
        leader_knowledge_->record_answer();
    co_return reply->status == 200;
}

asio::awaitable<void> RequestRouter::ping_loop() {
    for (;;) {
        co_await sleep_s(settings_.ping_interval_s);
        if (term_ && leader_knowledge_->reported_fencing_token() > term_->fencing_token) {
            // The state service refuses this node alone, and another leads by now. Without this,
            // the node would go on as a leader without a valid lease, and refuse its users for as
            // long as that lasts.
            spdlog::info("node: gives up token={}: {} leads", term_->fencing_token,
                         leader_knowledge_->reported_leader());
            term_->ended = true;
            continue;
        }
        if (membership_->enabled()) {
            if (!leader_client() && !leader_) leader_knowledge_->excuse_silence();
            for (auto& p : settings_.peers) asio::co_spawn(io_, ping_peer(p.name), asio::detached);
            continue;
        }
        if (leader_ && leader_->lease_valid(steady_now())) continue;
        // An election: soon over, and no other node would serve better.
        if (!leader_client() && !leader_) leader_knowledge_->excuse_silence();
        // The leader first; the others only where it can't be asked or does not say that it leads.
        if (!leader_ && leader_client() && co_await ping_peer(leader_knowledge_->name())) continue;
        for (auto& p : settings_.peers) asio::co_spawn(io_, ping_peer(p.name), asio::detached);
    }
}

}  // namespace weirmill
