// Heartbeats of workers: the leader answers them; a follower redirects the worker to the leader or,
// for one that can't reach it, relays the heartbeat.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/request_router.h"
#include "protocol/worker_codec.h"

namespace weirmill {

namespace asio = boost::asio;

bool RequestRouter::leader_uplink_lost() const {
    auto links = membership_->peer_links(leader_knowledge_->name(), steady_now());
    return links && links->reports_links && links->known_workers > 0 &&
           2 * links->direct_workers < links->known_workers;
}

// For a heartbeat, a call's subject is the address that it came from.
asio::awaitable<HttpReply> RequestRouter::handle_heartbeat(HttpRequest r) {
    if (auto leader = leader_) {
        PeerCall call{PeerOp::Heartbeat, std::move(r.client_address), std::move(r.body)};
        auto reply = co_await leader->ask(std::move(call));
        co_return HttpReply{reply.status, std::move(reply.body)};
    }
    HeartbeatHeader head;
    try {
        head = parse_heartbeat_header(r.body);
    } catch (const BadMessage& e) {
        spdlog::error("worker: malformed report from {} refused: {}", r.client_address, e.what());
        co_return HttpReply{400, "{}"};
    }
    double now = steady_now();
    bool relay = roster_.should_relay(head.machine, head.fencing_token,
                                      leader_knowledge_->fencing_token(), now);
    if (!leader_client()) co_return HttpReply{421, redirect_response("")};
    relay = relay || leader_uplink_lost();
    if (relay) {
        PeerCall call{PeerOp::Heartbeat, std::move(r.client_address), std::move(r.body)};
        auto reply = co_await call_leader(std::move(call));
        // The worker would drop the answer of an older leader than it knows, and its lease would
        // run out here.
        if (reply.status == 200 && reply.fencing_token >= head.fencing_token)
            co_return HttpReply{200, std::move(reply.body)};
        roster_.end_relay(head.machine);
        co_return HttpReply{421, redirect_response("")};
    }
    co_return HttpReply{421, redirect_response(leader_knowledge_->name())};
}

}  // namespace weirmill
