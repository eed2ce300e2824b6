#include "scheduler/overload_forecast.h"

#include <algorithm>
#include <cmath>

#include "scheduler/deadline_feasibility.h"

namespace weirmill {

namespace {

constexpr double kLearn_s = 30;  // time constant of what a queue has in use
// A queue is pressed once half of what waits will be late in whatever order, and until none of it
// need be: between the two it stays what it was, so that a load that swings around capacity does
// not change the order each time. Pressed at the first late job, large jobs lost deadlines that the
// order by due times would have kept.
constexpr double kPressed = 2.0, kRelieved = 1.0;

bool by_gpu(const JobSpec& spec) { return spec.demand.gpu > 0; }
double units(const Resources& r, bool gpu) {
    return static_cast<double>(gpu ? r.gpu : r.cpu) / 1000;
}

// What the machines that are there or coming up have of it.
Resources machines_have(const ClusterState& cluster) {
    Resources sum;
    for (auto& m : cluster.machines)
        if (m && !m->abandoned && !m->terminating && m->type < cluster.types.size()) sum += m->size;
    return sum;
}

}  // namespace

double waiting_work(const ClusterState& cluster, const Job& job) {
    return job.pending * units(job.spec.demand, by_gpu(job.spec)) *
           std::max(1.0, cluster.expected_run_s(job.spec));
}

std::map<QueueKey, QueueForecast> forecast(const ClusterState& cluster,
                                           const std::map<QueueKey, double>& used) {
    std::map<QueueKey, QueueForecast> out;
    std::map<QueueKey, std::pair<bool, double>>
        deadlines;  // GPUs; sum of the waiting jobs' deadlines
    std::map<QueueKey, Priority> priorities;
    std::map<Priority, double>
        by_priority[2];  // units that all tasks of a priority would have at once
    for (auto& job : cluster.jobs) {
        if (!job || !job->active() || job->waits) continue;
        QueueKey key{job->spec.team, job->spec.job_class};
        bool gpu = by_gpu(job->spec);
        auto& q = out[key];
        double each = units(job->spec.demand, gpu);
        q.in_use += each * job->placed;
        q.wanted += each * (job->placed + job->pending);
        auto& d = deadlines[key];
        d.first = gpu;
        auto& priority = priorities.emplace(key, job->priority).first->second;
        priority = std::max(priority, job->priority);
        by_priority[gpu][job->priority] += each * (job->placed + job->pending);
        if (job->pending == 0) continue;
        ++q.jobs;
        q.waiting += waiting_work(cluster, *job);
        d.second += std::max(0.0, job->spec.deadline_s);
    }
    auto have = machines_have(cluster);
    double wanted[2] = {0, 0};
    for (auto& [key, q] : out) wanted[deadlines[key].first] += q.wanted;
    for (auto& [key, q] : out) {
        auto [gpu, sum] = deadlines[key];
        if (key.job_class < cluster.classes.size() &&
            !cluster.classes[key.job_class].done_within_s.empty())
            q.within_s = cluster.classes[key.job_class].done_within_s.back();
        else if (q.jobs > 0)
            q.within_s = sum / q.jobs;
        double part = wanted[gpu] > 0 ? units(have, gpu) * q.wanted / wanted[gpu] : 0;
        double left = units(have, gpu), equals = 0;
        for (auto& [priority, sum_of] : by_priority[gpu]) {
            if (priority > priorities[key]) left -= sum_of;
            if (priority == priorities[key]) equals = sum_of;
        }
        left = equals > 0 ? std::max(0.0, left) * std::min(1.0, q.wanted / equals) : 0;
        double limit =
            key.team < cluster.teams.size() ? units(cluster.teams[key.team].limit, gpu) : 0;
        if (limit > 0) part = std::min(part, limit), left = std::min(left, limit);
        auto learned = used.find(key);
        double had = std::max(q.in_use, learned == used.end() ? 0 : learned->second);
        q.units = std::max(part, had);
        q.left = std::max(left, had);
        if (q.jobs == 0) continue;
        q.mean_work = q.waiting / q.jobs;
        q.drain_s = q.units > 0 ? q.waiting / q.units : 0;  // no machine yet: nothing is known
    }
    return out;
}

void Forecast::observe(ClusterState& cluster, double now) {
    queues_ = forecast(cluster, used_);
    double keep = last_ > 0 ? std::exp(-(now - last_) / kLearn_s) : 0;
    last_ = now;
    for (auto& [key, q] : queues_) {
        auto& used = used_[key];
        used = used * keep + q.in_use * (1 - keep);
    }
    std::erase_if(used_, [&](auto& u) { return !queues_.count(u.first); });
    overloaded_ = 0;
    std::map<QueueKey, std::vector<Index>> waiting;
    for (Index j = 0; j < cluster.jobs.size(); ++j)
        if (auto* job = cluster.jobs[j].get(); job && job->active() && !job->waits)
            waiting[{job->spec.team, job->spec.job_class}].push_back(j);
    for (auto& [key, jobs] : waiting) {
        auto& q = queues_[key];
        // Where all of it fits at once, none waits for another.
        abandon_deadlines(cluster, jobs, q.left < q.wanted ? q.left : 0, now);
        q.abandoning = static_cast<uint32_t>(std::count_if(jobs.begin(), jobs.end(), [&](Index j) {
            return cluster.jobs[j]->abandoned_deadlines > 0;
        }));
    }
    for (Index c = 0; c < cluster.classes.size(); ++c) {
        auto& by_team = cluster.classes[c].slowdown;
        by_team.resize(cluster.teams.size());
        for (Index t = 0; t < cluster.teams.size(); ++t) {
            auto it = queues_.find({t, c});
            auto& slowdown = by_team[t];
            bool was = slowdown > 0;
            slowdown = 0;
            if (it == queues_.end() || it->second.within_s <= 0 || it->second.mean_work <= 0)
                continue;
            auto& q = it->second;
            bool now_pressed = q.drain_s > q.within_s * (was ? kRelieved : kPressed);
            if (!now_pressed) continue;
            // A job of mean size waits as long as the queue takes to drain, others in proportion to
            // their work.
            slowdown = q.drain_s / q.mean_work;
            ++overloaded_;
        }
    }
}

size_t Forecast::overloaded() const { return overloaded_; }

}  // namespace weirmill
