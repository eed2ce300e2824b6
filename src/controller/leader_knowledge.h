// What this controller knows of the leader: who it is, and whether it answers. A plain record on
// the io_context's one thread; RequestRouter feeds it. Times are seconds of the steady clock.
#pragma once
#include <cstdint>
#include <string>

#include "leadership/election.h"
#include "transport/one_shot.h"

namespace weirmill {

class LeaderKnowledge {
  public:
    // `election` must outlive this.
    explicit LeaderKnowledge(const Election& election)
        : election_(election), answered_at_(steady_now()) {}

    // Who leads as far as this node knows, from the state service or, should that refuse this node
    // alone, from the other controllers; the newer word counts. Empty: nobody.
    const std::string& name() const {
        return reported_is_newer() ? reported_leader_ : election_.leader();
    }
    uint64_t fencing_token() const {
        return reported_is_newer() ? reported_fencing_token_ : election_.fencing_token();
    }
    // Another controller says who leads. False: it is no news.
    bool record_report(const std::string& leader, uint64_t fencing_token);
    // The leader that other controllers named last, and its fencing token; 0: none.
    const std::string& reported_leader() const { return reported_leader_; }
    uint64_t reported_fencing_token() const { return reported_fencing_token_; }

    // The leader answered this node directly.
    void record_answer();
    // It answered through a peer, or there is none to answer: no reason to send users elsewhere.
    void excuse_silence() { answered_at_ = steady_now(); }
    // The leader with this fencing token was asked and did not answer.
    void record_timeout(uint64_t fencing_token) { silent_fencing_token_ = fencing_token; }
    // The present leader was asked, and has not answered since.
    bool is_silent() const {
        return silent_fencing_token_ != 0 && silent_fencing_token_ == fencing_token();
    }
    // When it last answered this node, or was excused.
    double answered_at() const { return answered_at_; }

  private:
    bool reported_is_newer() const {
        return reported_fencing_token_ > election_.observed_revision();
    }

    const Election& election_;
    std::string reported_leader_;
    uint64_t reported_fencing_token_ = 0;
    double answered_at_;
    uint64_t silent_fencing_token_ = 0;  // 0: none
};

}  // namespace weirmill
