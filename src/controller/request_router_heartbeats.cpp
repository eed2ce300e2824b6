// RequestRouter: heartbeats of workers. The leader answers them. A follower redirects the worker to
// the leader, or relays the heartbeat if the worker can't reach the leader.
#include <spdlog/spdlog.h>

#include <boost/asio.hpp>

#include "controller/request_router.h"
#include "protocol/worker_codec.h"

namespace weirmill {

namespace asio = boost::asio;

bool RequestRouter::leader_uplink_lost() const {
    auto links = membership_->peer_links(leader_tracker_->name(), steady_now());
    return links && links->reports_links && links->known_workers > 0 &&
           2 * links->direct_workers < links->known_workers;
}

// The subject of a heartbeat call is the address that the heartbeat came from.
asio::awaitable<HttpReply> RequestRouter::handle_heartbeat(HttpRequest request) {
    if (auto leader = leader_) {
        PeerCall call{PeerOp::Heartbeat, std::move(request.client_address),
                      std::move(request.body)};
        auto reply = co_await leader->request(std::move(call));
        co_return HttpReply{reply.status, std::move(reply.body)};
    }
    HeartbeatHeader header;
    try {
        header = parse_heartbeat_header(request.body);
    } catch (const BadMessage& e) {
        spdlog::error("worker: refused malformed heartbeat from {}: {}", request.client_address,
                      e.what());
        co_return HttpReply{400, "{}"};
    }
    double now = steady_now();
    bool relay = roster_.should_relay(header.machine, header.fencing_token,
                                      leader_tracker_->fencing_token(), now);
    if (!leader_client()) co_return HttpReply{421, redirect_response("")};
    relay = relay || leader_uplink_lost();
    if (relay) {
        PeerCall call{PeerOp::Heartbeat, std::move(request.client_address),
                      std::move(request.body)};
        auto reply = co_await call_leader(std::move(call));
        // A worker ignores the response of a leader that is older than the one it knows. If such
        // responses were relayed, the worker would stay here until its lease expires.
        if (reply.status == 200 && reply.fencing_token >= header.fencing_token)
            co_return HttpReply{200, std::move(reply.body)};
        roster_.end_relay(header.machine);
        co_return HttpReply{421, redirect_response("")};
    }
    co_return HttpReply{421, redirect_response(leader_tracker_->name())};
}

}  // namespace weirmill
