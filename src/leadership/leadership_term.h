// A leadership term: the time for which one controller may act as leader, and the arithmetic of the
// lease that bounds it. Pure data and functions; times are seconds of this node's steady clock.
#pragma once
#include <cstdint>
#include <optional>

#include "leadership/leadership_transfer.h"
#include "liveness/worker_lease.h"

namespace weirmill {

// One term of this controller. Election owns it and shares it with the leader of that term; both
// run in one io_context, on one thread.
struct LeadershipTerm {
    uint64_t fencing_token = 0;                    // version of the leader key when it was won
    uint64_t lease = 0;                            // that the leader key is attached to
    double won = 0;                                // no earlier leader held the lease after this
    double lease_valid_until = 0;                  // before this no other leader can exist
    bool ended = false;                            // for good: another leader may exist
    std::optional<TransferRecord> transferred_to;  // set where the term ends by a transfer
};

// Until when a lease of `lease_s` is valid for its holder, whatever the drift of the two clocks. It
// counts from the start of the request that confirmed it: the state service may have executed the
// request at any time since.
inline double lease_valid_until(double request_started, double lease_s) {
    return request_started + lease_s * (1 - kMaxClockDrift) - kTimerMargin_s;
}

}  // namespace weirmill
