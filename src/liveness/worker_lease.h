// Computes when the lease of a worker has expired, so that every task on its machine has ended.
//
// A worker ends its tasks once it has received no response for the duration of a lease (the
// protocol, "Workers"). Only the end of that time proves that a task is gone, so all times here are
// upper bounds. Pure functions. Times are in seconds of this controller's steady clock.
#pragma once
#include <string>

#include "config/settings.h"

namespace weirmill {

// Maximum drift between two steady clocks, as a share of the elapsed time.
inline constexpr double kMaxClockDrift = 0.001;
// Allowance for timers that fire late.
inline constexpr double kTimerMargin_s = 0.1;

// Returns how long a leader goes on answering heartbeats after its own lease was last valid, in
// seconds. During that time the tasks outlive an outage of the key-value store. A cancellation that
// the next leader accepts must still end the job in time, so the grace period, lease_s and the
// margins add up to less than cancel_s. 0 means that the settings allow no grace period.
double leader_grace_period(const Settings& s);

// Returns the warning to log at startup if the settings allow no grace period, else an empty
// string.
std::string grace_period_warning(const Settings& s);

// Returns when every task that an earlier leader may have kept alive on a silent machine has ended.
// `won_at` is when this leader won its term.
double previous_terms_expiry(const Settings& s, double won_at);

// Returns when the lease of a worker has expired that this leader last answered at `last_answer`.
// The worker must have seen this leader's fencing token.
double answered_lease_expiry(const Settings& s, double last_answer);

// The last contacts of a worker with this leader. A time of 0 means that there was none yet.
struct WorkerContact {
    double last_heartbeat = 0, last_answer = 0;
    bool saw_fencing_token = false;  // the worker is known to have seen this leader's token
};

// Returns when every task on the machine has ended unless its worker sends another heartbeat. A
// heartbeat whose response is still held back counts as answered: without that, a machine could
// count as gone while its first heartbeat was waiting for its response.
double worker_lease_expiry(const Settings& s, const WorkerContact& contact, double won_at);

}  // namespace weirmill
