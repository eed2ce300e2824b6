#include "membership/worker_roster.h"

#include <algorithm>

namespace weirmill {

namespace {

constexpr size_t kMaxWorkers = 20000;
constexpr double kMinRelay_s = 10, kMaxRelay_s = 300;
// A redirect is recent for this multiple of a worker's response timeout.
constexpr double kRecentRedirectTimeouts = 5;
// Redirects in short succession before the heartbeats of a worker are relayed.
constexpr int kMaxRedirects = 3;
// A relay that starts within this multiple of a lease after the previous one continues that one.
constexpr double kRelayRenewalLeases = 3;

}  // namespace

WorkerRoster::WorkerRoster(const Settings& settings) : settings_(settings) {}

bool WorkerRoster::recently_redirected(const Worker& worker, uint64_t leader_token,
                                       double now) const {
    return worker.redirected_to_token == leader_token &&
           now - worker.redirected_at <
               kRecentRedirectTimeouts * settings_.worker_response_timeout_s;
}

// Returns whether the worker reports here again because it can't use the leader. If it does so
// after its response timeout or later, the leader did not respond to it. If it does so sooner, the
// leader refused it, for example because the leader was not ready yet; such a worker is redirected
// a few more times.
bool WorkerRoster::returned_after_redirect(const Worker& worker, uint64_t leader_token,
                                           double now) const {
    if (!recently_redirected(worker, leader_token, now)) return false;
    return now - worker.redirected_at >= settings_.worker_response_timeout_s ||
           worker.redirects >= kMaxRedirects;
}

// Starts a relay of limited duration, after which the worker is redirected to the leader again. The
// duration doubles each time that the worker reports here again.
void WorkerRoster::begin_relay(Worker& worker, uint64_t leader_token, double now) const {
    bool continued = worker.relay_until > 0 &&
                     now - worker.relay_until < kRelayRenewalLeases * settings_.lease_s;
    worker.relay_duration_s = continued ? std::min(worker.relay_duration_s * 2, kMaxRelay_s)
                                        : std::max(kMinRelay_s, settings_.lease_s);
    worker.relay_until = now + worker.relay_duration_s;
    worker.relay_leader_token = leader_token;
}

void WorkerRoster::redirect(Worker& worker, uint64_t leader_token, double now) const {
    worker.redirects = recently_redirected(worker, leader_token, now) ? worker.redirects + 1 : 1;
    worker.redirected_to_token = leader_token;
    worker.redirected_at = now;
}

void WorkerRoster::reset_relay(Worker& worker) {
    worker.relay_until = 0;
    worker.relay_duration_s = 0;
}

bool WorkerRoster::should_relay(const std::string& machine, uint64_t worker_token,
                                uint64_t leader_token, double now) {
    if (workers_.size() > kMaxWorkers && !workers_.contains(machine)) workers_.clear();
    auto& worker = workers_[machine];
    // A worker that could not use an earlier leader has not tried this one yet.
    if (leader_token != 0 && worker.relay_leader_token != leader_token) reset_relay(worker);
    bool relayed = now < worker.relay_until;
    // The worker can't use the leader if it knows the leader and still reports here, or if it was
    // redirected and returned. If such a worker were redirected again, it would reach no leader
    // until its lease had expired.
    bool knows_leader = worker_token != 0 && worker_token >= leader_token;
    bool leader_unreachable =
        relayed || knows_leader || returned_after_redirect(worker, leader_token, now);
    if (leader_unreachable) {
        worker.leader_unreachable_at = now;
        worker.unreachable_leader_token = leader_token;
    }
    if (leader_token == 0) return false;
    if (!leader_unreachable) redirect(worker, leader_token, now);
    if (leader_unreachable && !relayed) begin_relay(worker, leader_token, now);
    return leader_unreachable;
}

void WorkerRoster::end_relay(const std::string& machine) {
    auto it = workers_.find(machine);
    if (it == workers_.end()) return;
    reset_relay(it->second);
}

uint32_t WorkerRoster::workers_without_leader(uint64_t leader_token, double window_s,
                                              double now) const {
    return static_cast<uint32_t>(std::count_if(workers_.begin(), workers_.end(), [&](auto& entry) {
        return now - entry.second.leader_unreachable_at < window_s &&
               (leader_token == 0 || entry.second.unreachable_leader_token == leader_token);
    }));
}

size_t WorkerRoster::relayed_workers(double now) const {
    return static_cast<size_t>(std::count_if(workers_.begin(), workers_.end(), [&](auto& entry) {
        return now < entry.second.relay_until;
    }));
}

}  // namespace weirmill
