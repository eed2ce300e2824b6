// Forecasts, for each queue (the jobs of one team and class), the capacity that serves it and the
// time until its waiting work is done.
//
// OverloadForecast owns what is learned from observations: a decayed mean of the units that each
// queue uses, and which queues are overloaded. Everything is derived from the cluster state, so a
// new leader learns it again within seconds. See docs/design-admission.md.
#pragma once
#include <map>
#include <vector>

#include "state/cluster_state.h"

namespace weirmill {

// Identifies a queue. Its jobs share the team's limit and the class's objectives.
struct QueueKey {
    Index team = kNone, job_class = kNone;
    auto operator<=>(const QueueKey&) const = default;
};

// A unit is one GPU if the tasks use GPUs, otherwise one CPU. Work is in unit-seconds.
struct QueueForecast {
    double waiting_work = 0;
    double used_units = 0;      // of placed tasks
    double demanded_units = 0;  // of placed and pending tasks together
    uint32_t waiting_jobs = 0;
    uint32_t jobs_abandoning_deadline = 0;  // waiting jobs that abandon at least one due time
    double mean_work = 0;                   // mean pending work of a waiting job
    // Seconds within which users expect a job to be done: the longest objective of the class, or
    // the mean deadline of the waiting jobs if the class has none.
    double target_s = 0;
    // Units that the queue can count on: its recent use, or its share of the fleet within the
    // team's limit, whichever is larger.
    double expected_units = 0;
    // The same if all demand of higher priority is served first: the units that the queue has in
    // any case.
    double units_after_higher_priority = 0;
    double drain_s = 0;  // seconds until the work that waits now is done
};

// Computes the forecast from one observation of the cluster state. `recent_use`: units that each
// queue used recently.
std::map<QueueKey, QueueForecast> forecast_queues(const ClusterState& cluster,
                                                  const std::map<QueueKey, double>& recent_use);

class OverloadForecast {
  public:
    // Updates the forecast from the cluster state, and stores there which queues are overloaded
    // (JobClass::slowdown) and which due times the jobs abandon. `now`: steady clock, seconds.
    void observe(ClusterState& cluster, double now);
    const std::map<QueueKey, QueueForecast>& queues() const { return queues_; }
    // Returns the number of overloaded queues.
    size_t overloaded_queues() const;

  private:
    void learn_use(double now);
    void mark_abandoned_deadlines(ClusterState& cluster, double now);
    void mark_overloaded(ClusterState& cluster);
    // Returns the seconds that jobs of the queue wait per unit-second of their work, or 0 if the
    // queue is not overloaded.
    double slowdown(const QueueKey& key, bool was_overloaded) const;

    std::map<QueueKey, double> recent_use_;  // units, decayed mean
    std::map<QueueKey, QueueForecast> queues_;
    double last_observed_ = 0;  // steady clock, seconds; 0: never
    size_t overloaded_queues_ = 0;
};

// Returns the pending work of the job, in unit-seconds.
double waiting_work(const ClusterState& cluster, const Job& job);

}  // namespace weirmill
