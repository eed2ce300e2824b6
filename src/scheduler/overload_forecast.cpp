#include "scheduler/overload_forecast.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "scheduler/deadline_feasibility.h"

namespace weirmill {

namespace {

// Time constant of the decayed mean of the units that a queue uses, seconds.
constexpr double kUseDecay_s = 30;
// Drain time over target time at which a queue becomes overloaded (half of its waiting work will be
// late in any order) and at which it no longer is (no work needs to be late). The hysteresis keeps
// a load that oscillates around capacity from changing the job order each time. With a threshold at
// the first late job, large jobs missed deadlines that the order by due time would have met.
constexpr double kOverloadedRatio = 2.0;
constexpr double kRelievedRatio = 1.0;

bool uses_gpus(const JobSpec& spec) { return spec.demand.gpu > 0; }

// Returns the GPUs if `gpu`, otherwise the CPUs.
double resource_units(const Resources& r, bool gpu) {
    return static_cast<double>(gpu ? r.gpu : r.cpu) / 1000;
}

// Returns the total capacity of the running and booting machines.
Resources fleet_capacity(const ClusterState& cluster) {
    Resources sum;
    for (auto& m : cluster.machines)
        if (m && !m->abandoned && !m->terminating && m->type < cluster.types.size()) sum += m->size;
    return sum;
}

// Sums over the jobs of one queue.
struct QueueSums {
    QueueForecast forecast;
    bool gpu = false;        // whether its units are GPUs
    double deadlines_s = 0;  // of the waiting jobs
    Priority priority = Priority::Low;
};

// Sums over all jobs. The arrays are indexed by whether the unit is a GPU.
struct DemandSums {
    std::map<QueueKey, QueueSums> queues;
    std::array<std::map<Priority, double>, 2> by_priority;  // units of all placed and pending tasks
    std::array<double, 2> demanded_units{};                 // the same over all priorities
};

void add_job(DemandSums& sums, const ClusterState& cluster, const Job& job) {
    auto& queue_sums = sums.queues[{job.spec.team, job.spec.job_class}];
    auto& queue = queue_sums.forecast;
    bool gpu = uses_gpus(job.spec);
    double units_per_task = resource_units(job.spec.demand, gpu);
    double demanded = units_per_task * (job.placed + job.pending);
    queue.used_units += units_per_task * job.placed;
    queue.demanded_units += demanded;
    queue_sums.gpu = gpu;
    queue_sums.priority = std::max(queue_sums.priority, job.effective_priority);
    sums.by_priority[gpu][job.effective_priority] += demanded;
    if (job.pending == 0) return;
    ++queue.waiting_jobs;
    queue.waiting_work += waiting_work(cluster, job);
    queue_sums.deadlines_s += std::max(0.0, job.spec.deadline_s);
}

DemandSums sum_demand(const ClusterState& cluster) {
    DemandSums sums;
    for (auto& job : cluster.jobs)
        if (job && job->active() && !job->waits_for_dependencies) add_job(sums, cluster, *job);
    for (auto& [key, queue_sums] : sums.queues)
        sums.demanded_units[queue_sums.gpu] += queue_sums.forecast.demanded_units;
    return sums;
}

// Returns the seconds within which users of the queue expect their jobs to be done: the longest
// objective of the class, or the mean deadline of the waiting jobs if the class has none.
double expected_target_s(const ClusterState& cluster, const QueueKey& key,
                         const QueueSums& queue_sums) {
    if (key.job_class < cluster.classes.size() &&
        !cluster.classes[key.job_class].finish_within_s.empty())
        return cluster.classes[key.job_class].finish_within_s.back();
    return queue_sums.forecast.waiting_jobs > 0
               ? queue_sums.deadlines_s / queue_sums.forecast.waiting_jobs
               : 0;
}

// Returns the queue's share of the units that demand of higher priority leaves free. Queues of
// equal priority share them in proportion to their demand.
double units_left_by_higher_priority(const DemandSums& sums, const QueueSums& queue_sums,
                                     double fleet_units) {
    double left = fleet_units, equal_priority = 0;
    for (auto& [priority, demanded_units] : sums.by_priority[queue_sums.gpu]) {
        if (priority > queue_sums.priority) left -= demanded_units;
        if (priority == queue_sums.priority) equal_priority = demanded_units;
    }
    if (equal_priority <= 0) return 0;
    return std::max(0.0, left) * std::min(1.0, queue_sums.forecast.demanded_units / equal_priority);
}

// Sets the units that the queue can count on. `recent`: units that it used recently.
void set_expected_units(QueueForecast& queue, const ClusterState& cluster, const DemandSums& sums,
                        const QueueKey& key, const QueueSums& queue_sums, double fleet_units,
                        double recent) {
    double share = sums.demanded_units[queue_sums.gpu] > 0
                       ? fleet_units * queue.demanded_units / sums.demanded_units[queue_sums.gpu]
                       : 0;
    double left = units_left_by_higher_priority(sums, queue_sums, fleet_units);
    double limit = key.team < cluster.teams.size()
                       ? resource_units(cluster.teams[key.team].limit, queue_sums.gpu)
                       : 0;
    if (limit > 0) {
        share = std::min(share, limit);
        left = std::min(left, limit);
    }
    double used = std::max(queue.used_units, recent);
    queue.expected_units = std::max(share, used);
    queue.units_after_higher_priority = std::max(left, used);
}

}  // namespace

double waiting_work(const ClusterState& cluster, const Job& job) {
    return job.pending * resource_units(job.spec.demand, uses_gpus(job.spec)) *
           std::max(1.0, cluster.expected_run_s(job.spec));
}

std::map<QueueKey, QueueForecast> forecast_queues(const ClusterState& cluster,
                                                  const std::map<QueueKey, double>& recent_use) {
    std::map<QueueKey, QueueForecast> out;
    auto sums = sum_demand(cluster);
    auto fleet = fleet_capacity(cluster);
    for (auto& [key, queue_sums] : sums.queues) {
        auto& queue = out[key] = queue_sums.forecast;
        queue.target_s = expected_target_s(cluster, key, queue_sums);
        auto recent = recent_use.find(key);
        set_expected_units(queue, cluster, sums, key, queue_sums,
                           resource_units(fleet, queue_sums.gpu),
                           recent == recent_use.end() ? 0 : recent->second);
        if (queue.waiting_jobs == 0) continue;
        queue.mean_work = queue.waiting_work / queue.waiting_jobs;
        // Without machines, the drain time is unknown.
        queue.drain_s = queue.expected_units > 0 ? queue.waiting_work / queue.expected_units : 0;
    }
    return out;
}

void OverloadForecast::observe(ClusterState& cluster, double now) {
    queues_ = forecast_queues(cluster, recent_use_);
    learn_use(now);
    mark_abandoned_deadlines(cluster, now);
    mark_overloaded(cluster);
}

void OverloadForecast::learn_use(double now) {
    double decay = last_observed_ > 0 ? std::exp(-(now - last_observed_) / kUseDecay_s) : 0;
    last_observed_ = now;
    for (auto& [key, queue] : queues_) {
        auto& used = recent_use_[key];
        used = used * decay + queue.used_units * (1 - decay);
    }
    std::erase_if(recent_use_, [&](auto& u) { return !queues_.contains(u.first); });
}

void OverloadForecast::mark_abandoned_deadlines(ClusterState& cluster, double now) {
    std::map<QueueKey, std::vector<Index>> jobs_by_queue;
    for (Index j = 0; j < cluster.jobs.size(); ++j)
        if (auto* job = cluster.jobs[j].get(); job && job->active() && !job->waits_for_dependencies)
            jobs_by_queue[{job->spec.team, job->spec.job_class}].push_back(j);
    for (auto& [key, jobs] : jobs_by_queue) {
        auto& queue = queues_[key];
        // If all tasks of the queue fit at once, no job has to wait for another.
        update_abandoned_deadlines(cluster, jobs,
                                   queue.units_after_higher_priority < queue.demanded_units
                                       ? queue.units_after_higher_priority
                                       : 0,
                                   now);
        queue.jobs_abandoning_deadline =
            static_cast<uint32_t>(std::count_if(jobs.begin(), jobs.end(), [&](Index j) {
                return cluster.jobs[j]->abandoned_deadlines > 0;
            }));
    }
}

void OverloadForecast::mark_overloaded(ClusterState& cluster) {
    overloaded_queues_ = 0;
    for (Index c = 0; c < cluster.classes.size(); ++c) {
        auto& by_team = cluster.classes[c].slowdown;
        by_team.resize(cluster.teams.size());
        for (Index t = 0; t < cluster.teams.size(); ++t) {
            by_team[t] = slowdown({t, c}, by_team[t] > 0);
            if (by_team[t] > 0) ++overloaded_queues_;
        }
    }
}

double OverloadForecast::slowdown(const QueueKey& key, bool was_overloaded) const {
    auto it = queues_.find(key);
    if (it == queues_.end()) return 0;
    auto& queue = it->second;
    if (queue.target_s <= 0 || queue.mean_work <= 0) return 0;
    bool overloaded =
        queue.drain_s > queue.target_s * (was_overloaded ? kRelievedRatio : kOverloadedRatio);
    // A job of mean size waits for as long as the queue takes to drain, other jobs in proportion to
    // their work.
    return overloaded ? queue.drain_s / queue.mean_work : 0;
}

size_t OverloadForecast::overloaded_queues() const { return overloaded_queues_; }

}  // namespace weirmill
