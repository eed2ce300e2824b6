#include "scheduler/job_order.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "scheduler/deadline_feasibility.h"
#include "scheduler/overload_forecast.h"

namespace weirmill {

namespace {

// The smallest rank is placed first. Its components: not guaranteed, negated priority, beyond the
// team's guarantee, negated GPUs per task, number of missed due times. Within a rank, jobs are
// ordered by due time.
using Rank = std::tuple<bool, int, bool, int64_t, int>;

struct RankedJob {
    // Rank, due time, submission time, id.
    std::tuple<Rank, double, double, std::string_view> key;
    Index job;
};

struct EffectiveDueTime {
    double at_s = 0;  // steady clock, seconds
    int missed = 0;   // earlier due times that can no longer be met or are abandoned
};

bool may_be_placed(const Job& job, double now) {
    if (!job.active() || job.waits_for_dependencies || job.pending == 0 || job.not_before > now)
        return false;
    // A gang is placed again only after every task of its previous attempt has ended.
    return job.spec.kind != JobKind::Gang || (job.placed == 0 && !job.gang_attempt_ending);
}

// Returns the due time that orders the job among its equals: jobs with fewer missed due times come
// first, then the one that is due earliest.
EffectiveDueTime effective_due_time(const ClusterState& cluster, const Job& job, double now) {
    EffectiveDueTime due;
    due.at_s = cluster.due_time(job, now + cluster.expected_run_s(job.spec), due.missed);
    // In an overloaded queue, smaller jobs are placed first, so that as many jobs as possible
    // finish in time. The due time counts from the job's arrival, so that its wait is bounded in
    // proportion to its work. A job with dependants keeps the time by which these need it.
    double slowdown = cluster.slowdown(job.spec);
    if (slowdown > 0 && job.needed_by > kLatestTime) {
        due.missed = 0;
        due.at_s = job.schedulable_since_steady() + slowdown * waiting_work(cluster, job);
    }
    return due;
}

RankedJob ranked(const ClusterState& cluster, Index index, double now) {
    auto& job = *cluster.jobs[index];
    auto due = effective_due_time(cluster, job, now);
    auto& team = cluster.teams[job.spec.team];
    Rank rank{!job.guaranteed, -static_cast<int>(job.effective_priority),
              !cluster.within_guarantee(team, job.spec.demand), -job.spec.demand.gpu, due.missed};
    return {{rank, due.at_s, job.submitted_wall, job.spec.id}, index};
}

}  // namespace

std::vector<std::vector<Index>> waiting_ranks(const ClusterState& cluster, double now) {
    std::vector<RankedJob> jobs;
    for (Index j = 0; j < cluster.jobs.size(); ++j) {
        auto* job = cluster.jobs[j].get();
        if (job && may_be_placed(*job, now)) jobs.push_back(ranked(cluster, j, now));
    }
    std::ranges::sort(jobs, [](auto& a, auto& b) { return a.key < b.key; });
    std::vector<std::vector<Index>> out;
    const Rank* previous = nullptr;
    for (auto& job : jobs) {
        auto& rank = std::get<0>(job.key);
        if (!previous || rank != *previous) out.emplace_back();
        out.back().push_back(job.job);
        previous = &rank;
    }
    return out;
}

std::vector<Index> flatten_ranks(const std::vector<std::vector<Index>>& ranks) {
    std::vector<Index> out;
    for (auto& rank : ranks) out.insert(out.end(), rank.begin(), rank.end());
    return out;
}

std::vector<Index> waiting_jobs(const ClusterState& cluster, double now) {
    return flatten_ranks(waiting_ranks(cluster, now));
}

}  // namespace weirmill
