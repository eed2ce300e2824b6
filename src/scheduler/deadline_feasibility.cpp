#include "scheduler/deadline_feasibility.h"

#include <algorithm>
#include <queue>

#include "scheduler/overload_forecast.h"

namespace weirmill {

std::vector<Index> abandoned_deadlines(std::vector<DeadlineCandidate> jobs, double units,
                                       double before) {
    std::vector<Index> out;
    if (units <= 0) return out;  // no machine yet: nothing is known
    std::sort(jobs.begin(), jobs.end(),
              [](auto& a, auto& b) { return std::tie(a.start, a.job) < std::tie(b.start, b.job); });
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

void abandon_deadlines(ClusterState& cluster, const std::vector<Index>& queue, double units,
                       double now) {
    std::vector<Index> jobs;
    size_t levels = 0;
    for (auto j : queue) {
        auto& job = *cluster.jobs[j];
        job.abandoned_deadlines = 0;
        // A gang has machines cleared for it: what its queue has in use says little of when it
        // starts.
        if (job.spec.kind == JobKind::Array && job.pending > 0) jobs.push_back(j);
    }
    for (auto j : jobs) levels = std::max(levels, cluster.times_asked(*cluster.jobs[j]));
    double before = 0;
    // Those that can meet their first time go before those that can only meet the next.
    for (size_t level = 0; level < levels; ++level) {
        std::vector<DeadlineCandidate> contenders;
        for (auto j : jobs) {
            auto& job = *cluster.jobs[j];
            double run = cluster.expected_run_s(job.spec);
            int missed;
            double due = cluster.due(job, now + run, missed);
            if (due > 1e17 || missed != static_cast<int>(level)) continue;
            contenders.push_back({j, waiting_work(cluster, job), due - run - now});
        }
        double work = 0;
        for (auto& c : contenders) work += c.work;
        for (auto j : abandoned_deadlines(std::move(contenders), units, before)) {
            work -= waiting_work(cluster, *cluster.jobs[j]);
            ++cluster.jobs[j]->abandoned_deadlines;
        }
        before += work;
    }
}

}  // namespace weirmill
