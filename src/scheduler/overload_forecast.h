// What waits of each team and class against what it is served with, and when it would be served.
// Owns what is learned of that: a decayed mean of what each queue has in use, and which queues are
// overloaded. Everything is derived from the cluster state, so a new leader learns it anew within
// seconds. docs/design-admission.md.
#pragma once
#include <map>
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// Jobs of one team and class: they share a limit, and what their users expect.
struct QueueKey {
    Index team = kNone, job_class = kNone;
    auto operator<=>(const QueueKey&) const = default;
};

// Work is in seconds of units. A unit is a GPU where tasks take any, else a CPU.
struct QueueForecast {
    double waiting = 0;       // work that waits
    double in_use = 0;        // units that its tasks have
    double wanted = 0;        // units that all its tasks, placed and waiting, would have at once
    uint32_t jobs = 0;        // that wait
    uint32_t abandoning = 0;  // of those, jobs that have given up a due time
    double mean_work = 0;     // of a waiting job
    // What its users expect: the last of its class's times, or its jobs' mean deadline.
    double within_s = 0;
    // That it may count on: learned, or its part of what the machines and its limit allow.
    double units = 0;
    // The same where work of higher priority has all that it wants: what serves it in any case.
    double left = 0;
    double drain_s = 0;  // until what waits now has been served
};

// One look at the cluster state. `used`: units that each queue had in use lately.
std::map<QueueKey, QueueForecast> forecast(const ClusterState& cluster,
                                           const std::map<QueueKey, double>& used);

class Forecast {
  public:
    // Looks at the cluster state, learns, and marks there overloaded queues (JobClass::slowdown)
    // and the due times that jobs give up. `now`: steady clock, seconds.
    void observe(ClusterState& cluster, double now);
    const std::map<QueueKey, QueueForecast>& queues() const { return queues_; }
    // Queues that are overloaded.
    size_t overloaded() const;

  private:
    void learn_use(double now);
    void mark_abandoned_deadlines(ClusterState& cluster, double now);
    void mark_overloaded(ClusterState& cluster);
    // Seconds that jobs of the queue wait for each unit of their work; 0: it is not overloaded.
    double slowdown(const QueueKey& key, bool was_overloaded) const;

    std::map<QueueKey, double> used_;
    std::map<QueueKey, QueueForecast> queues_;
    double last_ = 0;  // time of the last look
    size_t overloaded_ = 0;
};

// Work that a job still waits with, in seconds of units.
double waiting_work(const ClusterState& cluster, const Job& job);

}  // namespace weirmill
