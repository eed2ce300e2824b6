#include "controller/leader_knowledge.h"

#include <algorithm>

namespace weirmill {

bool LeaderKnowledge::record_report(const std::string& leader, uint64_t fencing_token) {
    bool news = fencing_token > std::max(reported_fencing_token_, election_.observed_revision());
    if (!news || leader.empty()) return false;
    reported_leader_ = leader;
    reported_fencing_token_ = fencing_token;
    return true;
}

void LeaderKnowledge::record_answer() {
    answered_at_ = steady_now();
    silent_fencing_token_ = 0;
}

}  // namespace weirmill
