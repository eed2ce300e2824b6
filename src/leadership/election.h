// Leader election: one leader at a time, by a lease of the state service that the key `leader` is
// attached to. The key's version when it was won is the fencing token that every answer and every
// transaction carries. Election is an actor on the io_context's one thread.
#pragma once
#include <cmath>
#include <functional>
#include <memory>
#include <string>

#include "config/settings.h"
#include "leadership/leadership_term.h"
#include "leadership/leadership_transfer.h"
#include "leadership/lease_renewal.h"
#include "storage/kv_client.h"

namespace weirmill {

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
