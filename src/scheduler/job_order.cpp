#include "scheduler/job_order.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "scheduler/deadline_feasibility.h"
#include "scheduler/overload_forecast.h"

namespace weirmill {

namespace {

// Less is placed first: not guaranteed, negated priority, beyond the team's guarantee, negated GPUs
// per task, due times missed. Jobs of one rank are equals but for when they are due.
using Rank = std::tuple<bool, int, bool, int64_t, int>;

struct RankedJob {
    // Rank, due time, time of submission, id.
    std::tuple<Rank, double, double, std::string_view> key;
    Index job;
};

struct DueTime {
    double at = 0;   // steady clock, seconds
    int missed = 0;  // earlier due times that are past saving, or given up
};

bool may_be_placed(const Job& job, double now) {
    if (!job.active() || job.waits_for_dependencies || job.pending == 0 || job.not_before > now)
        return false;
    // A gang starts anew only after every task of its old attempt is gone.
    return job.spec.kind != JobKind::Gang || (job.placed == 0 && !job.gang_attempt_ending);
}

// Among equals, those that can still be in time go first, and of them the one due soonest.
DueTime due_time(const ClusterState& cluster, const Job& job, double now) {
    DueTime due;
    due.at = cluster.due_time(job, now + cluster.expected_run_s(job.spec), due.missed);
    // Where they can't all be in time, shorter work goes first, so that as many as can be are; a
    // job waits in proportion to its work at the most, as later ones count from when they came.
    // What others depend on keeps the time by which those need it.
    double slowdown = cluster.slowdown(job.spec);
    if (slowdown > 0 && job.needed_by > kNoDueTime_s) {
        due.missed = 0;
        due.at = job.schedulable_since_steady() + slowdown * waiting_work(cluster, job);
    }
    return due;
}

RankedJob ranked(const ClusterState& cluster, Index index, double now) {
    auto& job = *cluster.jobs[index];
    auto due = due_time(cluster, job, now);
    auto& team = cluster.teams[job.spec.team];
    Rank rank{!job.guaranteed, -static_cast<int>(job.effective_priority),
              !cluster.within_guarantee(team, job.spec.demand), -job.spec.demand.gpu, due.missed};
    return {{rank, due.at, job.submitted_wall, job.spec.id}, index};
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

std::vector<Index> jobs_of(const std::vector<std::vector<Index>>& ranks) {
    std::vector<Index> out;
    for (auto& rank : ranks) out.insert(out.end(), rank.begin(), rank.end());
    return out;
}

std::vector<Index> waiting_jobs(const ClusterState& cluster, double now) {
    return jobs_of(waiting_ranks(cluster, now));
}

}  // namespace weirmill
