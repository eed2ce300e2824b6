// Leader election. The leader holds a lease of the key-value store, and the key `leader` is
// attached to that lease, so at most one controller leads at a time. The version of the key at
// which a term was won is the fencing token that every response and transaction of that term
// carries. Election runs on the single thread of the io_context.
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

// Returns how long a controller that has run for `uptime_s` waits before it campaigns, in seconds,
// without the random part. A controller that started recently waits less. In a rolling restart it
// is then the most recently restarted controller that wins; it is the last one to be restarted
// again. If a controller won that is still to be restarted, a rolling restart of three controllers
// would take two elections instead of one.
inline double campaign_delay(double uptime_s) { return 0.1 * (1 - std::exp(-uptime_s / 60)); }

// Upper bound of the random delay that is added to campaign_delay().
inline constexpr double kCampaignJitter_s = 0.03;

class Election {
  public:
    struct Events {
        // This controller has won an election and leads until the term has `ended`.
        std::function<void(std::shared_ptr<LeadershipTerm>)> on_elected;
        // The term has ended, and nothing may be done with its fencing token any more.
        std::function<void()> on_term_ended;
        // Returns how long this controller lets other candidates go first, in seconds. A negative
        // value means that it campaigns at once because it is the successor of a transfer.
        std::function<boost::asio::awaitable<double>()> campaign_wait;
        // A leadership transfer was sent to the key-value store, which confirmed it or not.
        std::function<void(bool confirmed)> on_transfer_sent;
    };
    Election(boost::asio::io_context& io, const Settings& settings, const Properties& properties,
             KvClient& kv, Events events);

    // Ends this controller's term and hands the leadership to `transfer.to`. The caller has
    // finished the leader's open work. Does nothing if this controller does not lead.
    void step_down(TransferRecord transfer);
    // Returns the name of the leader that this controller last observed, or an empty string if
    // there is none.
    const std::string& leader() const { return leader_; }
    uint64_t fencing_token() const { return fencing_token_; }
    // Returns the latest revision of the key-value store that leader() and fencing_token() reflect.
    uint64_t observed_revision() const { return std::max(revision_, fencing_token_); }

  private:
    boost::asio::awaitable<void> election_loop();
    // Runs one round of the loop and returns the pause before the next one, in seconds.
    boost::asio::awaitable<double> run_round();
    // Leads until the term has ended.
    boost::asio::awaitable<void> lead();
    // Waits for a change of the leader key. Returns false if the key-value store did not respond.
    boost::asio::awaitable<bool> watch_leader();
    // Reads the leader key. Returns false if the leader could not be determined.
    boost::asio::awaitable<bool> observe_leader();
    // Starts the term of a campaign that was won although its response was lost. Returns false if
    // the lease of that campaign could not be confirmed.
    boost::asio::awaitable<bool> resume_pending_campaign(uint64_t fencing_token);
    // Deletes the leader key of an earlier term of this controller, together with the record of a
    // transfer if that term ended with one. Returns false if that was not confirmed.
    boost::asio::awaitable<bool> release_previous_term();
    boost::asio::awaitable<void> campaign();
    // Returns the lease for a campaign, or nothing if no lease could be obtained.
    boost::asio::awaitable<std::optional<uint64_t>> campaign_lease();
    // Sends the transfer to the key-value store. Returns whether it was confirmed.
    boost::asio::awaitable<bool> release_leadership(uint64_t fencing_token,
                                                    TransferRecord transfer);
    void start_term(uint64_t fencing_token, uint64_t lease, double lease_requested_at);
    void set_leader(const std::string& leader, uint64_t fencing_token);

    const Settings& settings_;
    double lease_s_;
    double started_at_;  // when this controller started
    KvClient& kv_;
    Events events_;
    std::string leader_;
    uint64_t fencing_token_ = 0;
    uint64_t revision_ = 0;
    // Lease of a campaign whose outcome is unknown; 0 if there is none.
    uint64_t pending_campaign_lease_ = 0;
    std::shared_ptr<LeadershipTerm> term_;
    // Fencing token of the term whose transfer was not confirmed, 0 if there is none, and the
    // transfer.
    uint64_t unconfirmed_term_ = 0;
    TransferRecord unconfirmed_transfer_;
    LeaseRenewal renewal_;
};

}  // namespace weirmill
