#include "scheduler/deadline_feasibility.h"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

#include "scheduler/overload_forecast.h"

namespace weirmill {

std::vector<Index> select_late_jobs(std::vector<DeadlineCandidate> jobs, double units,
                                    double earlier_work) {
    std::vector<Index> late;
    if (units <= 0) return late;  // without machines, the capacity is not known
    std::ranges::sort(jobs, [](auto& a, auto& b) {
        return std::tie(a.start_within_s, a.job) < std::tie(b.start_within_s, b.job);
    });
    auto less_work = [](const DeadlineCandidate& a, const DeadlineCandidate& b) {
        return std::tie(a.work, a.job) < std::tie(b.work, b.job);
    };
    std::priority_queue<DeadlineCandidate, std::vector<DeadlineCandidate>, decltype(less_work)>
        kept(less_work);
    double total_work = earlier_work;
    for (auto& c : jobs) {
        total_work += c.work;
        kept.push(c);
        if (total_work <= c.start_within_s * units) continue;
        total_work -= kept.top().work;
        late.push_back(kept.top().job);
        kept.pop();
    }
    return late;
}

namespace {

// Returns the jobs whose first due time that they can still meet is at position `position`.
std::vector<DeadlineCandidate> candidates_for_due_time(const ClusterState& cluster,
                                                       const std::vector<Index>& jobs,
                                                       size_t position, double now) {
    std::vector<DeadlineCandidate> out;
    for (auto j : jobs) {
        auto& job = *cluster.jobs[j];
        double run_s = cluster.expected_run_s(job.spec);
        int missed = 0;
        double due = cluster.due_time(job, now + run_s, missed);
        if (due > kLatestTime || missed != static_cast<int>(position)) continue;
        out.push_back({j, waiting_work(cluster, job), due - run_s - now});
    }
    return out;
}

}  // namespace

void update_abandoned_deadlines(ClusterState& cluster, const std::vector<Index>& queue,
                                double units, double now) {
    std::vector<Index> jobs;
    for (auto j : queue) {
        auto& job = *cluster.jobs[j];
        job.abandoned_deadlines = 0;
        // Preemption evicts machines for gangs, so the units that their queue uses say little about
        // when they start.
        if (job.spec.kind == JobKind::Array && job.pending > 0) jobs.push_back(j);
    }
    size_t max_due_times = 0;
    for (auto j : jobs)
        max_due_times = std::max(max_due_times, cluster.due_time_count(*cluster.jobs[j]));
    double earlier_work = 0;
    // Jobs that can meet their first due time are served before those that can only meet a later
    // one.
    for (size_t position = 0; position < max_due_times; ++position) {
        auto candidates = candidates_for_due_time(cluster, jobs, position, now);
        double kept_work = 0;
        for (auto& c : candidates) kept_work += c.work;
        for (auto j : select_late_jobs(std::move(candidates), units, earlier_work)) {
            kept_work -= waiting_work(cluster, *cluster.jobs[j]);
            ++cluster.jobs[j]->abandoned_deadlines;
        }
        earlier_work += kept_work;
    }
}

}  // namespace weirmill
