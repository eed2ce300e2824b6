#include "membership/worker_roster.h"

#include <algorithm>

namespace weirmill {

namespace {

constexpr size_t kMaxWorkers = 20000;
constexpr double kMinRelay_s = 10, kMaxRelay_s = 300;
// A worker that comes back after its own patience has found the leader silent; sooner, it was
// turned away, as by one that is not ready yet, and is sent there again at first.
constexpr double kRecentVisits = 5;  // in such patiences
constexpr int kTurnedAway = 3;

}  // namespace

WorkerRoster::WorkerRoster(const Settings& settings) : settings_(settings) {}

bool WorkerRoster::relays(const std::string& machine, uint64_t seen, uint64_t leader, double now) {
    if (workers_.size() > kMaxWorkers && !workers_.count(machine)) workers_.clear();
    auto& w = workers_[machine];
    bool relayed = now < w.relay_until;
    bool stranded = relayed;
    if (!relayed) {
        // It knows the leader and yet comes here; or it does not, as it was sent there and came
        // back each time. Those used to be sent back to a leader that they could not reach until
        // their lease was over.
        bool back = w.sent == leader &&
                    now - w.sent_at < kRecentVisits * settings_.worker_patience_s &&
                    (now - w.sent_at >= settings_.worker_patience_s || w.times >= kTurnedAway);
        stranded = (seen != 0 && seen >= leader) || back;
    }
    if (stranded) {
        w.stranded_at = now;
        w.stranded = leader;
    }
    if (leader == 0) return false;
    if (stranded && !relayed) {
        // From time to time it is sent to the leader again, more rarely each time that it comes
        // back.
        bool again = w.relay_until > 0 && now - w.relay_until < 3 * settings_.lease_s;
        w.relay_span = again ? std::min(w.relay_span * 2, kMaxRelay_s)
                             : std::max(kMinRelay_s, settings_.lease_s);
        w.relay_until = now + w.relay_span;
    }
    if (!stranded) {
        w.times = w.sent == leader && now - w.sent_at < kRecentVisits * settings_.worker_patience_s
                      ? w.times + 1
                      : 1;
        w.sent = leader;
        w.sent_at = now;
    }
    return stranded;
}

void WorkerRoster::gave_up(const std::string& machine) {
    if (auto it = workers_.find(machine); it != workers_.end())
        it->second.relay_until = it->second.relay_span = 0;
}

uint32_t WorkerRoster::stranded(uint64_t leader, double window_s, double now) const {
    return static_cast<uint32_t>(std::count_if(workers_.begin(), workers_.end(), [&](auto& w) {
        return now - w.second.stranded_at < window_s &&
               (leader == 0 || w.second.stranded == leader);
    }));
}

size_t WorkerRoster::relayed(double now) const {
    return static_cast<size_t>(std::count_if(workers_.begin(), workers_.end(),
                                             [&](auto& w) { return now < w.second.relay_until; }));
}

}  // namespace weirmill
