// Tracks the links between the controllers, the key-value store and the workers. Membership owns
// the last reported links of each peer and the time of the last contact. It reports this
// controller's own links to the peers with pings or, while a peer is out of reach, with a record
// under a lease. On the leader it starts a transfer of the leadership when another controller would
// serve the workers better. docs/design-membership.md explains why this cannot violate an
// invariant; docs/operations.md, "Links", describes what operators see. Membership runs on the
// single thread of the io_context.
#pragma once
#include <functional>
#include <map>

#include "leadership/leadership_transfer.h"
#include "membership/link_policy.h"
#include "metrics/metrics.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"

namespace weirmill {

// Returns a leader's worker counts, derived from when each worker last reported and whether it did
// so directly or through a relay.
[[nodiscard]] LinkStatus leader_links(const ClusterState& cluster, const LinkTimeouts& times,
                                      double lease_s, double now);

// Returns the leases of a leader's workers that no path renews at present.
[[nodiscard]] LeasesAtStake leases_at_stake(const ClusterState& cluster, const LinkTimeouts& times,
                                            double lease_s, double now);

class Membership {
  public:
    struct Hooks {
        // Returns the worker counts of this controller: direct and known workers and, on the
        // leader, reachable workers; and the fencing token of the leader that they are about.
        std::function<LinkStatus()> worker_counts;
        // Returns the term of this controller, or nothing if it does not lead with a valid lease.
        std::function<std::optional<LeadingTerm>()> leading_term;
        // Returns the leases that this controller, which leads, does not renew.
        std::function<LeasesAtStake()> leases_at_stake;
        std::function<void(TransferRecord)> transfer_leadership;
    };
    Membership(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
               KvClient& kv, Metrics& metrics, Hooks hooks);

    bool enabled() const { return properties_.membership_enabled; }
    LinkTimeouts times() const { return LinkTimeouts::from_settings(settings_); }
    // Returns the links that this controller reports.
    [[nodiscard]] LinkStatus own_links(double now) const;
    // Returns the peers whose links are known at present.
    [[nodiscard]] std::vector<PeerView> peer_views(double now) const;
    [[nodiscard]] std::optional<LinkStatus> peer_links(const std::string& peer, double now) const;
    // Records that the peer answered or sent a call and reported these links.
    void record_contact(const std::string& name, const LinkStatus& links);
    // Records that a call to the peer got no answer.
    void record_timeout(const std::string& name);
    bool reaches_kv(double now) const { return is_recent(kv_.answered_at(), now); }
    // Returns how long this controller lets other candidates go first in a campaign, in seconds;
    // see campaign_wait() in link_policy.h.
    boost::asio::awaitable<double> campaign_wait();
    // Adds the gauges of links and worker counts to `out`.
    void add_gauges(std::map<std::string, double>& out) const;

  private:
    struct Peer {
        LinkStatus reported;  // by the peer itself
        LinkStatus recorded;  // in the key-value store
        double contact_at = -1e9, recorded_at = -1e9;
        uint64_t timeouts = 0;  // calls without an answer
    };
    bool is_recent(double time, double now) const { return now - time < times().view_expiry_s; }
    std::vector<std::string> reachable_peers(double now) const;
    // Returns null if the settings name no such peer.
    Peer* configured_peer(const std::string& name);
    boost::asio::awaitable<void> membership_loop();
    boost::asio::awaitable<void> read_transfer_record(double timeout_s);
    boost::asio::awaitable<void> read_link_records();
    boost::asio::awaitable<void> publish_links(LinkStatus links);
    // Renews the lease of the link record and returns whether that succeeded. A lease that has
    // expired is reset.
    boost::asio::awaitable<bool> renew_record_lease();
    boost::asio::awaitable<void> consider_transfer(double now);
    // Returns for how long a transfer must wait at `wall_time`, in seconds, and logs it.
    double hold_back_transfer(double wall_time);
    // Sets `candidate_` to the leader preferred now. Returns whether it has been preferred for long
    // enough.
    bool candidate_is_stable(double now);

    boost::asio::io_context& io_;
    const Settings& settings_;
    const Properties& properties_;
    KvClient& kv_;
    Metrics& metrics_;
    Hooks hooks_;
    std::map<std::string, Peer> peers_;
    TransferRecord last_transfer_;       // the latest known one, stored or requested
    TransferRecord requested_transfer_;  // the last one that this controller asked for
    uint64_t transferred_term_ = 0;      // fencing token of the term that is to end with it
    uint64_t record_lease_ = 0;          // lease of this controller's link record; 0: none
    LinkStatus published_;               // contents of the link record as last written
    std::string candidate_;              // the preferred leader; empty: none
    double candidate_since_ = 0;
    double next_delay_log_at_ = 0;
};

}  // namespace weirmill
