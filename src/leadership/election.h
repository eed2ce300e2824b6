// One leader at a time: a lease of the state service holds the key `leader`; the key's version when
// it was won is the token that every answer and every transaction carries.
#pragma once
#include <cmath>
#include <functional>
#include <memory>
#include <string>

#include "config/settings.h"
#include "liveness/worker_lease.h"
#include "membership/link_policy.h"
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

// The lease counts from the start of the request that confirmed it.
inline double lease_valid_until(double request_started, double lease_s) {
    return request_started + lease_s * (1 - kDrift) - kMargin_s;
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
