// A leadership term, that is, the time for which one controller may act as leader, and the
// validity of the lease that bounds it. Plain data and pure functions. Times are in seconds of this
// controller's steady clock.
#pragma once
#include <cstdint>
#include <optional>

#include "leadership/leadership_transfer.h"
#include "liveness/worker_lease.h"

namespace weirmill {

// One term of this controller. Election owns it and shares it with the leader of that term; both
// run on the single thread of the io_context.
struct LeadershipTerm {
    uint64_t fencing_token = 0;    // version of the leader key when the term was won
    uint64_t lease = 0;            // lease that the leader key is attached to
    double won_at = 0;             // no earlier leader held a lease after this
    double lease_valid_until = 0;  // no other leader can exist before this time
    bool ended = false;            // never reset: another leader may exist
    std::optional<TransferRecord> transferred_to;  // set if the term ends with a transfer
};

// Returns until when the holder may rely on a lease of `lease_s`. The time counts from the start of
// the request that confirmed the lease, as the key-value store may have executed that request at
// any moment since. It allows for the drift between the two clocks.
inline double lease_valid_until(double requested_at, double lease_s) {
    return requested_at + lease_s * (1 - kMaxClockDrift) - kTimerMargin_s;
}

}  // namespace weirmill
