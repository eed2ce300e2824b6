// Calls to other controllers, and users' requests on their way to the leader.
#include <boost/asio.hpp>

#include "config/capacity.h"
#include "controller/request_router.h"

namespace weirmill {

namespace asio = boost::asio;

namespace {
constexpr double kForward_s = 2.2;  // for a call that is forwarded
// A leader that has not answered a request by then is not waited for.
constexpr double kMaxLeaderWait_s = 0.7;
// Nor is one for a submission, although it answers pings.
constexpr double kMaxSubmitWait_s = 1.0;
constexpr double kProbe_s = 0.05;  // a leader that has not answered by then is pinged
}  // namespace

PeerClient* RequestRouter::peer_client(const std::string& name) {
    if (auto it = peer_clients_.find(name); it != peer_clients_.end()) return it->second.get();
    for (auto& p : settings_.peers)
        if (p.name == name) {
            auto& link = peer_clients_[name];
            link = std::make_unique<PeerClient>(io_, p.addr, max_peer_queue_bytes(settings_));
            return link.get();
        }
    return nullptr;
}

PeerClient* RequestRouter::leader_client() { return peer_client(leader_knowledge_->name()); }

std::optional<std::string> RequestRouter::relay_for(const PeerCall& call) const {
    if (!membership_->enabled() || call.relay) return std::nullopt;
    auto views = membership_->peer_views(steady_now());
    if (auto way = relay_to_leader(leader_knowledge_->name(), views)) return way;
    return membership_->reaches_kv(steady_now()) ? std::nullopt : relay_to_kv(views);
}

asio::awaitable<PeerReply> RequestRouter::call_peer(std::string name, PeerCall call) {
    auto* link = peer_client(name);
    if (!link) co_return PeerReply{503, "{}", 1, 0, true};
    call.sender = settings_.name;
    auto reply = co_await link->call(std::move(call), kForward_s);
    if (!reply) {
        membership_->record_timeout(name);
        co_return PeerReply{503, R"({"error":"no way to the leader"})", 1, 0, true};
    }
    co_return *reply;
}

asio::awaitable<bool> RequestRouter::pass_to_peer(std::string name, PeerCall call) {
    auto reply = co_await call_peer(std::move(name), std::move(call));
    co_return reply.status == 200;
}

asio::awaitable<PeerReply> RequestRouter::call_leader(PeerCall call) {
    if (auto leader = leader_) co_return co_await leader->ask(std::move(call));
    auto* link = leader_client();
    if (!link || leader_knowledge_->is_silent()) {
        if (auto way = relay_for(call)) {
            metrics_.increment("second_hops_total");
            call.relay = true;
            auto reply = co_await call_peer(*way, std::move(call));
            if (!reply.leadership_unconfirmed) leader_knowledge_->excuse_silence();
            co_return reply;
        }
        // It is asked again each second: until it answers, nobody waits for it.
        if (membership_->enabled()) link = nullptr;
    }
    if (!link) co_return PeerReply{503, R"({"error":"no leader"})", 1, 0, true};
    call.sender = settings_.name;
    double asked = steady_now();
    auto fencing_token = leader_knowledge_->fencing_token();
    bool submits = call.op == PeerOp::Submit;
    auto reply = co_await link->call(std::move(call), kForward_s);
    if (!reply) {
        leader_knowledge_->record_timeout(fencing_token);
        co_return PeerReply{503, R"({"error":"the leader does not answer"})", 1, 0, true};
    }
    leader_knowledge_->record_answer();
    if (submits && reply->status < 300)
        forward_timeout_.record_answer(leader_knowledge_->answered_at() - asked);
    co_return *reply;
}

asio::awaitable<void> RequestRouter::forward(PeerCall call, OneShot<PeerReply> out) {
    auto reply = co_await call_leader(std::move(call));
    out.set(std::move(reply));
}

// The leader's answer, waited for as long as the leader answers anything, and at most `most_s`;
// nothing: none in time. A busy leader answers pings: if it were taken for gone after a time alone,
// a leader with a burst of submissions would have the standby services' writes on top of its own.
asio::awaitable<std::optional<PeerReply>> RequestRouter::await_leader_reply(
    OneShot<PeerReply> forwarded, double started, double most_s) {
    bool probed = false;
    for (;;) {
        double quiet_until =
            std::max(started, leader_knowledge_->answered_at()) + forward_timeout_.seconds();
        double until = std::min(quiet_until, started + most_s);
        if (!probed) until = std::min(until, started + kProbe_s);
        double now = steady_now();
        if (now >= until && probed) co_return std::nullopt;
        if (now < until) {
            auto reply = co_await forwarded.wait(until - now);
            if (reply) co_return reply;
        }
        if (!probed) {
            probed = true;
            if (leader_client())
                asio::co_spawn(io_, ping_peer(leader_knowledge_->name()), asio::detached);
        }
    }
}

asio::awaitable<PeerReply> RequestRouter::serve(PeerCall call) {
    if (!standby_->available()) co_return co_await call_leader(std::move(call));
    PeerCall again = call;
    if (auto leader = leader_) {
        auto reply = co_await leader->ask(std::move(call));
        if (!reply.leadership_unconfirmed) co_return reply;
        co_return co_await standby_->serve(std::move(again));
    }
    if (!leader_client() || leader_knowledge_->is_silent())
        co_return co_await standby_->serve(std::move(again));
    // The leader goes on while the standby service begins: what both accept is one job, as their
    // records exclude each other.
    bool submits = call.op == PeerOp::Submit;
    double started = steady_now();
    OneShot<PeerReply> forwarded(io_.get_executor());
    asio::co_spawn(io_, forward(std::move(call), forwarded), asio::detached);
    auto reply = co_await await_leader_reply(forwarded, started,
                                             submits ? kMaxSubmitWait_s : kMaxLeaderWait_s);
    if (reply && !reply->leadership_unconfirmed) co_return *reply;
    auto own = co_await standby_->serve(std::move(again));
    if (reply || own.status != 503) co_return own;
    auto late = co_await forwarded.wait(std::max(0.01, started + kForward_s - steady_now()));
    co_return late ? *late : own;
}

}  // namespace weirmill
