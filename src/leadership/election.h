// One leader at a time: a lease of the state service holds the key `leader`; the key's version when
// it was won is the token that every answer and every transaction carries.
#pragma once
#include <fmt/format.h>

#include <cmath>
#include <functional>
#include <memory>
#include <string>

#include "config/settings.h"
#include "membership/link_policy.h"
#include "state/cluster_state.h"
#include "storage/kv_client.h"
#include "transport/one_shot.h"

namespace weirmill {

// When this node may act as leader. Times are of its steady clock.
struct LeadershipTerm {
    uint64_t fencing_token = 0;
    uint64_t lease = 0;
    double won = 0;                                // no earlier leader held the lease after this
    double lease_valid_until = 0;                  // before this no other leader can exist
    bool ended = false;                            // another leader may exist, for good
    std::optional<TransferRecord> transferred_to;  // it ends as another is to lead
};

// How far a steady clock may run from another, with room for timers that fire late.
inline constexpr double kDrift = 0.001;
inline constexpr double kMargin_s = 0.1;

// The lease counts from the start of the request that confirmed it.
inline double lease_valid_until(double request_started, double lease_s) {
    return request_started + lease_s * (1 - kDrift) - kMargin_s;
}

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

// How long a controller waits before it campaigns, some randomness aside. When all are restarted
// one after the other, one that has just been is the last to be restarted again: it goes first. Led
// by one whose turn was still to come, a roll of three controllers took two elections where one
// would do.
inline double campaign_delay(double uptime_s) { return 0.1 * (1 - std::exp(-uptime_s / 60)); }
inline constexpr double kCampaignSpread_s = 0.03;

class Election {
  public:
    struct Events {
        std::function<void(std::shared_ptr<LeadershipTerm>)> won;
        std::function<void()> lost;
        // How long this controller lets others go first in a campaign, seconds; negative: it waits
        // for nobody.
        std::function<boost::asio::awaitable<double>()> campaign_wait;
    };
    Election(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
             KvClient& state, Events events);

    // Ends this controller's tenure, which has settled what it could, in favour of another.
    void step_down(TransferRecord to);
    // Who leads as far as this node knows; empty: nobody.
    const std::string& leader() const { return leader_; }
    uint64_t fencing_token() const { return fencing_token_; }
    // The state service's revision that this knowledge is as old as.
    uint64_t as_of() const { return std::max(revision_, fencing_token_); }

  private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> observe();
    boost::asio::awaitable<bool> drop_own_leadership();
    boost::asio::awaitable<void> campaign();
    boost::asio::awaitable<void> hold();
    boost::asio::awaitable<void> renew(std::shared_ptr<LeadershipTerm> term, OneShot<bool> renewed);
    boost::asio::awaitable<void> release_leadership(uint64_t fencing_token, TransferRecord to);
    void learn(const std::string& leader, uint64_t fencing_token);

    boost::asio::io_context& io_;
    const Settings& settings_;
    double lease_s_;
    double started_;  // this controller
    KvClient& kv_;
    Events events_;
    std::string leader_;
    uint64_t fencing_token_ = 0;
    uint64_t revision_ = 0;
    uint64_t unsure_lease_ = 0;  // of a campaign whose outcome is unknown
    std::shared_ptr<LeadershipTerm> term_;
    boost::asio::steady_timer wake_;  // of the loop that renews
};

}  // namespace weirmill
