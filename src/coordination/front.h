// The node's doors: users, workers and health checks over HTTP, the other controllers over the peer link.
// The leader answers; the others forward users to it and send workers on.
#pragma once
#include <map>
#include <memory>

#include "coordination/election.h"
#include "coordination/leader.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"

namespace weirmill {

class Front {
  public:
    Front(boost::asio::io_context& io, const Settings& settings, const Properties& properties);
    uint16_t api_port() const { return http_->port(); }
    uint16_t peer_port() const { return peers_in_->port(); }

  private:
    struct Relayed {  // a worker that came back although it was sent to the leader
        double until = 0, span = 0;
    };

    boost::asio::awaitable<HttpReply> handle(HttpRequest request);
    boost::asio::awaitable<HttpReply> route(HttpRequest request, const char*& kind);
    HttpReply metrics_page() const;
    boost::asio::awaitable<HttpReply> handle_report(HttpRequest request);
    boost::asio::awaitable<PeerReply> to_leader(PeerCall call);
    boost::asio::awaitable<void> ping_loop();
    bool healthy() const;
    PeerClient* leader_link();

    boost::asio::io_context& io_;
    const Settings& settings_;
    const Properties& properties_;
    StateClient state_;
    std::unique_ptr<Election> election_;
    std::shared_ptr<Leader> leader_;
    std::map<std::string, std::unique_ptr<PeerClient>> links_;
    std::unique_ptr<PeerServer> peers_in_;
    std::unique_ptr<HttpServer> http_;
    std::map<std::string, Relayed> relayed_;
    Metrics metrics_;
    double heard_leader_ = 0;  // when the leader last answered this node
};

}  // namespace weirmill
