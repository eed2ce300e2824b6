// What this controller knows of links. An actor that owns the peers' views and the time of their
// last word, says this controller's own to them, over pings or, where one is out of reach, under a
// leased key, and asks a leader to hand over where another would serve the workers better.
// docs/design-membership.md has the argument why none of it can break a rule; docs/operations.md,
// "Links", what operators see.
#pragma once
#include <functional>
#include <map>

#include "membership/link_policy.h"
#include "metrics/metrics.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"

namespace weirmill {

// A leader's own links, from what its workers sent and by which way it came.
LinkStatus leader_links(const ClusterState& cluster, const LinkTimeouts& times, double lease_s,
                        double now);

class Membership {
  public:
    struct Hooks {
        // Workers as this controller sees them: `direct`, `known` and, of a leader, `reach`.
        std::function<LinkStatus()> workers;
        // Since when this controller leads and is sure of it; nothing: it does not.
        std::function<std::optional<double>()> leads_since;
        std::function<void(TransferRecord)> transfer_leadership;
    };
    Membership(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
               KvClient& state, Metrics& metrics, Hooks hooks);

    bool enabled() const { return properties_.membership_enabled; }
    const LinkTimeouts& times() const { return times_; }
    // This controller's word of its links.
    LinkStatus own(double now) const;
    std::vector<PeerView> views(double now) const;
    std::optional<LinkStatus> view(const std::string& peer, double now) const;
    void heard(const std::string& peer, const LinkStatus& links);
    void silent(const std::string& peer);
    bool reaches_kv(double now) const { return fresh(kv_.answered_at(), now); }
    // How long this controller lets others go first in a campaign, seconds.
    boost::asio::awaitable<double> campaign_wait();
    void gauges(std::map<std::string, double>& out) const;

  private:
    bool fresh(double at, double now) const { return now - at < times_.fresh_s; }
    std::vector<std::string> hears(double now) const;  // peers, by their own word
    struct Peer {
        LinkStatus links, recorded;  // by its own word, and as the state service has it
        double heard_at = -1e9, recorded_at = -1e9;
        uint64_t lost = 0;  // answers that did not come
    };
    Peer* peer(const std::string& name);  // null: none of the settings' names
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> read_transfers(double timeout_s);
    boost::asio::awaitable<void> read_records();
    boost::asio::awaitable<void> publish(LinkStatus links);
    boost::asio::awaitable<void> consider(double now);

    boost::asio::io_context& io_;
    const Settings& settings_;
    const Properties& properties_;
    LinkTimeouts times_;
    KvClient& kv_;
    Metrics& metrics_;
    Hooks hooks_;
    std::map<std::string, Peer> peers_;
    TransferRecord last_;  // hand-over, as recorded
    uint64_t lease_ = 0;   // of this controller's record; 0: none
    LinkStatus published_;
    std::string better_;  // who would lead better, and since when
    double better_since_ = 0;
};

}  // namespace weirmill
