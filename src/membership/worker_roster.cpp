#include "membership/worker_roster.h"

#include <algorithm>

namespace weirmill {

namespace {

constexpr size_t kMaxWorkers = 20000;
constexpr double kMinRelay_s = 10, kMaxRelay_s = 300;
constexpr double kRecentPatiences = 5;   // a redirect is recent for so many patiences of a worker
constexpr int kMaxRedirects = 3;         // in short succession, before its heartbeats are relayed
constexpr double kRelayAgainLeases = 3;  // a relay that ended within so many leases is continued

}  // namespace

WorkerRoster::WorkerRoster(const Settings& settings) : settings_(settings) {}

bool WorkerRoster::redirected_lately(const Worker& w, uint64_t leader, double now) const {
    return w.redirected_to == leader &&
           now - w.redirected_at < kRecentPatiences * settings_.worker_response_timeout_s;
}

// A worker that comes back after its own patience has found the leader silent. Sooner, it was
// turned away, as by a leader that is not ready yet, and is redirected there a few times more.
bool WorkerRoster::came_back(const Worker& w, uint64_t leader, double now) const {
    if (!redirected_lately(w, leader, now)) return false;
    return now - w.redirected_at >= settings_.worker_response_timeout_s ||
           w.redirects >= kMaxRedirects;
}

// From time to time the worker is redirected to the leader again, more rarely each time that it
// comes back.
void WorkerRoster::begin_relay(Worker& w, double now) const {
    bool again = w.relay_until > 0 && now - w.relay_until < kRelayAgainLeases * settings_.lease_s;
    w.relay_span_s = again ? std::min(w.relay_span_s * 2, kMaxRelay_s)
                           : std::max(kMinRelay_s, settings_.lease_s);
    w.relay_until = now + w.relay_span_s;
}

void WorkerRoster::redirect(Worker& w, uint64_t leader, double now) const {
    w.redirects = redirected_lately(w, leader, now) ? w.redirects + 1 : 1;
    w.redirected_to = leader;
    w.redirected_at = now;
}

bool WorkerRoster::should_relay(const std::string& machine, uint64_t seen, uint64_t leader,
                                double now) {
    if (workers_.size() > kMaxWorkers && !workers_.contains(machine)) workers_.clear();
    auto& w = workers_[machine];
    bool relayed = now < w.relay_until;
    // It knows the leader and yet comes here; or it does not, as it was redirected there and came
    // back each time. Redirected again, it could not reach the leader until its lease was over.
    bool knows_leader = seen != 0 && seen >= leader;
    bool stranded = relayed || knows_leader || came_back(w, leader, now);
    if (stranded) {
        w.stranded_at = now;
        w.stranded_with = leader;
    }
    if (leader == 0) return false;
    if (!stranded) redirect(w, leader, now);
    if (stranded && !relayed) begin_relay(w, now);
    return stranded;
}

void WorkerRoster::end_relay(const std::string& machine) {
    auto it = workers_.find(machine);
    if (it == workers_.end()) return;
    it->second.relay_until = 0;
    it->second.relay_span_s = 0;
}

uint32_t WorkerRoster::stranded(uint64_t leader, double window_s, double now) const {
    return static_cast<uint32_t>(std::count_if(workers_.begin(), workers_.end(), [&](auto& w) {
        return now - w.second.stranded_at < window_s &&
               (leader == 0 || w.second.stranded_with == leader);
    }));
}

size_t WorkerRoster::relayed(double now) const {
    return static_cast<size_t>(std::count_if(workers_.begin(), workers_.end(),
                                             [&](auto& w) { return now < w.second.relay_until; }));
}

}  // namespace weirmill
