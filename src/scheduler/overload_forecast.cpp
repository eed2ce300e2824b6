#include "scheduler/overload_forecast.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "scheduler/deadline_feasibility.h"

namespace weirmill {

namespace {

constexpr double kLearn_s = 30;  // time constant of what a queue has in use
// A queue is overloaded once half of what waits will be late in whatever order, and until none of
// it need be: between the two it stays what it was, so that a load that swings around capacity does
// not change the order each time. Marked at the first late job, large jobs lost deadlines that the
// order by due times would have kept.
constexpr double kOverloaded = 2.0;
constexpr double kRelieved = 1.0;

bool by_gpu(const JobSpec& spec) { return spec.demand.gpu > 0; }

// GPUs, or CPUs where tasks take none.
double units(const Resources& r, bool gpu) {
    return static_cast<double>(gpu ? r.gpu : r.cpu) / 1000;
}

// What the machines that are there or coming up have.
Resources fleet_size(const ClusterState& cluster) {
    Resources sum;
    for (auto& m : cluster.machines)
        if (m && !m->abandoned && !m->terminating && m->type < cluster.types.size()) sum += m->size;
    return sum;
}

// Sums over the jobs of one queue.
struct QueueSums {
    QueueForecast queue;
    bool gpu = false;        // its units are GPUs
    double deadlines_s = 0;  // of the jobs that wait
    Priority priority = Priority::Low;
};

// Sums over all jobs; those by unit are indexed by whether it is a GPU.
struct DemandSums {
    std::map<QueueKey, QueueSums> queues;
    std::array<std::map<Priority, double>, 2> by_priority;  // units of all tasks, placed or not
    std::array<double, 2> wanted{};                         // the same of all queues
};

void add_job(DemandSums& sums, const ClusterState& cluster, const Job& job) {
    auto& s = sums.queues[{job.spec.team, job.spec.job_class}];
    auto& q = s.queue;
    bool gpu = by_gpu(job.spec);
    double each = units(job.spec.demand, gpu);
    double all = each * (job.placed + job.pending);
    q.in_use += each * job.placed;
    q.wanted += all;
    s.gpu = gpu;
    s.priority = std::max(s.priority, job.effective_priority);
    sums.by_priority[gpu][job.effective_priority] += all;
    if (job.pending == 0) return;
    ++q.jobs;
    q.waiting += waiting_work(cluster, job);
    s.deadlines_s += std::max(0.0, job.spec.deadline_s);
}

DemandSums sum_demand(const ClusterState& cluster) {
    DemandSums sums;
    for (auto& job : cluster.jobs)
        if (job && job->active() && !job->waits_for_dependencies) add_job(sums, cluster, *job);
    for (auto& [key, s] : sums.queues) sums.wanted[s.gpu] += s.queue.wanted;
    return sums;
}

// Within what time the users of the queue expect their jobs: the last of the class's times, else
// the mean deadline of those that wait.
double expected_within_s(const ClusterState& cluster, const QueueKey& key, const QueueSums& s) {
    if (key.job_class < cluster.classes.size() &&
        !cluster.classes[key.job_class].finish_within_s.empty())
        return cluster.classes[key.job_class].finish_within_s.back();
    return s.queue.jobs > 0 ? s.deadlines_s / s.queue.jobs : 0;
}

// The queue's part of what work of higher priority leaves of the fleet, shared with its equals in
// proportion to what each wants.
double left_by_higher_priority(const DemandSums& sums, const QueueSums& s, double fleet) {
    double left = fleet, equals = 0;
    for (auto& [priority, wanted] : sums.by_priority[s.gpu]) {
        if (priority > s.priority) left -= wanted;
        if (priority == s.priority) equals = wanted;
    }
    return equals > 0 ? std::max(0.0, left) * std::min(1.0, s.queue.wanted / equals) : 0;
}

// Sets what the queue may count on. `learned`: what it had in use lately.
void set_units(QueueForecast& q, const ClusterState& cluster, const DemandSums& sums,
               const QueueKey& key, const QueueSums& s, double fleet, double learned) {
    double part = sums.wanted[s.gpu] > 0 ? fleet * q.wanted / sums.wanted[s.gpu] : 0;
    double left = left_by_higher_priority(sums, s, fleet);
    double limit =
        key.team < cluster.teams.size() ? units(cluster.teams[key.team].limit, s.gpu) : 0;
    if (limit > 0) {
        part = std::min(part, limit);
        left = std::min(left, limit);
    }
    double had = std::max(q.in_use, learned);
    q.units = std::max(part, had);
    q.left = std::max(left, had);
}

}  // namespace

double waiting_work(const ClusterState& cluster, const Job& job) {
    return job.pending * units(job.spec.demand, by_gpu(job.spec)) *
           std::max(1.0, cluster.expected_run_s(job.spec));
}

std::map<QueueKey, QueueForecast> forecast(const ClusterState& cluster,
                                           const std::map<QueueKey, double>& used) {
    std::map<QueueKey, QueueForecast> out;
    auto sums = sum_demand(cluster);
    auto fleet = fleet_size(cluster);
    for (auto& [key, s] : sums.queues) {
        auto& q = out[key] = s.queue;
        q.within_s = expected_within_s(cluster, key, s);
        auto learned = used.find(key);
        set_units(q, cluster, sums, key, s, units(fleet, s.gpu),
                  learned == used.end() ? 0 : learned->second);
        if (q.jobs == 0) continue;
        q.mean_work = q.waiting / q.jobs;
        q.drain_s = q.units > 0 ? q.waiting / q.units : 0;  // no machine yet: nothing is known
    }
    return out;
}

void Forecast::observe(ClusterState& cluster, double now) {
    queues_ = forecast(cluster, used_);
    learn_use(now);
    mark_abandoned_deadlines(cluster, now);
    mark_overloaded(cluster);
}

void Forecast::learn_use(double now) {
    double keep = last_ > 0 ? std::exp(-(now - last_) / kLearn_s) : 0;
    last_ = now;
    for (auto& [key, q] : queues_) {
        auto& used = used_[key];
        used = used * keep + q.in_use * (1 - keep);
    }
    std::erase_if(used_, [&](auto& u) { return !queues_.contains(u.first); });
}

void Forecast::mark_abandoned_deadlines(ClusterState& cluster, double now) {
    std::map<QueueKey, std::vector<Index>> jobs_of;
    for (Index j = 0; j < cluster.jobs.size(); ++j)
        if (auto* job = cluster.jobs[j].get(); job && job->active() && !job->waits_for_dependencies)
            jobs_of[{job->spec.team, job->spec.job_class}].push_back(j);
    for (auto& [key, jobs] : jobs_of) {
        auto& q = queues_[key];
        // Where all of it fits at once, none waits for another.
        abandon_deadlines(cluster, jobs, q.left < q.wanted ? q.left : 0, now);
        q.abandoning = static_cast<uint32_t>(std::count_if(jobs.begin(), jobs.end(), [&](Index j) {
            return cluster.jobs[j]->abandoned_deadlines > 0;
        }));
    }
}

void Forecast::mark_overloaded(ClusterState& cluster) {
    overloaded_ = 0;
    for (Index c = 0; c < cluster.classes.size(); ++c) {
        auto& by_team = cluster.classes[c].slowdown;
        by_team.resize(cluster.teams.size());
        for (Index t = 0; t < cluster.teams.size(); ++t) {
            by_team[t] = slowdown({t, c}, by_team[t] > 0);
            if (by_team[t] > 0) ++overloaded_;
        }
    }
}

double Forecast::slowdown(const QueueKey& key, bool was_overloaded) const {
    auto it = queues_.find(key);
    if (it == queues_.end()) return 0;
    auto& q = it->second;
    if (q.within_s <= 0 || q.mean_work <= 0) return 0;
    bool overloaded = q.drain_s > q.within_s * (was_overloaded ? kRelieved : kOverloaded);
    // A job of mean size waits as long as the queue takes to drain, others in proportion to their
    // work.
    return overloaded ? q.drain_s / q.mean_work : 0;
}

size_t Forecast::overloaded() const { return overloaded_; }

}  // namespace weirmill
