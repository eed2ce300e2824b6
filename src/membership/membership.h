// Membership: what this controller knows of the links between controllers, state service and
// workers. An actor that owns the peers' views and when they last answered. It tells the peers this
// controller's own links, with pings or, where one is out of reach, by a record under a lease, and
// has a leader transfer its leadership where another would serve the workers better.
// docs/design-membership.md has the argument why none of it can break a rule; docs/operations.md,
// "Links", what operators see. All of it runs on the io_context's one thread.
#pragma once
#include <functional>
#include <map>

#include "leadership/leadership_transfer.h"
#include "membership/link_policy.h"
#include "metrics/metrics.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"

namespace weirmill {

// A leader's worker counts, from when its workers last reported and by which way.
[[nodiscard]] LinkStatus leader_links(const ClusterState& cluster, const LinkTimeouts& times,
                                      double lease_s, double now);

class Membership {
  public:
    struct Hooks {
        // The worker counts of this controller: direct, known and, at a leader, reachable ones.
        std::function<LinkStatus()> workers;
        // Since when this controller leads with a valid lease; nothing: it does not.
        std::function<std::optional<double>()> leads_since;
        std::function<void(TransferRecord)> transfer_leadership;
    };
    Membership(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
               KvClient& kv, Metrics& metrics, Hooks hooks);

    bool enabled() const { return properties_.membership_enabled; }
    const LinkTimeouts& times() const { return times_; }
    // What this controller reports of its links.
    [[nodiscard]] LinkStatus own_links(double now) const;
    // The peers of which something is known now.
    [[nodiscard]] std::vector<PeerView> peer_views(double now) const;
    [[nodiscard]] std::optional<LinkStatus> peer_links(const std::string& peer, double now) const;
    // The peer answered, or called, and reported these links.
    void record_contact(const std::string& name, const LinkStatus& links);
    // A call to the peer got no answer.
    void record_timeout(const std::string& name);
    bool reaches_kv(double now) const { return is_fresh(kv_.answered_at(), now); }
    // How long this controller lets others go first in a campaign, seconds; see campaign_wait of
    // link_policy.h.
    boost::asio::awaitable<double> campaign_wait();
    void gauges(std::map<std::string, double>& out) const;

  private:
    struct Peer {
        LinkStatus reported;  // by the peer itself
        LinkStatus recorded;  // as the state service has it
        double contact_at = -1e9, recorded_at = -1e9;
        uint64_t timeouts = 0;  // calls without an answer
    };
    bool is_fresh(double at, double now) const { return now - at < times_.view_expiry_s; }
    std::vector<std::string> reachable_peers(double now) const;
    Peer* find_peer(const std::string& name);  // null: none of the settings' names
    boost::asio::awaitable<void> membership_loop();
    boost::asio::awaitable<void> read_transfer_record(double timeout_s);
    boost::asio::awaitable<void> read_link_records();
    boost::asio::awaitable<void> publish_links(LinkStatus links);
    // False: not renewed now. A lease that has run out is forgotten.
    boost::asio::awaitable<bool> renew_record_lease();
    boost::asio::awaitable<void> consider_transfer(double now);
    // Sets `candidate_` to the leader preferred now; whether it has been that for long enough.
    bool candidate_is_stable(double now);

    boost::asio::io_context& io_;
    const Settings& settings_;
    const Properties& properties_;
    LinkTimeouts times_;
    KvClient& kv_;
    Metrics& metrics_;
    Hooks hooks_;
    std::map<std::string, Peer> peers_;
    TransferRecord last_transfer_;  // as recorded
    uint64_t record_lease_ = 0;     // of this controller's link record; 0: none
    LinkStatus published_;          // the link record as last written
    std::string candidate_;         // the preferred leader; empty: none
    double candidate_since_ = 0;
};

}  // namespace weirmill
