// A controller node: users, workers and health checks over HTTP, the other controllers over the
// peer link. The leader answers; the others forward users to it and redirect workers. An actor on
// the io_context's one thread; its parts stand in request_router.cpp (wiring),
// request_router_http.cpp, request_router_forwarding.cpp, request_router_peers.cpp and
// request_router_heartbeats.cpp.
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

class RequestRouter {
  public:
    RequestRouter(boost::asio::io_context& io, const Settings& settings,
                  const Properties& properties);
    uint16_t api_port() const { return http_->port(); }
    uint16_t peer_port() const { return peer_server_->port(); }

  private:
    struct RoutedReply {
        const char* kind = "other";  // of the request, as the metrics name it
        HttpReply reply;
    };
    boost::asio::awaitable<HttpReply> handle(HttpRequest request);
    boost::asio::awaitable<RoutedReply> route(HttpRequest request);
    HttpReply metrics_page() const;
    boost::asio::awaitable<HttpReply> handle_heartbeat(HttpRequest request);
    boost::asio::awaitable<PeerReply> from_peer(PeerCall call);
    boost::asio::awaitable<PeerReply> call_leader(PeerCall call);
    boost::asio::awaitable<PeerReply> call_peer(std::string name, PeerCall call);
    // Whether the peer with this name accepted the call.
    boost::asio::awaitable<bool> pass_to_peer(std::string name, PeerCall call);
    // The peer through which this call may reach the leader, where this controller can't.
    std::optional<std::string> relay_for(const PeerCall& call) const;
    boost::asio::awaitable<PeerReply> pass_command(PeerCall call);
    void set_up_membership();
    // Far too few workers come to the leader themselves: one that comes here is not redirected.
    bool leader_uplink_lost() const;
    boost::asio::awaitable<void> forward(PeerCall call, OneShot<PeerReply> out);
    boost::asio::awaitable<std::optional<PeerReply>> await_leader_reply(
        OneShot<PeerReply> forwarded, double started, double most_s);
    // What users ask for: from the leader, or from this node's standby service where no leader
    // answers.
    boost::asio::awaitable<PeerReply> serve(PeerCall call);
    boost::asio::awaitable<void> ping_loop();
    boost::asio::awaitable<bool> ping_peer(std::string name);  // whether it says that it leads
    PeerReply ping_reply() const;
    bool healthy() const;
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
