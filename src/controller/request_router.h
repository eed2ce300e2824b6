// The node's doors: users, workers and health checks over HTTP, the other controllers over the peer
// link. The leader answers; the others forward users to it and send workers on.
#pragma once
#include <map>
#include <memory>

#include "controller/leader.h"
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
    uint16_t peer_port() const { return peers_in_->port(); }

  private:
    boost::asio::awaitable<HttpReply> handle(HttpRequest request);
    boost::asio::awaitable<HttpReply> route(HttpRequest request, const char*& kind);
    HttpReply metrics_page() const;
    boost::asio::awaitable<HttpReply> handle_heartbeat(HttpRequest request);
    boost::asio::awaitable<PeerReply> from_peer(PeerCall call);
    boost::asio::awaitable<PeerReply> to_leader(PeerCall call);
    boost::asio::awaitable<PeerReply> by_peer(std::string name, PeerCall call);
    // The peer through which this call may reach the leader, where this controller can't.
    std::optional<std::string> relay_for(const PeerCall& call) const;
    boost::asio::awaitable<PeerReply> pass_command(PeerCall call);
    bool leader_silent() const {
        return silent_fencing_token_ != 0 && silent_fencing_token_ == leader_fencing_token();
    }
    void set_up_membership();
    // Far too few workers come to the leader themselves: one that comes here is not sent there.
    bool leader_uplink_lost() const;
    boost::asio::awaitable<void> forward(PeerCall call, OneShot<PeerReply> out);
    boost::asio::awaitable<std::optional<PeerReply>> while_heard(OneShot<PeerReply> forwarded,
                                                                 double started, double most_s);
    // What users ask for: from the leader, or from this node's own door where no leader answers.
    boost::asio::awaitable<PeerReply> serve(PeerCall call);
    boost::asio::awaitable<void> ping_loop();
    boost::asio::awaitable<bool> ask_peer(std::string name);  // whether it says that it leads
    PeerReply who_leads() const;
    bool healthy() const;
    PeerClient* link_to(const std::string& name);
    PeerClient* leader_link();
    // Who leads as far as this node knows, from the state service or, should that be refused to
    // this node alone, from the other controllers; the newer word counts.
    bool told_newer() const { return told_fencing_token_ > election_->as_of(); }
    const std::string& leader_name() const {
        return told_newer() ? told_leader_ : election_->leader();
    }
    uint64_t leader_fencing_token() const {
        return told_newer() ? told_fencing_token_ : election_->fencing_token();
    }

    boost::asio::io_context& io_;
    const Settings& settings_;
    const Properties& properties_;
    KvClient kv_;
    std::unique_ptr<Election> election_;
    std::shared_ptr<Leader> leader_;
    std::shared_ptr<LeadershipTerm> term_;  // while this node leads
    std::string told_leader_;               // what the other controllers said
    uint64_t told_fencing_token_ = 0;
    std::map<std::string, std::unique_ptr<PeerClient>> links_;
    std::unique_ptr<StandbyService> standby_;
    std::unique_ptr<PeerServer> peers_in_;
    std::unique_ptr<HttpServer> http_;
    std::unique_ptr<Membership> membership_;
    WorkerRoster roster_;
    Metrics metrics_;
    double heard_leader_ = 0;  // when the leader last answered this node
    uint64_t silent_fencing_token_ =
        0;  // the leader with this token was asked, and did not answer, since
    ForwardTimeout forward_timeout_;
};

}  // namespace weirmill
