#include "liveness/worker_lease.h"

#include <fmt/format.h>

#include <algorithm>

namespace weirmill {

namespace {

constexpr double kGraceShare = 0.85;  // of the time that is left for a grace
constexpr double kGraceMargin_s = 1.0;
constexpr double kGraceHeartbeats = 1.5;  // between an answer's loss and the next heartbeat

// A lease on the worker's clock, as long as it may take on this one, with late timers of all
// requests and answers in between.
double longest_lease(const Settings& s) {
    return s.lease_s * (1 + 2 * kMaxClockDrift) + 4 * kTimerMargin_s;
}

}  // namespace

double answering_grace(const Settings& s) {
    double left = s.cancel_s - s.lease_s * (1 + kMaxClockDrift) -
                  kGraceHeartbeats * s.heartbeat_interval_s - kGraceMargin_s;
    return std::max(0.0, left * kGraceShare);
}

std::string grace_warning(const Settings& s) {
    if (answering_grace(s) > 0) return "";
    return fmt::format(
        "settings: deployment.workers.cancel_s = {} is not above workers.lease_s = {} with margins "
        "(1.5 times "
        "workers.report_s = {}, and a second): an outage of the state service that outlasts the "
        "leader's lease ends the workers' tasks",
        s.cancel_s, s.lease_s, s.heartbeat_interval_s);
}

double earlier_term_expiry(const Settings& s, double won) {
    return won + answering_grace(s) + longest_lease(s);
}

double answered_lease_expiry(const Settings& s, double last_answer) {
    return last_answer + longest_lease(s);
}

double worker_lease_expiry(const Settings& s, const WorkerContact& contact, double won) {
    double last = std::max(contact.last_answer, contact.last_heartbeat);
    double expiry = last > 0 ? answered_lease_expiry(s, last) : 0;
    if (contact.saw_fencing_token) return expiry;
    return std::max(expiry, earlier_term_expiry(s, won));
}

}  // namespace weirmill
