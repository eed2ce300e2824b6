#include "liveness/worker_lease.h"

#include <fmt/format.h>

#include <algorithm>

namespace weirmill {

namespace {

constexpr double kGracePeriodShare = 0.85;  // share of the available time that is used
constexpr double kGracePeriodMargin_s = 1.0;
// Maximum number of heartbeat intervals between a lost response and the next heartbeat.
constexpr double kHeartbeatsUntilRetry = 1.5;

// Returns the longest time that a lease on the worker's clock may take on this controller's clock,
// late timers of the requests and responses in between included.
double max_lease_duration_s(const Settings& s) {
    return s.lease_s * (1 + 2 * kMaxClockDrift) + 4 * kTimerMargin_s;
}

}  // namespace

double leader_grace_period(const Settings& s) {
    double available_s = s.cancel_s - s.lease_s * (1 + kMaxClockDrift) -
                         kHeartbeatsUntilRetry * s.heartbeat_interval_s - kGracePeriodMargin_s;
    return std::max(0.0, available_s * kGracePeriodShare);
}

std::string grace_period_warning(const Settings& s) {
    if (leader_grace_period(s) > 0) return "";
    return fmt::format(
        "settings: deployment.workers.cancel_s = {} leaves no time for a grace period, as it must "
        "exceed workers.lease_s = {} plus 1.5 times workers.report_s = {} plus 1 s: an outage of "
        "the state service that outlasts the leader's lease ends the workers' tasks",
        s.cancel_s, s.lease_s, s.heartbeat_interval_s);
}

double previous_terms_expiry(const Settings& s, double won_at) {
    return won_at + leader_grace_period(s) + max_lease_duration_s(s);
}

double answered_lease_expiry(const Settings& s, double last_answer) {
    return last_answer + max_lease_duration_s(s);
}

double worker_lease_expiry(const Settings& s, const WorkerContact& contact, double won_at) {
    double last_contact = std::max(contact.last_answer, contact.last_heartbeat);
    double expiry = last_contact > 0 ? answered_lease_expiry(s, last_contact) : 0;
    if (contact.saw_fencing_token) return expiry;
    return std::max(expiry, previous_terms_expiry(s, won_at));
}

}  // namespace weirmill
