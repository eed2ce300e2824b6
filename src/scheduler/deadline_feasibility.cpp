#include "scheduler/deadline_feasibility.h"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

#include "scheduler/overload_forecast.h"

namespace weirmill {

std::vector<Index> abandoned_deadlines(std::vector<DeadlineCandidate> jobs, double units,
                                       double before) {
    std::vector<Index> out;
    if (units <= 0) return out;  // no machine yet: nothing is known
    std::ranges::sort(
        jobs, [](auto& a, auto& b) { return std::tie(a.start, a.job) < std::tie(b.start, b.job); });
    auto less = [](const DeadlineCandidate& a, const DeadlineCandidate& b) {
        return std::tie(a.work, a.job) < std::tie(b.work, b.job);
    };
    std::priority_queue<DeadlineCandidate, std::vector<DeadlineCandidate>, decltype(less)> kept(
        less);
    double sum = before;
    for (auto& c : jobs) {
        sum += c.work;
        kept.push(c);
        if (sum <= c.start * units) continue;
        sum -= kept.top().work;
        out.push_back(kept.top().job);
        kept.pop();
    }
    return out;
}

namespace {

// Waiting jobs that can still meet their due time number `level`, and not one before it.
std::vector<DeadlineCandidate> candidates_at(const ClusterState& cluster,
                                             const std::vector<Index>& jobs, size_t level,
                                             double now) {
    std::vector<DeadlineCandidate> out;
    for (auto j : jobs) {
        auto& job = *cluster.jobs[j];
        double run = cluster.expected_run_s(job.spec);
        int missed = 0;
        double due = cluster.due_time(job, now + run, missed);
        if (due > kNoDueTime_s || missed != static_cast<int>(level)) continue;
        out.push_back({j, waiting_work(cluster, job), due - run - now});
    }
    return out;
}

}  // namespace

void abandon_deadlines(ClusterState& cluster, const std::vector<Index>& queue, double units,
                       double now) {
    std::vector<Index> jobs;
    for (auto j : queue) {
        auto& job = *cluster.jobs[j];
        job.abandoned_deadlines = 0;
        // A gang has machines cleared for it: what its queue has in use says little of when it
        // starts.
        if (job.spec.kind == JobKind::Array && job.pending > 0) jobs.push_back(j);
    }
    size_t levels = 0;
    for (auto j : jobs) levels = std::max(levels, cluster.due_time_count(*cluster.jobs[j]));
    double before = 0;
    // Those that can meet their first time go before those that can only meet the next.
    for (size_t level = 0; level < levels; ++level) {
        auto candidates = candidates_at(cluster, jobs, level, now);
        double work = 0;
        for (auto& c : candidates) work += c.work;
        for (auto j : abandoned_deadlines(std::move(candidates), units, before)) {
            work -= waiting_work(cluster, *cluster.jobs[j]);
            ++cluster.jobs[j]->abandoned_deadlines;
        }
        before += work;
    }
}

}  // namespace weirmill
