// When the lease of a worker has run out, so that all that may have run on its machine is gone.
//
// A worker ends its tasks once it has had no answer for a lease (the protocol, "Workers"). Only the
// passing of that time proves that a task is gone; all bounds here are on the safe side of it. Pure
// functions. Times are of this controller's steady clock, spans in seconds.
#pragma once
#include <string>

#include "config/settings.h"

namespace weirmill {

// How far a steady clock may run from another, as a share, and room for timers that fire late.
inline constexpr double kMaxClockDrift = 0.001;
inline constexpr double kTimerMargin_s = 0.1;

// How long a leader whose own lease is not confirmed goes on answering heartbeats, so that work
// outlives an outage of the key-value store. A cancellation that the next leader accepts must still
// end the job in time: grace + lease_s + margins < cancel_s. 0: no grace.
double answering_grace(const Settings& s);

// Logged at start where the settings leave no time for a grace; empty: they do.
std::string grace_warning(const Settings& s);

// When everything that an earlier leader may have kept alive on a silent machine is gone. `won`:
// when this leader won its lease.
double earlier_term_expiry(const Settings& s, double won);

// When the lease of a worker last answered by this leader, and that had seen its fencing token, has
// run out.
double answered_lease_expiry(const Settings& s, double last_answer);

// A worker's last contacts with this leader; 0: none yet.
struct WorkerContact {
    double last_heartbeat = 0, last_answer = 0;
    bool saw_fencing_token = false;  // the worker is known to have seen this leader's
};

// When all that may be on a machine is certainly gone, unless its worker sends another heartbeat. A
// heartbeat that waits for its answer counts like an answered one: a machine was once taken for
// gone while its first heartbeat was held.
double worker_lease_expiry(const Settings& s, const WorkerContact& contact, double won);

}  // namespace weirmill
