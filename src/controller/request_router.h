// A controller node. It serves users, workers and health checks over HTTP, and the other
// controllers over the peer link. The leader answers requests itself; followers forward requests of
// users to the leader and redirect workers to it. The class is implemented in request_router.cpp
// (construction), request_router_http.cpp, request_router_forwarding.cpp, request_router_peers.cpp
// and request_router_heartbeats.cpp.
#pragma once
#include <map>
#include <memory>

#include "controller/leader.h"
#include "controller/leader_tracker.h"
#include "leadership/election.h"
#include "membership/membership.h"
#include "membership/worker_roster.h"
#include "standby/forward_timeout.h"
#include "standby/standby_service.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"

namespace weirmill {

// Owns the parts of one controller and routes requests between them. Runs on the single thread of
// the io_context.
class RequestRouter {
  public:
    // The arguments must outlive this object.
    RequestRouter(boost::asio::io_context& io, const Settings& settings,
                  const Properties& properties);
    uint16_t api_port() const { return http_->port(); }
    uint16_t peer_port() const { return peer_server_->port(); }

  private:
    struct RoutedReply {
        const char* kind = "other";  // request kind, used as a metric label
        HttpReply reply;
    };
    boost::asio::awaitable<HttpReply> handle(HttpRequest request);
    boost::asio::awaitable<RoutedReply> route(HttpRequest request);
    HttpReply metrics_page() const;
    boost::asio::awaitable<HttpReply> handle_heartbeat(HttpRequest request);
    boost::asio::awaitable<PeerReply> handle_peer_call(PeerCall call);
    // Calls the leader, through a peer if this controller can't reach it.
    boost::asio::awaitable<PeerReply> call_leader(PeerCall call);
    // Calls the peer with this name. Status 503 with `leadership_unconfirmed` set: the peer did not
    // answer.
    boost::asio::awaitable<PeerReply> call_peer(std::string name, PeerCall call);
    // Returns whether the peer answered with status 200.
    boost::asio::awaitable<bool> forward_to_peer(std::string name, PeerCall call);
    // Returns the peer through which the call may reach the leader, if this controller can't reach
    // it. Nothing: there is no such peer, or the call has already been relayed.
    std::optional<std::string> find_relay(const PeerCall& call) const;
    // Sends the commands to a worker on behalf of the leader, directly or through another peer.
    boost::asio::awaitable<PeerReply> relay_command(PeerCall call);
    void set_up_membership();
    // Returns whether fewer than half of the known workers reach the leader directly. Workers that
    // contact this controller are then relayed and not redirected.
    bool leader_uplink_lost() const;
    // Calls the leader and stores the reply in `result`.
    boost::asio::awaitable<void> forward_to_leader(PeerCall call, OneShot<PeerReply> result);
    boost::asio::awaitable<std::optional<PeerReply>> await_leader_reply(
        OneShot<PeerReply> forwarded, double started, double max_wait_s);
    // Serves a user request through the leader or, if no leader answers, by this node's standby
    // service.
    boost::asio::awaitable<PeerReply> serve_user_request(PeerCall call);
    boost::asio::awaitable<void> ping_loop();
    // Pings the peer and returns whether it reports that it leads.
    boost::asio::awaitable<bool> ping_peer(std::string name);
    PeerReply ping_reply() const;
    // Returns the result of the health check.
    bool is_healthy() const;
    // Null: there is no controller with this name, or no known leader.
    PeerClient* peer_client(const std::string& name);
    PeerClient* leader_client();

    boost::asio::io_context& io_;
    const Settings& settings_;
    const Properties& properties_;
    KvClient kv_;
    std::unique_ptr<Election> election_;
    std::shared_ptr<Leader> leader_;
    std::shared_ptr<LeadershipTerm> term_;  // while this node leads
    std::map<std::string, std::unique_ptr<PeerClient>> peer_clients_;
    std::unique_ptr<StandbyService> standby_;
    std::unique_ptr<PeerServer> peer_server_;
    std::unique_ptr<HttpServer> http_;
    std::unique_ptr<Membership> membership_;
    WorkerRoster roster_;
    Metrics metrics_;
    std::unique_ptr<LeaderTracker> leader_tracker_;
    ForwardTimeout forward_timeout_;
};

}  // namespace weirmill
