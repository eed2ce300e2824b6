// Tracks which controller leads and whether it responds, as seen by this controller. RequestRouter
// updates it on the io_context's only thread. Times are on the steady clock, in seconds.
#pragma once
#include <cstdint>
#include <string>

#include "leadership/election.h"
#include "transport/one_shot.h"

namespace weirmill {

class LeaderTracker {
  public:
    // `election` must outlive this object.
    explicit LeaderTracker(const Election& election)
        : election_(election), answered_at_(steady_now()) {}

    // Returns the name of the current leader, or an empty string if none is known. The name comes
    // from the key-value store or, if only this node can't reach that, from another controller; the
    // newer information applies.
    const std::string& name() const {
        return reported_is_newer() ? reported_leader_ : election_.leader();
    }
    uint64_t fencing_token() const {
        return reported_is_newer() ? reported_fencing_token_ : election_.fencing_token();
    }
    // Records the leader that another controller reports. Returns whether this is newer than what
    // was known.
    bool record_report(const std::string& leader, uint64_t fencing_token);
    // The leader that another controller reported last.
    const std::string& reported_leader() const { return reported_leader_; }
    // The fencing token of that leader; 0 if none was reported.
    uint64_t reported_fencing_token() const { return reported_fencing_token_; }

    // Records that the leader responded to this node directly.
    void record_answer();
    // Restarts the time since the leader's last response. Called when the leader responded through
    // a peer or when there is none, as users are not to be sent to other controllers then.
    void reset_silence_timer() { answered_at_ = steady_now(); }
    // Records that the leader with this fencing token did not respond to a request.
    void record_timeout(uint64_t fencing_token) { timed_out_fencing_token_ = fencing_token; }
    // Returns whether a request to the current leader timed out and it has not responded since.
    bool has_timed_out() const {
        return timed_out_fencing_token_ != 0 && timed_out_fencing_token_ == fencing_token();
    }
    // The time of the leader's last response to this node, or of the last reset_silence_timer().
    double answered_at() const { return answered_at_; }

  private:
    bool reported_is_newer() const {
        return reported_fencing_token_ > election_.observed_revision();
    }

    const Election& election_;
    std::string reported_leader_;
    uint64_t reported_fencing_token_ = 0;
    double answered_at_;
    uint64_t timed_out_fencing_token_ = 0;  // 0: none
};

}  // namespace weirmill
