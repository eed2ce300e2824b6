#include "controller/leader_tracker.h"

#include <algorithm>

namespace weirmill {

bool LeaderTracker::record_report(const std::string& leader, uint64_t fencing_token) {
    bool is_newer =
        fencing_token > std::max(reported_fencing_token_, election_.observed_revision());
    if (!is_newer || leader.empty()) return false;
    reported_leader_ = leader;
    reported_fencing_token_ = fencing_token;
    return true;
}

void LeaderTracker::record_answer() {
    answered_at_ = steady_now();
    timed_out_fencing_token_ = 0;
}

}  // namespace weirmill
