// What waits of each team and class against what it is served with, and when it would be served. It
// owns what is learned of that: a decayed mean of what each queue has in use, and which queues are
// pressed. Everything is derived from the tables, so a new leader learns it anew within seconds.
// docs/design-admission.md.
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

struct QueueForecast {
    double waiting =
        0;  // work that waits, in seconds of units: GPUs where a task takes any, else CPUs
    double in_use = 0;        // units that its tasks have
    double wanted = 0;        // units that all its tasks, placed and waiting, would have at once
    uint32_t jobs = 0;        // that wait
    uint32_t abandoning = 0;  // of those, one of their times
    double mean_work = 0;     // of a waiting job, in seconds of units
    double within_s =
        0;  // what its users expect: the last of its class's times, or its jobs' deadlines
    double units =
        0;  // that it may count on: learned, or its part of what the machines and its limit allow
    double left =
        0;  // the same where work of higher priority has all that it wants: what serves it for sure
    double drain_s = 0;  // until what waits now has been served
};

// One look at the tables. `used` is what was learned so far, by queue.
std::map<QueueKey, QueueForecast> forecast(const ClusterState& cluster,
                                           const std::map<QueueKey, double>& used);

class Forecast {
  public:
    // Looks at the tables, learns, and marks pressed queues there. `now` on the steady clock,
    // seconds.
    void observe(ClusterState& cluster, double now);
    const std::map<QueueKey, QueueForecast>& queues() const { return queues_; }
    size_t overloaded() const;

  private:
    std::map<QueueKey, double> used_;
    std::map<QueueKey, QueueForecast> queues_;
    double last_ = 0;
    size_t overloaded_ = 0;
};

// Work that a job still waits with, in seconds of units.
double waiting_work(const ClusterState& cluster, const Job& job);

}  // namespace weirmill
