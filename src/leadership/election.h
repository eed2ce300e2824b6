// Leader election: one leader at a time, by a lease of the state service that the key `leader` is
// attached to. The key's version when it was won is the fencing token that every answer and every
// transaction carries. Election is an actor on the io_context's one thread.
#pragma once
#include <fmt/format.h>

#include <cmath>
#include <functional>
#include <memory>
#include <string>

#include "config/settings.h"
#include "leadership/leadership_term.h"
#include "leadership/leadership_transfer.h"
#include "leadership/lease_renewal.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"

namespace weirmill {

// How long a leader unsure of its lease goes on answering reports, so that work outlives an outage
// of the state service. A cancellation told by the next leader must still end in time: grace +
// lease_s + margins < cancel_s.
inline double answering_grace(const Settings& s) {
    return std::max(
        0.0, (s.cancel_s - s.lease_s * (1 + kDrift) - 1.5 * s.heartbeat_interval_s - 1.0) * 0.85);
}

// Told at start where the settings leave no time for a grace; empty: they do.
inline std::string grace_warning(const Settings& s) {
    if (answering_grace(s) > 0) return "";
    return fmt::format(
        "settings: deployment.workers.cancel_s = {} is not above workers.lease_s = {} with margins "
        "(1.5 times "
        "workers.report_s = {}, and a second): an outage of the state service that outlasts the "
        "leader's lease ends the workers' tasks",
        s.cancel_s, s.lease_s, s.heartbeat_interval_s);
}

// When everything that an earlier leader may have kept alive on a silent machine is gone.
inline double earlier_term_expiry(const Settings& s, double won) {
    return won + answering_grace(s) + s.lease_s * (1 + 2 * kDrift) + 4 * kMargin_s;
}

// When the lease of a worker last answered by this leader, which had seen its token, has run out.
inline double answered_lease_expiry(const Settings& s, double last_answer) {
    return last_answer + s.lease_s * (1 + 2 * kDrift) + 4 * kMargin_s;
}

// When all that may be on a machine is surely gone, unless it reports again. A report that waits
// for its answer counts like an answered one: a machine used to be taken for gone while its first
// report was held.
inline double worker_lease_expiry(const Settings& s, const Machine& m, double won) {
    double heard = std::max(m.last_answer, m.last_heartbeat);
    double end = heard > 0 ? answered_lease_expiry(s, heard) : 0;
    return m.saw_fencing_token ? end : std::max(end, earlier_term_expiry(s, won));
}

// How long a controller that has run for `uptime_s` waits before it campaigns, seconds, some
// randomness aside. In a rolling restart the one restarted last is the last to be restarted again:
// it goes first. Led by one whose turn is still to come, a roll of three controllers takes two
// elections where one would do.
inline double campaign_delay(double uptime_s) { return 0.1 * (1 - std::exp(-uptime_s / 60)); }
inline constexpr double kCampaignSpread_s = 0.03;

class Election {
  public:
    struct Events {
        // This controller leads from now on, for as long as the term has not `ended`.
        std::function<void(std::shared_ptr<LeadershipTerm>)> won;
        // The term has ended; nothing may be done in its name any more.
        std::function<void()> lost;
        // How long this controller lets others go first in a campaign, seconds; negative: it waits
        // for nobody, as it is the successor of a transfer.
        std::function<boost::asio::awaitable<double>()> campaign_wait;
    };
    Election(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
             KvClient& kv, Events events);

    // Ends this controller's term in favour of another; the leader has finished its open work.
    // Without a term it does nothing.
    void step_down(TransferRecord to);
    // Who leads as far as this node knows; empty: nobody.
    const std::string& leader() const { return leader_; }
    uint64_t fencing_token() const { return fencing_token_; }
    // The state service's revision that this knowledge is as old as.
    uint64_t as_of() const { return std::max(revision_, fencing_token_); }

  private:
    boost::asio::awaitable<void> election_loop();
    // One round of the loop. Returns the pause before the next, seconds.
    boost::asio::awaitable<double> run_round();
    // Leads until the term has ended.
    boost::asio::awaitable<void> lead();
    // Waits for a change of the leader key. False: the state service did not answer.
    boost::asio::awaitable<bool> watch_leader();
    // Reads who leads. False: not known now.
    boost::asio::awaitable<bool> observe_leader();
    // Starts the term of a campaign that was won although it got no answer. False: not known now
    // whether its lease is alive.
    boost::asio::awaitable<bool> resume_unanswered_campaign(uint64_t fencing_token);
    // Ends an earlier term of this controller that the leader key still shows. False: not
    // confirmed.
    boost::asio::awaitable<bool> drop_own_leadership();
    boost::asio::awaitable<void> campaign();
    // The lease for a campaign; nothing: there is none now.
    boost::asio::awaitable<std::optional<uint64_t>> campaign_lease();
    boost::asio::awaitable<void> release_leadership(uint64_t fencing_token, TransferRecord to);
    void start_term(uint64_t fencing_token, uint64_t lease, double lease_confirmed_from);
    void set_leader(const std::string& leader, uint64_t fencing_token);

    const Settings& settings_;
    double lease_s_;
    double started_;  // this controller
    KvClient& kv_;
    Events events_;
    std::string leader_;
    uint64_t fencing_token_ = 0;
    uint64_t revision_ = 0;
    uint64_t unanswered_lease_ = 0;  // of a campaign whose outcome is unknown; 0: none
    std::shared_ptr<LeadershipTerm> term_;
    LeaseRenewal renewal_;
};

}  // namespace weirmill
